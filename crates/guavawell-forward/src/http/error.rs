//! Why a connection cannot be used any more, and time limits of its steps.

use std::io;
use std::time::Duration;

use guavawell_core::forward::CutCause;
use smol::Timer;
use thiserror::Error;

use super::BodyError;
use super::HeadError;
use crate::response_check::ResponseFault;

/// Why a connection cannot be used any more.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// The connection was closed between two messages.
    #[error("connection closed")]
    Closed,
    /// The connection was closed within a message.
    #[error("connection closed within a message")]
    Truncated,
    /// The connection ended within a body that lasts until its server ends it.
    #[error("response cut: {}", .0.as_str())]
    Cut(CutCause),
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// A head is longer than allowed.
    #[error("head longer than allowed")]
    HeadTooLong,
    /// A body is longer than allowed.
    #[error("body longer than allowed")]
    BodyTooLong,
    /// A head is malformed.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// A body is malformed.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// A response is no answer to its request.
    #[error(transparent)]
    Response(#[from] ResponseFault),
    /// A step did not finish within its time limit.
    #[error("timed out")]
    TimedOut,
}

impl ChannelError {
    /// Whether nobody listens at the address.
    #[must_use]
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Whether what arrived is no message of the protocol, or none that was due.
    #[must_use]
    pub const fn is_malformed(&self) -> bool {
        matches!(
            self,
            Self::HeadTooLong | Self::Head(_) | Self::Body(_) | Self::Response(_)
        )
    }

    /// Whether the connection was refused or reset, rather than left unanswered.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        let is_reset =
            matches!(self, Self::Io(error) if error.kind() == io::ErrorKind::ConnectionReset);
        is_reset || self.is_connection_refused()
    }
}

/// Runs `step` with a time limit.
///
/// # Errors
///
/// The error of `step`, or `TimedOut`.
pub async fn within<T>(
    limit: Duration,
    step: impl Future<Output = Result<T, ChannelError>>,
) -> Result<T, ChannelError> {
    let timeout = async {
        Timer::after(limit).await;
        Err(ChannelError::TimedOut)
    };
    futures_lite::future::or(step, timeout).await
}
