//! What an answer's status, or the lack of an answer, says of an exchange.

use super::error::PlatformError;
use super::exchange::ExchangeKind;
use super::exchange::PlatformAnswer;

/// Parts of error messages with which the table service says that it stopped
/// waiting for a write that may still be applied (etcd's published errors).
const IN_DOUBT_MESSAGES: [&str; 2] = ["timed out", "leader changed"];

/// Longest part of an error's body that is quoted, in characters.
const QUOTE_CHARS: usize = 200;

/// What a missing answer says.
pub(super) fn no_answer(kind: ExchangeKind, detail: &str) -> PlatformError {
    match kind {
        ExchangeKind::Read(_) => PlatformError::Outage(detail.into()),
        ExchangeKind::Write(_) => PlatformError::Lost(detail.into()),
    }
}

/// What an answer's status says; 2xx, 404 and 412 are left to the caller.
pub(super) fn judge(
    kind: ExchangeKind,
    answer: PlatformAnswer,
) -> Result<PlatformAnswer, PlatformError> {
    match answer.status {
        200..=299 | 404 | 412 => Ok(answer),
        429 => Err(PlatformError::Outage("429 too many requests".into())),
        503 => Err(unavailable(kind, &answer)),
        400..=499 => Err(PlatformError::Refused(describe(&answer))),
        // No other status excludes that a write was applied.
        _ => Err(no_answer(kind, &describe(&answer))),
    }
}

fn unavailable(kind: ExchangeKind, answer: &PlatformAnswer) -> PlatformError {
    let text = describe(answer);
    if IN_DOUBT_MESSAGES
        .iter()
        .any(|message| text.contains(message))
    {
        return no_answer(kind, &text);
    }
    PlatformError::Outage(text)
}

fn describe(answer: &PlatformAnswer) -> Box<str> {
    let body = String::from_utf8_lossy(&answer.body);
    let quote: String = body.chars().take(QUOTE_CHARS).collect();
    format!("{} {quote}", answer.status).into()
}
