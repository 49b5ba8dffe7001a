//! The engine's calls.

use std::sync::Arc;

use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde_json::json;

use crate::attempt::AttemptEntry;
use crate::attempt::AttemptPhase;
use crate::control;
use crate::engine::admit::ChatRequest;
use crate::engine::admit::admit;
use crate::engine::body::StreamBody;
use crate::engine::content::token_text;
use crate::engine::frame::FrameFaults;
use crate::engine::frame::end_reason;
use crate::engine::life::EngineLife;
use crate::engine::orders::EngineOrder;
use crate::engine::orders::OrderError;
use crate::http::Hangup;
use crate::http::HttpCall;
use crate::http::HttpReply;
use crate::http::json_reply;
use crate::http::problem_reply;
use crate::http::read_json;
use crate::http::retry_reply;
use crate::http::stream_reply;
use crate::lock::lock;

const ATTEMPTS: &str = "/v1/attempts/";
const STREAM: &str = "/stream";

/// Answers one call.
pub(super) async fn serve(life: Arc<EngineLife>, call: HttpCall) -> HttpReply {
    if life.base.faults.outage() {
        return Ok(retry_reply(StatusCode::ServiceUnavailable, "outage"));
    }
    let path: Box<str> = call.request.url().path().into();
    match (call.request.method(), &*path) {
        (Method::Post, "/v1/chat/completions") => chat(life, call).await,
        (Method::Get, "/v1/load") => Ok(json_reply(&life.load())),
        (Method::Get, "/v1/cache-events") => {
            Ok(json_reply(&life.cache_events(after(&call.request))))
        }
        (Method::Get, "/v1/orders") => Ok(json_reply(&lock(&life.orders).report())),
        (Method::Post, "/v1/orders") => order(life, call).await,
        (method, path) => match path.strip_prefix(ATTEMPTS) {
            Some(rest) => Ok(attempt(&life, call, method, rest)),
            None => Ok(control::unknown_path(method, path)),
        },
    }
}

async fn chat(life: Arc<EngineLife>, mut call: HttpCall) -> HttpReply {
    let chat = match read_json::<ChatRequest>(&mut call.request).await? {
        Ok(chat) => chat,
        Err(response) => return Ok(response),
    };
    let entry = match admit(&life, &call.request, &chat) {
        Ok(entry) => entry,
        Err(response) => return Ok(*response),
    };
    if life.base.faults.take_lost_answer() {
        return Err(Hangup);
    }
    if chat.stream {
        return Ok(stream(&life, call, entry, 0));
    }
    whole(&entry).await
}

fn stream(life: &EngineLife, call: HttpCall, entry: Arc<AttemptEntry>, first: u64) -> Response {
    let faults = FrameFaults::take(&life.base.faults, &entry);
    stream_reply(StreamBody::new(call.link, entry, faults, first))
}

/// The answer without a stream; a cancelled one has none.
async fn whole(entry: &AttemptEntry) -> HttpReply {
    if entry.ended().await.phase == AttemptPhase::Cancelled {
        return Err(Hangup);
    }
    let text: Vec<u8> = (0..entry.total)
        .flat_map(|index| token_text(entry.seed, index))
        .collect();
    Ok(json_reply(&json!({
        "id": format!("chatcmpl-{}", entry.source.attempt),
        "object": "chat.completion",
        "model": entry.target,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": String::from_utf8_lossy(&text) },
            "finish_reason": end_reason(entry),
        }],
        "usage": {
            "prompt_tokens": entry.prompt_tokens,
            "completion_tokens": entry.total,
            "total_tokens": entry.prompt_tokens + entry.total,
        },
    })))
}

fn attempt(life: &EngineLife, call: HttpCall, method: Method, rest: &str) -> Response {
    let (id, wants_stream) = match rest.strip_suffix(STREAM) {
        Some(id) => (id, true),
        None => (rest, false),
    };
    let Ok(attempt) = id.parse() else {
        let detail = format!("`{id}` is not an attempt");
        return problem_reply(StatusCode::BadRequest, &detail);
    };
    if method == Method::Delete && !wants_stream {
        return json_reply(&life.cancel(attempt));
    }
    if method != Method::Get {
        return control::unknown_path(method, rest);
    }
    let Some(entry) = life.attempts.get(attempt) else {
        let detail = format!("attempt {attempt} was never seen");
        return problem_reply(StatusCode::NotFound, &detail);
    };
    if !wants_stream {
        return json_reply(&entry.record());
    }
    let first = resume_point(&call.request, id);
    stream(life, call, entry, first)
}

/// The sequence number after the one that the caller saw last.
fn resume_point(request: &Request, attempt: &str) -> u64 {
    let Some(header) = request.header("last-event-id") else {
        return 0;
    };
    match header.as_str().rsplit_once(':') {
        Some((id, sequence)) if id == attempt => sequence.parse().map_or(0, |seen: u64| seen + 1),
        _ => 0,
    }
}

async fn order(life: Arc<EngineLife>, mut call: HttpCall) -> HttpReply {
    let order = match read_json::<EngineOrder>(&mut call.request).await? {
        Ok(order) => order,
        Err(response) => return Ok(response),
    };
    Ok(match life.apply(order) {
        Ok(()) if life.base.faults.take_lost_answer() => return Err(Hangup),
        Ok(()) => json_reply(&lock(&life.orders).report()),
        Err(error @ OrderError::StaleFence { .. }) => {
            problem_reply(StatusCode::Conflict, &error.to_string())
        }
        Err(error) => problem_reply(StatusCode::BadRequest, &error.to_string()),
    })
}

fn after(request: &Request) -> u64 {
    request
        .url()
        .query_pairs()
        .find(|(name, _)| name == "after")
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}
