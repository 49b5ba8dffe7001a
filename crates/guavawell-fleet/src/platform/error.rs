//! Why an exchange with the platform gave no answer, and what that says.

use guavawell_core::clock::ClockSpan;
use thiserror::Error;

/// A failed exchange with the platform.
///
/// The kinds differ in what is known of a write. A read never ends as
/// [`PlatformError::Lost`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The platform refused the request; it was not applied, and repeating it
    /// unchanged will not help.
    #[error("the platform refused: {0}")]
    Refused(Box<str>),
    /// The write may have been applied; read back before any second try.
    #[error("the platform's answer was lost: {0}")]
    Lost(Box<str>),
    /// The platform cannot be reached or is out; a write was not applied.
    #[error("the platform is out: {0}")]
    Outage(Box<str>),
    /// This router's share of writes is used up; the write was not sent.
    #[error("the share of platform writes is used up for {0}")]
    Throttled(ClockSpan),
}

impl PlatformError {
    /// Whether a write was certainly not applied.
    #[must_use]
    pub const fn not_applied(&self) -> bool {
        !matches!(self, Self::Lost(_))
    }

    /// The kind as a metric's label.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Refused(_) => "refused",
            Self::Lost(_) => "lost",
            Self::Outage(_) => "outage",
            Self::Throttled(_) => "throttled",
        }
    }
}
