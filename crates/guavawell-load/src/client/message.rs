//! The JSON messages of the callers' protocol.

use std::borrow::Cow;

use serde::Deserialize;
use serde::Serialize;

use crate::history::RefusalOutcome;
use crate::hooks::AnswerUsage;

/// A chat request.
#[derive(Serialize)]
struct ChatRequest<'a> {
    model: &'a str,
    messages: [ChatMessage<'a>; 1],
    max_tokens: u32,
    stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    stream_options: Option<StreamOptions>,
}

#[derive(Serialize)]
struct ChatMessage<'a> {
    role: &'a str,
    content: &'a str,
}

#[derive(Serialize)]
struct StreamOptions {
    include_usage: bool,
}

/// The body of a chat request.
pub(crate) fn chat_body(model: &str, prompt: &str, max_tokens: u32, stream: bool) -> Box<str> {
    let request = ChatRequest {
        model,
        messages: [ChatMessage {
            role: "user",
            content: prompt,
        }],
        max_tokens,
        stream,
        stream_options: stream.then_some(StreamOptions {
            include_usage: true,
        }),
    };
    serde_json::to_string(&request)
        .expect("plain fields always serialise")
        .into()
}

/// A chunk of a streamed answer, or a whole one.
#[derive(Deserialize)]
pub(super) struct ChatAnswer<'a> {
    #[serde(borrow, default)]
    pub(super) choices: Vec<ChatChoice<'a>>,
    #[serde(default)]
    pub(super) usage: Option<AnswerUsage>,
}

#[derive(Deserialize)]
pub(super) struct ChatChoice<'a> {
    #[serde(borrow, default, alias = "message")]
    pub(super) delta: ChatDelta<'a>,
}

#[derive(Default, Deserialize)]
pub(super) struct ChatDelta<'a> {
    #[serde(borrow, default)]
    pub(super) content: Cow<'a, str>,
}

/// A problem document.
#[derive(Default, Deserialize)]
pub(super) struct ProblemDocument {
    #[serde(default)]
    pub(super) outcome: Option<RefusalOutcome>,
    #[serde(default)]
    pub(super) reason: Option<Box<str>>,
    #[serde(default)]
    pub(super) retry_after_ms: Option<u64>,
}
