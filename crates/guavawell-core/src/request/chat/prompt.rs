//! Counts the tokens of a prompt by its size, and keeps its first bytes.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;

use super::error::ChatError;
use crate::id::TokenCount;

/// Bytes of message contents that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Bytes of a prompt that are kept in [`PromptText::head`].
const MAX_HEAD_BYTES: usize = 64;

/// The properties of a prompt that the router needs.
#[derive(Debug, Default)]
pub(super) struct PromptText {
    /// Size of all contents, in bytes.
    bytes: u64,
    /// The first bytes of the concatenated contents.
    pub head: Vec<u8>,
}

impl PromptText {
    /// One token for each four bytes, rounded up, at least one.
    pub(super) fn tokens(&self) -> TokenCount {
        TokenCount::new(self.bytes.div_ceil(BYTES_PER_TOKEN).max(1))
    }

    fn add(&mut self, text: &str) {
        self.bytes += text.len() as u64;
        let remaining = MAX_HEAD_BYTES - self.head.len();
        let part = &text.as_bytes()[..text.len().min(remaining)];
        self.head.extend_from_slice(part);
    }
}

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

/// Parses a list of messages. Adds all errors that it finds to `errors`.
pub(super) fn parse_messages(
    messages: &RawValue,
    limit: usize,
    errors: &mut Vec<ChatError>,
) -> PromptText {
    let mut prompt = PromptText::default();
    let Ok(list) = serde_json::from_str::<Vec<&RawValue>>(messages.get()) else {
        errors.push(ChatError::WrongType {
            field: "messages",
            wanted: "a list",
        });
        return prompt;
    };
    if list.is_empty() {
        errors.push(ChatError::NoMessages);
    }
    if list.len() > limit {
        let count = list.len();
        errors.push(ChatError::TooManyMessages { count, limit });
        return prompt;
    }
    for (place, message) in list.iter().enumerate() {
        if let Err(detail) = add_message(message, &mut prompt) {
            errors.push(ChatError::BadMessage { place, detail });
        }
    }
    prompt
}

fn add_message(message: &RawValue, prompt: &mut PromptText) -> Result<(), Box<str>> {
    let message: ChatMessage<'_> = serde_json::from_str(message.get())
        .map_err(|_| "not a message with a `role` and a text as `content`")?;
    let role = message.role.map_or("null", RawValue::get);
    if !role.starts_with('"') {
        return Err("`role` is not a text".into());
    }
    match message.content {
        None => Ok(()),
        Some(MessageContent::Text(text)) => {
            prompt.add(&text);
            Ok(())
        }
        Some(MessageContent::Parts(parts)) => {
            parts.iter().try_for_each(|part| add_part(part, prompt))
        }
    }
}

/// Adds a text part. Rejects all other kinds, because the cost of such a part
/// is not known before the request runs and can therefore not be reserved.
fn add_part(part: &ContentPart<'_>, prompt: &mut PromptText) -> Result<(), Box<str>> {
    match &part.text {
        Some(text) if part.kind == "text" => {
            prompt.add(text);
            Ok(())
        }
        _ => Err(format!("content part `{}` is not a text", part.kind).into()),
    }
}
