//! Answers to callers: problem documents, streams and whole answers.

use std::sync::Arc;

use guavawell_core::id::AttemptId;
use guavawell_core::request::Refusal;
use guavawell_core::request::RequestIdentity;
use http_types::Body;
use http_types::Response;
use http_types::StatusCode;
use serde::Deserialize;
use serde_json::Value;
use smol::lock::Mutex;

use super::core::RouterCore;
use super::relay::CallerLost;
use super::relay::RelayEnd;
use super::relay::StreamRelay;
use crate::caller::FrameSender;
use crate::caller::frame_body;
use crate::claim::count_refusal;
use crate::event::EventDraft;

/// The event that ends a whole stream.
const END_EVENT: &[u8] = b"data: [DONE]\n\n";

/// A refusal as an HTTP answer, counted and noted.
#[must_use]
pub fn refuse(
    core: &RouterCore,
    identity: Option<&RequestIdentity>,
    refusal: &Refusal,
) -> Response {
    note_refusal(core, identity, refusal);
    let status = StatusCode::try_from(refusal.status());
    let mut response = Response::new(status.unwrap_or(StatusCode::InternalServerError));
    response.set_body(refusal.problem(identity).to_json());
    response.insert_header("content-type", "application/problem+json");
    if let Some(seconds) = refusal.retry_after_seconds() {
        response.insert_header("retry-after", seconds.to_string());
    }
    if let Some(identity) = identity {
        response.insert_header("x-guavawell-request", identity.request.as_str());
    }
    response
}

fn note_refusal(core: &RouterCore, identity: Option<&RequestIdentity>, refusal: &Refusal) {
    count_refusal(refusal);
    let mut event = EventDraft::new("request.refused")
        .field("outcome", refusal.outcome().as_str())
        .field("reason", refusal.reason().as_str());
    if let Some(identity) = identity {
        event = event
            .organisation(&identity.organisation)
            .request(&identity.request);
    }
    core.events.emit(event);
}

/// Streams an answer: the response at once, the frames as they come.
#[must_use]
pub fn stream_answer(relay: StreamRelay, identity: RequestIdentity) -> Response {
    let core = Arc::clone(&relay.core);
    let (sender, body) = frame_body();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response.insert_header("content-type", "text/event-stream");
    response.insert_header("cache-control", "no-store");
    mark(&mut response, &identity, relay.live.attempt);
    let tasks = core.tasks.clone();
    let task = async move {
        let end = relay.run(|chunks| send_chunks(&sender, chunks)).await;
        finish_stream(&core, &sender, &identity, end).await;
    };
    tasks.spawn(task);
    response
}

async fn send_chunks(sender: &FrameSender, chunks: Vec<Box<str>>) -> Result<(), CallerLost> {
    let frame = event_frame(&chunks);
    sender.send(frame).await.map_err(|_| CallerLost)
}

/// The chunks as server-sent events.
fn event_frame(chunks: &[Box<str>]) -> Vec<u8> {
    let length: usize = chunks.iter().map(|data| data.len() + 8).sum();
    let mut frame = Vec::with_capacity(length);
    for data in chunks {
        frame.extend_from_slice(b"data: ");
        frame.extend_from_slice(data.as_bytes());
        frame.extend_from_slice(b"\n\n");
    }
    frame
}

async fn finish_stream(
    core: &RouterCore,
    sender: &FrameSender,
    identity: &RequestIdentity,
    end: RelayEnd,
) {
    let is_whole = match end {
        RelayEnd::Whole => sender.send(END_EVENT.to_vec()).await.is_ok(),
        RelayEnd::CallerGone => false,
        RelayEnd::Broken(refusal) => {
            note_refusal(core, Some(identity), &refusal);
            let problem = refusal.problem(Some(identity)).to_json();
            let mut frame = b"event: error\ndata: ".to_vec();
            frame.extend_from_slice(&problem);
            frame.extend_from_slice(b"\n\n");
            // A caller that is gone does not need to be told.
            let _ = sender.send(frame).await;
            sender.abort().await;
            false
        }
    };
    note_answer(core, identity, is_whole);
}

/// Notes whether the caller's answer was whole.
pub fn note_answer(core: &RouterCore, identity: &RequestIdentity, is_whole: bool) {
    let whole = if is_whole { "true" } else { "false" };
    metrics::counter!("guavawell_answers_total", "whole" => whole).increment(1);
    core.events.emit(
        EventDraft::new("answer.ended")
            .organisation(&identity.organisation)
            .request(&identity.request)
            .field("whole", is_whole),
    );
}

/// Collects an answer and gives it as one document.
pub async fn whole_answer(relay: StreamRelay, identity: RequestIdentity) -> Response {
    let core = Arc::clone(&relay.core);
    let attempt = relay.live.attempt;
    let parts = Mutex::new(AnswerParts::default());
    let end = relay
        .run(|chunks| {
            let parts = &parts;
            async move {
                let mut parts = parts.lock().await;
                for data in &chunks {
                    parts.add(data);
                }
                Ok(())
            }
        })
        .await;
    match end {
        RelayEnd::Broken(refusal) => refuse(&core, Some(&identity), &refusal),
        RelayEnd::Whole | RelayEnd::CallerGone => {
            let document = parts.into_inner().document();
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(Body::from_json(&document).unwrap_or_else(|_| Body::empty()));
            mark(&mut response, &identity, attempt);
            note_answer(&core, &identity, true);
            response
        }
    }
}

/// Names the request and the attempt in the response's head.
pub fn mark(response: &mut Response, identity: &RequestIdentity, attempt: AttemptId) {
    response.insert_header("x-guavawell-request", identity.request.as_str());
    response.insert_header("x-guavawell-attempt", attempt.to_string());
}

/// The chunks of a streamed answer, put together.
#[derive(Debug, Default)]
struct AnswerParts {
    last: Option<Value>,
    content: String,
    finish: Option<Value>,
    usage: Option<Value>,
}

/// The part of a chunk that most chunks consist of.
#[derive(Deserialize)]
struct ChunkView {
    #[serde(default)]
    choices: Vec<ChoiceView>,
    #[serde(default)]
    usage: Option<Value>,
}

#[derive(Deserialize)]
struct ChoiceView {
    #[serde(default)]
    delta: DeltaView,
    #[serde(default)]
    finish_reason: Option<Value>,
}

#[derive(Default, Deserialize)]
struct DeltaView {
    #[serde(default)]
    content: Option<String>,
}

impl AnswerParts {
    fn add(&mut self, data: &str) {
        let Ok(chunk) = serde_json::from_str::<ChunkView>(data) else {
            return;
        };
        for choice in chunk.choices {
            self.content
                .push_str(choice.delta.content.as_deref().unwrap_or_default());
            self.finish = choice.finish_reason.or(self.finish.take());
        }
        self.usage = chunk.usage.or(self.usage.take());
        if self.last.is_none() {
            self.last = serde_json::from_str(data).ok();
        }
    }

    fn document(self) -> Value {
        let head = self.last.unwrap_or_default();
        serde_json::json!({
            "id": head.get("id"),
            "object": "chat.completion",
            "created": head.get("created"),
            "model": head.get("model"),
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": self.content},
                "finish_reason": self.finish.unwrap_or_else(|| "stop".into()),
            }],
            "usage": self.usage,
        })
    }
}
