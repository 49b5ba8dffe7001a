//! Counts a prompt's bytes, which bound its tokens.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;

use super::fault::ChatFault;
use crate::id::TokenCount;

/// Bytes of message contents that make one token.
const BYTES_PER_TOKEN: u64 = 4;

#[derive(Deserialize)]
struct ChatMessage<'a> {
    #[serde(borrow, default)]
    role: Option<&'a RawValue>,
    #[serde(borrow, default)]
    content: Option<MessageContent<'a>>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum MessageContent<'a> {
    Text(#[serde(borrow)] Cow<'a, str>),
    Parts(#[serde(borrow)] Vec<ContentPart<'a>>),
}

#[derive(Deserialize)]
struct ContentPart<'a> {
    #[serde(rename = "type")]
    kind: Cow<'a, str>,
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
}

/// The prompt tokens of a list of messages, or what is wrong with them.
pub(super) fn prompt_tokens(
    messages: &RawValue,
    limit: usize,
    faults: &mut Vec<ChatFault>,
) -> TokenCount {
    let Ok(list) = serde_json::from_str::<Vec<&RawValue>>(messages.get()) else {
        faults.push(ChatFault::WrongType {
            field: "messages",
            wanted: "a list",
        });
        return TokenCount::ZERO;
    };
    if list.is_empty() {
        faults.push(ChatFault::NoMessages);
    }
    if list.len() > limit {
        let count = list.len();
        faults.push(ChatFault::TooManyMessages { count, limit });
        return TokenCount::ZERO;
    }
    let mut bytes = 0;
    for (place, message) in list.iter().enumerate() {
        match message_bytes(message) {
            Ok(count) => bytes += count,
            Err(detail) => faults.push(ChatFault::BadMessage { place, detail }),
        }
    }
    tokens_of(bytes)
}

/// One token for each four bytes, rounded up, at least one.
fn tokens_of(bytes: u64) -> TokenCount {
    TokenCount::new(bytes.div_ceil(BYTES_PER_TOKEN).max(1))
}

fn message_bytes(message: &RawValue) -> Result<u64, Box<str>> {
    let message: ChatMessage<'_> = serde_json::from_str(message.get())
        .map_err(|_| "not a message with a `role` and a text as `content`")?;
    let role = message.role.map_or("null", RawValue::get);
    if !role.starts_with('"') {
        return Err("`role` is not a text".into());
    }
    match message.content {
        None => Ok(0),
        Some(MessageContent::Text(text)) => Ok(text.len() as u64),
        Some(MessageContent::Parts(parts)) => parts.iter().map(part_bytes).sum(),
    }
}

/// Only text is counted in tokens; the cost of any other part is not known
/// before it runs, so it cannot be reserved.
fn part_bytes(part: &ContentPart<'_>) -> Result<u64, Box<str>> {
    match &part.text {
        Some(text) if part.kind == "text" => Ok(text.len() as u64),
        _ => Err(format!("content part `{}` is not a text", part.kind).into()),
    }
}
