//! One request and its answer over one connection.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use futures::future::Either;
use futures::future::select;
use guavawell_http::ReceivedResponse;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use smol::Timer;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;

use super::message::ChatAnswer;
use super::message::ProblemDocument;
use super::stream::StreamDecoder;
use crate::history::IncompleteCause;
use crate::history::RefusalOutcome;
use crate::history::TryEnd;
use crate::hooks::AnswerUsage;

/// Bytes read from a body at a time.
const READ_BYTES: usize = 8 * 1024;

/// A response of a router.
type RouterResponse = ReceivedResponse<TcpStream>;

/// One request, ready to send.
pub(crate) struct Outgoing<'a> {
    /// Where to, with scheme and path.
    pub(crate) url: Url,
    /// Header names and values.
    pub(crate) headers: &'a [(&'static str, Box<str>)],
    /// The body.
    pub(crate) body: &'a str,
    /// Whether the body is JSON for a model.
    pub(crate) chat: bool,
}

/// What came back.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// How it ended; never [`TryEnd::Wrong`], which is for the check to say.
    pub(crate) end: TryEnd,
    /// The request id that the router named.
    pub(crate) request: Option<Box<str>>,
    /// The attempt that the router named.
    pub(crate) attempt: Option<Box<str>>,
    /// All content, joined.
    pub(crate) content: String,
    /// Times of the content events.
    pub(crate) part_times: Vec<Instant>,
    /// The usage stated.
    pub(crate) usage: Option<AnswerUsage>,
    /// The router's hint for the next try.
    pub(crate) retry_after: Option<Duration>,
    /// Whether the connection may carry another exchange.
    pub(crate) reusable: bool,
}

impl Exchange {
    /// The exchange that never began, since no target accepted a connection.
    pub(crate) fn unreachable() -> Self {
        Self {
            end: TryEnd::Unreachable,
            ..Self::new()
        }
    }

    fn new() -> Self {
        Self {
            end: incomplete(IncompleteCause::Closed),
            request: None,
            attempt: None,
            content: String::new(),
            part_times: Vec::new(),
            usage: None,
            retry_after: None,
            reusable: false,
        }
    }
}

/// Sends a request and reads its answer, giving up after `idle` without a
/// byte. A connection is reusable only after an answer read to its end.
pub(crate) async fn exchange(
    stream: TcpStream,
    outgoing: &Outgoing<'_>,
    idle: Duration,
) -> Exchange {
    let mut answer = Exchange::new();
    let last_byte = Cell::new(Instant::now());
    let reading = Box::pin(read_answer(stream, outgoing, &mut answer, &last_byte));
    let silence = Box::pin(await_silence(&last_byte, idle));
    let silent = matches!(select(reading, silence).await, Either::Right(_));
    if silent {
        answer.end = incomplete(IncompleteCause::Silent);
        answer.reusable = false;
    }
    answer
}

async fn await_silence(last_byte: &Cell<Instant>, idle: Duration) {
    loop {
        let due = last_byte.get() + idle;
        if Instant::now() >= due {
            return;
        }
        Timer::at(due).await;
    }
}

async fn read_answer(
    stream: TcpStream,
    outgoing: &Outgoing<'_>,
    answer: &mut Exchange,
    last_byte: &Cell<Instant>,
) {
    let Ok(mut response) = guavawell_http::exchange(stream, build_request(outgoing)).await else {
        return;
    };
    last_byte.set(Instant::now());
    answer.request = header_text(&response, "x-guavawell-request");
    answer.attempt = header_text(&response, "x-guavawell-attempt");
    let read_whole = if matches!(response.status(), 200..300) {
        read_success(&mut response, outgoing.chat, answer, last_byte).await
    } else {
        read_refusal(&mut response, answer).await
    };
    answer.reusable = read_whole && response.into_idle().is_some();
}

fn build_request(outgoing: &Outgoing<'_>) -> Request {
    let mut request = Request::new(Method::Post, outgoing.url.clone());
    for (name, value) in outgoing.headers {
        request.insert_header(*name, &**value);
    }
    let media = if outgoing.chat {
        http_types::mime::JSON
    } else {
        http_types::mime::BYTE_STREAM
    };
    request.set_body(outgoing.body);
    request.set_content_type(media);
    request
}

async fn read_success(
    response: &mut RouterResponse,
    chat: bool,
    answer: &mut Exchange,
    last_byte: &Cell<Instant>,
) -> bool {
    let streamed = header_text(response, "content-type")
        .is_some_and(|media| media.starts_with("text/event-stream"));
    if streamed {
        return read_stream(response, answer, last_byte).await;
    }
    let Some(body) = read_body(response).await else {
        return false;
    };
    if chat {
        answer.end = read_chat(&body, answer);
    } else {
        answer.content = String::from_utf8_lossy(&body).into_owned();
        answer.end = TryEnd::Whole;
    }
    true
}

/// The whole body; `None` if it is incomplete.
async fn read_body(response: &mut RouterResponse) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    response.read_to_end(&mut body).await.ok()?;
    Some(body)
}

fn read_chat(body: &[u8], answer: &mut Exchange) -> TryEnd {
    match serde_json::from_slice::<ChatAnswer<'_>>(body) {
        Ok(chat) => {
            append_content(&chat, answer);
            answer.usage = chat.usage;
            TryEnd::Whole
        }
        Err(_) => incomplete(IncompleteCause::Malformed),
    }
}

/// Reads events to the end of the body; `true` if the body ended cleanly.
async fn read_stream(
    response: &mut RouterResponse,
    answer: &mut Exchange,
    last_byte: &Cell<Instant>,
) -> bool {
    let mut decoder = StreamDecoder::default();
    let mut buffer = [0; READ_BYTES];
    let mut ended = false;
    loop {
        let Ok(count) = response.read(&mut buffer).await else {
            return false;
        };
        if count == 0 {
            break;
        }
        let now = Instant::now();
        last_byte.set(now);
        decoder.feed(&buffer[..count]);
        while let Some(event) = decoder.next_event() {
            if event.name == b"error" {
                let problem = serde_json::from_slice(event.data).unwrap_or_default();
                answer.end = refusal(problem, RefusalOutcome::Unknown, "interrupted", answer);
                ended = true;
            } else if event.data == b"[DONE]" {
                answer.end = TryEnd::Whole;
                ended = true;
            } else if !ended && !read_chunk(event.data, answer, now) {
                answer.end = incomplete(IncompleteCause::Malformed);
                return false;
            }
        }
    }
    if !ended {
        answer.end = incomplete(IncompleteCause::NoEndMarker);
    }
    true
}

fn read_chunk(data: &[u8], answer: &mut Exchange, now: Instant) -> bool {
    if data.is_empty() {
        return true;
    }
    let Ok(chunk) = serde_json::from_slice::<ChatAnswer<'_>>(data) else {
        return false;
    };
    if append_content(&chunk, answer) {
        answer.part_times.push(now);
    }
    if chunk.usage.is_some() {
        answer.usage = chunk.usage;
    }
    true
}

fn append_content(chat: &ChatAnswer<'_>, answer: &mut Exchange) -> bool {
    let before = answer.content.len();
    for choice in &chat.choices {
        answer.content.push_str(&choice.delta.content);
    }
    answer.content.len() > before
}

async fn read_refusal(response: &mut RouterResponse, answer: &mut Exchange) -> bool {
    let status = response.status();
    let after = header_text(response, "retry-after").and_then(|text| text.parse().ok());
    answer.retry_after = after.map(Duration::from_secs);
    let Some(body) = read_body(response).await else {
        return false;
    };
    let problem = serde_json::from_slice(&body).unwrap_or_default();
    let (outcome, reason) = plain_refusal(status);
    answer.end = refusal(problem, outcome, &reason, answer);
    true
}

/// What a status says when no problem document comes with it.
fn plain_refusal(status: u16) -> (RefusalOutcome, Box<str>) {
    let outcome = match status {
        429 | 503 => RefusalOutcome::Retry,
        400..=499 => RefusalOutcome::NotRun,
        _ => RefusalOutcome::Unknown,
    };
    (outcome, format!("status_{status}").into())
}

fn refusal(
    problem: ProblemDocument,
    outcome: RefusalOutcome,
    reason: &str,
    answer: &mut Exchange,
) -> TryEnd {
    if let Some(millis) = problem.retry_after_ms {
        answer.retry_after = Some(Duration::from_millis(millis));
    }
    TryEnd::Refused {
        outcome: problem.outcome.unwrap_or(outcome),
        reason: problem.reason.unwrap_or_else(|| reason.into()),
    }
}

fn incomplete(why: IncompleteCause) -> TryEnd {
    TryEnd::Incomplete { why }
}

fn header_text(response: &RouterResponse, name: &str) -> Option<Box<str>> {
    response.field(name).map(Into::into)
}
