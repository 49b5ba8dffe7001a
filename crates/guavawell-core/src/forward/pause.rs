//! For how long a server that turned a request away wants no other one.

use thiserror::Error;

use crate::clock::ClockSpan;
use crate::number::whole;

/// Longest pause that a server is given, whatever it asks for: one that is wrong
/// about it would be lost to all until it starts again.
const MAX_PAUSE: ClockSpan = ClockSpan::from_millis(120_000);
/// Milliseconds of a second.
const SECOND_MS: f64 = 1_000.0;

/// Why a time is not kept as it was named.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PauseError {
    /// Not a number of seconds.
    #[error("`{0}` is no number of seconds, as in `1.5`")]
    Unreadable(Box<str>),
    /// Longer than any server is left alone.
    #[error("`{0}` seconds are longer than {MAX_PAUSE}, which is kept to")]
    TooLong(Box<str>),
}

/// The pause that a server names in seconds, with fractions; none where it names
/// none that can be read.
#[must_use]
pub fn parse_pause(text: &str) -> (ClockSpan, Option<PauseError>) {
    let text = text.trim();
    // Dates, signs, exponents and names of numbers are none.
    let plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds = text.parse::<f64>().ok().filter(|_| plain);
    let Some(seconds) = seconds else {
        return (ClockSpan::ZERO, Some(PauseError::Unreadable(text.into())));
    };
    let millis = seconds * SECOND_MS;
    let pause = ClockSpan::from_millis(whole(millis.ceil()));
    if pause > MAX_PAUSE {
        return (MAX_PAUSE, Some(PauseError::TooLong(text.into())));
    }
    (pause, None)
}
