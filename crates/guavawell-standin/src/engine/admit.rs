//! Taking a chat request on: its message, its fencing number, its attempt.

use std::sync::Arc;

use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde::Deserialize;

use crate::attempt::AttemptEntry;
use crate::attempt::AttemptSource;
use crate::attempt::refuse_known;
use crate::engine::content::ChatMessage;
use crate::engine::content::DEFAULT_MAX_TOKENS;
use crate::engine::content::answer_length;
use crate::engine::content::count_prompt;
use crate::engine::content::prompt_prefix;
use crate::engine::content::prompt_seed;
use crate::engine::life::EngineLife;
use crate::engine::schedule::SlotAnswer;
use crate::http::problem_reply;
use crate::http::retry_reply;
use crate::lock::lock;

const DEFAULT_PRIORITY: u8 = 5;

/// The body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct ChatRequest {
    model: Box<str>,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    stream_options: StreamOptions,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

impl ChatRequest {
    fn max_tokens(&self) -> u64 {
        self.max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(DEFAULT_MAX_TOKENS)
    }

    fn entry(&self, source: AttemptSource) -> AttemptEntry {
        let seed = prompt_seed(&self.messages);
        let mut entry = AttemptEntry::new(source, self.model.clone());
        entry.seed = seed;
        entry.prompt_tokens = count_prompt(&self.messages);
        entry.total = answer_length(seed, self.max_tokens());
        entry.max_tokens = self.max_tokens();
        entry.with_usage = self.stream_options.include_usage;
        entry
    }
}

/// Takes an attempt on; the error is the answer that refuses it.
pub(super) fn admit(
    life: &Arc<EngineLife>,
    request: &Request,
    chat: &ChatRequest,
) -> Result<Arc<AttemptEntry>, Box<Response>> {
    check_fence(life, request)?;
    if !lock(&life.orders).serves(&chat.model) {
        let detail = format!("model `{}` is not loaded here", chat.model);
        return Err(Box::new(problem_reply(StatusCode::NotFound, &detail)));
    }
    let source = AttemptSource::from_headers(request);
    let entry = Arc::new(chat.entry(source));
    life.attempts
        .insert(&entry)
        .map_err(|known| Box::new(refuse_known(&known)))?;
    let prefix = prompt_prefix(&chat.messages);
    if life.submit(&entry, prefix, priority(request)) == SlotAnswer::Full {
        life.attempts.remove(entry.source.attempt);
        let detail = "the queue is full; the attempt was not run";
        let response = retry_reply(StatusCode::ServiceUnavailable, detail);
        return Err(Box::new(response));
    }
    Ok(entry)
}

/// Refuses a request under an old fencing number, where the engine does so.
fn check_fence(life: &EngineLife, request: &Request) -> Result<(), Box<Response>> {
    if !life.base.settings.fence_requests {
        return Ok(());
    }
    let header = request.header("x-guavawell-fence");
    let Some(fence) = header.and_then(|value| value.as_str().parse().ok()) else {
        return Ok(());
    };
    lock(&life.orders).raise_fence(fence).map_err(|highest| {
        let detail = format!("fencing number {fence} is older than {highest}");
        Box::new(problem_reply(StatusCode::Conflict, &detail))
    })
}

fn priority(request: &Request) -> u8 {
    request
        .header("x-guavawell-priority")
        .and_then(|value| value.as_str().parse().ok())
        .unwrap_or(DEFAULT_PRIORITY)
}
