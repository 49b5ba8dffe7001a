//! Parses the time for which a backend server asks for no further requests.

use thiserror::Error;

use crate::clock::ClockSpan;
use crate::number::whole;

/// Longest pause of a server, whatever it asks for. A wrong value would
/// otherwise exclude the server until it restarts.
const MAX_PAUSE: ClockSpan = ClockSpan::from_millis(120_000);
const SECOND_MS: f64 = 1_000.0;

/// Why a pause does not apply as stated.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PauseError {
    /// Not a decimal number of seconds.
    #[error("`{0}` is not a number of seconds, as in `1.5`")]
    Unreadable(Box<str>),
    /// Longer than the maximum, which applies instead.
    #[error("`{0}` seconds exceed the maximum pause of {MAX_PAUSE}, which applies instead")]
    TooLong(Box<str>),
}

/// Parses a pause in seconds, with decimals. Returns the pause that applies,
/// and an error if this is not the stated one: no pause for a malformed text,
/// the maximum for a longer pause.
#[must_use]
pub fn parse_pause(text: &str) -> (ClockSpan, Option<PauseError>) {
    let text = text.trim();
    // Only digits and points: `f64` would also accept signs, exponents and
    // `inf`.
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
