//! A checked chat request.

use serde::Deserialize;
use serde::ser::SerializeMap;
use serde::ser::Serializer;
use serde_json::value::RawValue;

use super::fault::ChatFault;
use super::fault::ChatFaults;
use super::field::BodyFields;
use super::prompt::PromptText;
use super::prompt::prompt_text;
use crate::id::ModelId;
use crate::id::TokenCount;

/// Fields that the router writes anew in the body that it sends on.
const REWRITTEN: [&str; 4] = [
    "max_tokens",
    "max_completion_tokens",
    "stream",
    "stream_options",
];

/// Limits of a chat request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatLimits {
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Most messages.
    pub max_messages: usize,
    /// Output limit of a request that names none, in tokens.
    pub default_output: TokenCount,
    /// Largest output limit, in tokens.
    pub max_output: TokenCount,
}

impl Default for ChatLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1024 * 1024,
            max_messages: 1_024,
            default_output: TokenCount::new(1_024),
            max_output: TokenCount::new(32_768),
        }
    }
}

/// A checked chat request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatAsk {
    /// The model asked for.
    pub model: ModelId,
    /// Whether the caller wants the answer as a stream.
    pub stream: bool,
    /// Tokens of the prompt, as the engine counts them.
    pub prompt: TokenCount,
    /// The first bytes of the message contents put together, by which engines
    /// name cached prefixes.
    pub prompt_head: Vec<u8>,
    /// The most tokens that the engine may generate.
    pub output: TokenCount,
    /// The body for the engine: streamed, with usage, with the output limit.
    pub engine_body: Vec<u8>,
}

impl ChatAsk {
    /// Reads a whole body and checks it against `limits`.
    ///
    /// # Errors
    ///
    /// Every fault that was found.
    pub fn parse(body: &[u8], limits: &ChatLimits) -> Result<Self, ChatFaults> {
        if body.len() > limits.max_body_bytes {
            return Err(ChatFaults::from(ChatFault::TooLarge {
                bytes: body.len(),
                limit: limits.max_body_bytes,
            }));
        }
        let fields: BodyFields<'_> = serde_json::from_slice(body)
            .map_err(|error| ChatFault::NotJson(error.to_string().into()))?;
        Self::check(&fields, limits)
    }

    fn check(fields: &BodyFields<'_>, limits: &ChatLimits) -> Result<Self, ChatFaults> {
        let mut faults: Vec<ChatFault> = fields
            .doubled()
            .map(|name| ChatFault::Twice(name.into()))
            .collect();
        let model = read_model(fields, &mut faults);
        let prompt = read_prompt(fields, limits, &mut faults);
        let output = read_output(fields, limits, &mut faults);
        let stream = read_flag(fields, "stream", &mut faults);
        check_answers(fields, &mut faults);
        match model {
            Some(model) if faults.is_empty() => Ok(Self {
                model,
                stream,
                prompt: prompt.tokens(),
                prompt_head: prompt.head,
                output,
                engine_body: engine_body(fields, output),
            }),
            _ => Err(ChatFaults { faults }),
        }
    }

    /// The most that the request can cost: prompt and output limit.
    #[must_use]
    pub const fn worst_case(&self) -> TokenCount {
        self.prompt.saturating_add(self.output)
    }
}

fn read<'a, T: Deserialize<'a>>(
    value: &'a RawValue,
    field: &'static str,
    wanted: &'static str,
    faults: &mut Vec<ChatFault>,
) -> Option<T> {
    let parsed = serde_json::from_str(value.get());
    if parsed.is_err() {
        faults.push(ChatFault::WrongType { field, wanted });
    }
    parsed.ok()
}

fn read_model(fields: &BodyFields<'_>, faults: &mut Vec<ChatFault>) -> Option<ModelId> {
    let Some(value) = fields.value("model") else {
        faults.push(ChatFault::Missing("model"));
        return None;
    };
    let text: Box<str> = read(value, "model", "a text", faults)?;
    match ModelId::try_from(text) {
        Ok(model) => Some(model),
        Err(error) => {
            faults.push(ChatFault::BadModel(error.to_string().into()));
            None
        }
    }
}

fn read_prompt(
    fields: &BodyFields<'_>,
    limits: &ChatLimits,
    faults: &mut Vec<ChatFault>,
) -> PromptText {
    if let Some(messages) = fields.value("messages") {
        return prompt_text(messages, limits.max_messages, faults);
    }
    faults.push(ChatFault::Missing("messages"));
    PromptText::default()
}

fn read_output(
    fields: &BodyFields<'_>,
    limits: &ChatLimits,
    faults: &mut Vec<ChatFault>,
) -> TokenCount {
    let older = read_limit(fields, "max_tokens", limits, faults);
    let newer = read_limit(fields, "max_completion_tokens", limits, faults);
    if let (Some(older), Some(newer)) = (older, newer)
        && older != newer
    {
        faults.push(ChatFault::TwoOutputLimits);
    }
    newer.or(older).unwrap_or(limits.default_output)
}

fn read_limit(
    fields: &BodyFields<'_>,
    field: &'static str,
    limits: &ChatLimits,
    faults: &mut Vec<ChatFault>,
) -> Option<TokenCount> {
    let value = fields.value(field)?;
    let asked: u64 = read(value, field, "a whole number", faults)?;
    let limit = limits.max_output.get();
    if asked == 0 {
        faults.push(ChatFault::ZeroOutput(field));
    }
    if asked > limit {
        faults.push(ChatFault::TooMuchOutput {
            field,
            asked,
            limit,
        });
    }
    Some(TokenCount::new(asked))
}

fn read_flag(fields: &BodyFields<'_>, field: &'static str, faults: &mut Vec<ChatFault>) -> bool {
    let value = fields.value(field);
    value
        .and_then(|value| read(value, field, "true or false", faults))
        .unwrap_or(false)
}

/// Each further answer (`n`, or `best_of` of older interfaces) would cost its
/// own output limit.
fn check_answers(fields: &BodyFields<'_>, faults: &mut Vec<ChatFault>) {
    let several = |name| {
        let value = fields.value(name);
        value.is_some_and(|value| value.get() != "1")
    };
    if several("n") || several("best_of") {
        faults.push(ChatFault::SeveralAnswers);
    }
}

/// The caller's fields, with those that decide about the stream and its
/// cost written anew.
fn engine_body(fields: &BodyFields<'_>, output: TokenCount) -> Vec<u8> {
    let mut body = Vec::new();
    let mut serializer = serde_json::Serializer::new(&mut body);
    write_engine_body(&mut serializer, fields, output)
        .expect("fields that were parsed serialise again");
    body
}

fn write_engine_body<S: Serializer>(
    serializer: S,
    fields: &BodyFields<'_>,
    output: TokenCount,
) -> Result<S::Ok, S::Error> {
    let mut map = serializer.serialize_map(None)?;
    for field in &fields.0 {
        if !REWRITTEN.contains(&&*field.name) {
            map.serialize_entry(&*field.name, field.value)?;
        }
    }
    map.serialize_entry("max_tokens", &output)?;
    map.serialize_entry("stream", &true)?;
    map.serialize_entry(
        "stream_options",
        &serde_json::json!({"include_usage": true}),
    )?;
    map.end()
}
