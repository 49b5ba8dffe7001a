//! A validated chat request.

use serde::Deserialize;
use serde::ser::SerializeMap;
use serde::ser::Serializer;
use serde_json::value::RawValue;

use super::error::ChatError;
use super::error::ChatErrors;
use super::field::BodyFields;
use super::prompt::PromptText;
use super::prompt::parse_messages;
use crate::id::ModelId;
use crate::id::TokenCount;

/// Fields that the router replaces in the body that it forwards.
const OVERRIDDEN_FIELDS: [&str; 4] = [
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
    /// Largest number of messages.
    pub max_messages: usize,
    /// Output limit of a request without one, in tokens.
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

/// A validated chat request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatRequest {
    /// The requested model.
    pub model: ModelId,
    /// Whether the caller wants the answer as a stream.
    pub stream: bool,
    /// Number of prompt tokens, as the engine counts them.
    pub prompt: TokenCount,
    /// The first bytes of the concatenated message contents, by which engines
    /// identify cached prefixes.
    pub prompt_head: Vec<u8>,
    /// The most tokens that the engine may generate.
    pub output: TokenCount,
    /// The body for the engine. It asks for a stream with usage and contains
    /// the output limit.
    pub engine_body: Vec<u8>,
}

impl ChatRequest {
    /// Parses a complete body and checks it against `limits`.
    ///
    /// # Errors
    ///
    /// Returns all errors that were found.
    pub fn parse(body: &[u8], limits: &ChatLimits) -> Result<Self, ChatErrors> {
        if body.len() > limits.max_body_bytes {
            return Err(ChatErrors::from(ChatError::TooLarge {
                bytes: body.len(),
                limit: limits.max_body_bytes,
            }));
        }
        let fields: BodyFields<'_> = serde_json::from_slice(body)
            .map_err(|error| ChatError::NotJson(error.to_string().into()))?;
        Self::check(&fields, limits)
    }

    fn check(fields: &BodyFields<'_>, limits: &ChatLimits) -> Result<Self, ChatErrors> {
        let mut errors: Vec<ChatError> = fields
            .duplicates()
            .map(|name| ChatError::Duplicate(name.into()))
            .collect();
        let model = parse_model(fields, &mut errors);
        let prompt = parse_prompt(fields, limits, &mut errors);
        let output = parse_output_limit(fields, limits, &mut errors);
        let stream = parse_flag(fields, "stream", &mut errors);
        check_answer_count(fields, &mut errors);
        match model {
            Some(model) if errors.is_empty() => Ok(Self {
                model,
                stream,
                prompt: prompt.tokens(),
                prompt_head: prompt.head,
                output,
                engine_body: engine_body(fields, output),
            }),
            _ => Err(ChatErrors { errors }),
        }
    }

    /// The largest possible cost of the request: prompt plus output limit.
    #[must_use]
    pub const fn worst_case(&self) -> TokenCount {
        self.prompt.saturating_add(self.output)
    }
}

fn parse_value<'a, T: Deserialize<'a>>(
    value: &'a RawValue,
    field: &'static str,
    wanted: &'static str,
    errors: &mut Vec<ChatError>,
) -> Option<T> {
    let parsed = serde_json::from_str(value.get());
    if parsed.is_err() {
        errors.push(ChatError::WrongType { field, wanted });
    }
    parsed.ok()
}

fn parse_model(fields: &BodyFields<'_>, errors: &mut Vec<ChatError>) -> Option<ModelId> {
    let Some(value) = fields.value("model") else {
        errors.push(ChatError::Missing("model"));
        return None;
    };
    let text: Box<str> = parse_value(value, "model", "a text", errors)?;
    match ModelId::try_from(text) {
        Ok(model) => Some(model),
        Err(error) => {
            errors.push(ChatError::BadModel(error.to_string().into()));
            None
        }
    }
}

fn parse_prompt(
    fields: &BodyFields<'_>,
    limits: &ChatLimits,
    errors: &mut Vec<ChatError>,
) -> PromptText {
    if let Some(messages) = fields.value("messages") {
        return parse_messages(messages, limits.max_messages, errors);
    }
    errors.push(ChatError::Missing("messages"));
    PromptText::default()
}

fn parse_output_limit(
    fields: &BodyFields<'_>,
    limits: &ChatLimits,
    errors: &mut Vec<ChatError>,
) -> TokenCount {
    let older = parse_token_limit(fields, "max_tokens", limits, errors);
    let newer = parse_token_limit(fields, "max_completion_tokens", limits, errors);
    if let (Some(older), Some(newer)) = (older, newer)
        && older != newer
    {
        errors.push(ChatError::ConflictingOutputLimits);
    }
    newer.or(older).unwrap_or(limits.default_output)
}

fn parse_token_limit(
    fields: &BodyFields<'_>,
    field: &'static str,
    limits: &ChatLimits,
    errors: &mut Vec<ChatError>,
) -> Option<TokenCount> {
    let value = fields.value(field)?;
    let asked: u64 = parse_value(value, field, "a whole number", errors)?;
    let limit = limits.max_output.get();
    if asked == 0 {
        errors.push(ChatError::ZeroOutput(field));
    }
    if asked > limit {
        errors.push(ChatError::OutputTooLarge {
            field,
            asked,
            limit,
        });
    }
    Some(TokenCount::new(asked))
}

fn parse_flag(fields: &BodyFields<'_>, field: &'static str, errors: &mut Vec<ChatError>) -> bool {
    let value = fields.value(field);
    value
        .and_then(|value| parse_value(value, field, "true or false", errors))
        .unwrap_or(false)
}

/// Rejects requests for several answers (`n`, or `best_of` in older
/// interfaces), because each answer would cost up to the output limit.
fn check_answer_count(fields: &BodyFields<'_>, errors: &mut Vec<ChatError>) {
    let is_multiple = |name| {
        let value = fields.value(name);
        value.is_some_and(|value| value.get() != "1")
    };
    if is_multiple("n") || is_multiple("best_of") {
        errors.push(ChatError::MultipleAnswers);
    }
}

/// The caller's fields, with the [`OVERRIDDEN_FIELDS`] replaced.
fn engine_body(fields: &BodyFields<'_>, output: TokenCount) -> Vec<u8> {
    let mut body = Vec::new();
    let mut serializer = serde_json::Serializer::new(&mut body);
    write_engine_body(&mut serializer, fields, output).expect("parsed fields can be serialised");
    body
}

fn write_engine_body<S: Serializer>(
    serializer: S,
    fields: &BodyFields<'_>,
    output: TokenCount,
) -> Result<S::Ok, S::Error> {
    let mut map = serializer.serialize_map(None)?;
    for field in &fields.0 {
        if !OVERRIDDEN_FIELDS.contains(&&*field.name) {
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
