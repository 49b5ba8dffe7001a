//! What can go wrong between a router and a backend server.

use std::io;

use guavawell_core::clock::ClockSpan;
use thiserror::Error;

/// Why an exchange with a backend server failed.
///
/// The variants tell whether the attempt may have run, because that decides
/// what may be sent again and what a refusal may say.
#[derive(Debug, Error)]
pub enum EngineError {
    /// No byte of the request left this router.
    #[error("no connection: {0}")]
    NotSent(#[source] io::Error),
    /// The backend server refused before running anything.
    #[error("refused with status {status}")]
    Rejected {
        /// The HTTP status.
        status: u16,
        /// When the backend server says that a later try may work.
        retry_after: Option<ClockSpan>,
    },
    /// The connection broke after bytes may have arrived.
    #[error("connection lost: {0}")]
    Lost(#[source] io::Error),
    /// Nothing arrived within the idle bound.
    #[error("silent for longer than the idle bound")]
    Silent,
    /// The answer does not follow the protocol.
    #[error("malformed answer: {0}")]
    Malformed(Box<str>),
    /// The backend server does not know the attempt.
    #[error("attempt unknown to the backend server")]
    UnknownAttempt,
}

impl EngineError {
    /// Whether the attempt certainly did not run in this exchange.
    #[must_use]
    pub const fn certainly_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Rejected { .. })
    }
}
