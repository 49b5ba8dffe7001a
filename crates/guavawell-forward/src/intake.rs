//! Receives callers' requests within the limits.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ForwardLimits;
use guavawell_core::forward::ForwardRefusal;

use crate::body_memory::BodyMemory;
use crate::body_memory::BodyOutline;
use crate::body_memory::HeadMemory;
use crate::clients::ClientEntry;
use crate::clock::timer_span;
use crate::http::BodyDecoder;
use crate::http::BodyFraming;
use crate::http::ChannelError;
use crate::http::HttpChannel;
use crate::http::RequestHead;
use crate::http::within;
use crate::prepare::check_head;
use crate::refusal::RefusalResponse;
use crate::retry_after::RETRY_NO_MEMORY;
use crate::router::ForwardRouter;

/// Longest wait for the next part of a request body.
const BODY_PART_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for the body of a request whose own is not known.
const BODY_TIMEOUT: ClockSpan = ClockSpan::from_millis(15_000);
/// Length above which a body is not received unless route and key of its request are
/// known, in bytes. A shorter one has mostly arrived with its head.
const UNCHECKED_BODY_BYTES: usize = 16 * 1024;

/// A request that was received completely.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// The head of the request.
    pub head: RequestHead,
    /// The body, decoded.
    pub body: Vec<u8>,
    /// Counts the memory of a long head.
    _head_memory: Option<HeadMemory>,
    /// Counts the memory of the body.
    _body_memory: Option<BodyMemory>,
    /// When the head had been received.
    pub received_at: ClockTime,
}

/// Receives one request. Once the process is closing, a request that has not arrived
/// completely is refused.
///
/// # Errors
///
/// The refusal of a request that is not received completely; `None` if the connection is
/// to be closed without a response.
pub async fn receive_unless_closing(
    router: &Rc<ForwardRouter>,
    channel: &mut HttpChannel,
    entry: &ClientEntry,
    limits: &ForwardLimits,
) -> Result<ReceivedRequest, Option<RefusalResponse>> {
    let closing = async {
        router.wait_for_closing().await;
        Err(Some(RefusalResponse::leaving()))
    };
    receive_request(router, channel, entry, limits)
        .or(closing)
        .await
}

async fn receive_request(
    router: &Rc<ForwardRouter>,
    channel: &mut HttpChannel,
    entry: &ClientEntry,
    limits: &ForwardLimits,
) -> Result<ReceivedRequest, Option<RefusalResponse>> {
    let head = receive_head(channel, entry, limits).await?;
    entry.end_wait();
    let received_at = router.clock.now();
    let head_memory = HeadMemory::take(router, head.fields.memory_bytes()).map_err(refuse_body)?;
    if head.framing == BodyFraming::Empty {
        return Ok(ReceivedRequest {
            head,
            body: Vec::new(),
            _head_memory: head_memory,
            _body_memory: None,
            received_at,
        });
    }
    let deadline = body_deadline(router, &head, received_at)?;
    let (body, memory) = receive_body(router, channel, &head, limits, deadline).await?;
    Ok(ReceivedRequest {
        head,
        body,
        _head_memory: head_memory,
        _body_memory: Some(memory),
        received_at,
    })
}

async fn receive_head(
    channel: &mut HttpChannel,
    entry: &ClientEntry,
    limits: &ForwardLimits,
) -> Result<RequestHead, Option<RefusalResponse>> {
    let head = channel.head_noting(limits.head_bytes, |held| entry.hold_head(held));
    let head = within(timer_span(limits.head_time), head).await;
    let length = match head {
        Ok(length) => length,
        Err(ChannelError::HeadTooLong) => {
            return Err(Some(RefusalResponse::new(ForwardRefusal::HeadTooLarge)));
        }
        Err(_) => return Err(None),
    };
    let parsed = RequestHead::parse(&channel.received()[..length]);
    channel.consume(length);
    parsed.map_err(|_| Some(RefusalResponse::new(ForwardRefusal::Malformed)))
}

/// When a body must have arrived: at the end of its request's time limit, as far as that is
/// known. A long body of a request that will not be served is refused before it is received.
fn body_deadline(
    router: &ForwardRouter,
    head: &RequestHead,
    received_at: ClockTime,
) -> Result<ClockTime, RefusalResponse> {
    let is_short = stated_length(head).is_some_and(|length| length <= UNCHECKED_BODY_BYTES);
    match check_head(router, head, received_at) {
        Ok(deadline) => Ok(deadline.unwrap_or(received_at + BODY_TIMEOUT)),
        // It is refused once it has arrived, and its connection is kept.
        Err(_) if is_short => Ok(received_at + BODY_TIMEOUT),
        Err(refusal) => Err(refusal),
    }
}

/// The length of a body as its head states it.
fn stated_length(head: &RequestHead) -> Option<usize> {
    match head.framing {
        BodyFraming::Length(length) => Some(usize::try_from(length).unwrap_or(usize::MAX)),
        BodyFraming::Empty => Some(0),
        BodyFraming::Chunked | BodyFraming::UntilClose => None,
    }
}

async fn receive_body(
    router: &Rc<ForwardRouter>,
    channel: &mut HttpChannel,
    head: &RequestHead,
    limits: &ForwardLimits,
    deadline: ClockTime,
) -> Result<(Vec<u8>, BodyMemory), Option<RefusalResponse>> {
    let refuse = |refusal| Err(Some(refuse_body(refusal)));
    let length = stated_length(head);
    if length.is_some_and(|length| length > limits.body_bytes) {
        return refuse(ForwardRefusal::BodyTooLarge);
    }
    let outline = BodyOutline {
        length,
        time_limit: router.clock.left(deadline),
    };
    let memory = match BodyMemory::reserve(router, outline) {
        Ok(memory) => memory,
        Err(refusal) => return refuse(refusal),
    };
    if head.fields.has_token("expect", "100-continue") {
        let sent = channel.send(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        sent.map_err(|_| None)?;
    }
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::with_capacity(length.unwrap_or(0));
    loop {
        let left = timer_span(router.clock.left(deadline));
        let part = async {
            let part = channel.body_part(&mut decoder, &mut body);
            Ok(within(left.min(BODY_PART_TIMEOUT), part).await)
        };
        let given_up = async { Err(memory.given_up().await) };
        let received = match part.or(given_up).await {
            Ok(received) => received,
            Err(refusal) => return refuse(refusal),
        };
        if body.len() > limits.body_bytes {
            return refuse(ForwardRefusal::BodyTooLarge);
        }
        // A body without a stated length may take twice its size while it grows.
        let taken = length.map_or(body.capacity(), |_| body.len());
        if let Err(refusal) = memory.note_received(taken) {
            return refuse(refusal);
        }
        match received {
            Ok(true) => channel.end_turn().await,
            Ok(false) => {
                memory.complete();
                return Ok((body, memory));
            }
            Err(ChannelError::Body(_)) => return refuse(ForwardRefusal::Malformed),
            Err(ChannelError::TimedOut) if router.clock.left(deadline) == ClockSpan::default() => {
                return refuse(ForwardRefusal::TooLate);
            }
            Err(_) => return Err(None),
        }
    }
}

/// The refusal of a request whose body was not received completely.
const fn refuse_body(refusal: ForwardRefusal) -> RefusalResponse {
    let response = RefusalResponse::new(refusal);
    match refusal {
        ForwardRefusal::NoMemory => response.after(RETRY_NO_MEMORY),
        _ => response,
    }
}
