//! Reads a caller's body within the limits.

use std::io;
use std::time::Duration;

use http_types::Request;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use thiserror::Error;

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// More bytes than the limit.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The caller was too slow.
    #[error("the body did not arrive within {} ms", .0.as_millis())]
    TimedOut(Duration),
    /// The connection ended before the stated length.
    #[error("the body ended early: {0}")]
    Truncated(#[source] io::Error),
}

/// The whole body of `request`.
///
/// # Errors
///
/// As [`BodyError`] tells.
pub async fn read_body(
    request: &mut Request,
    limit: usize,
    time: Duration,
) -> Result<Vec<u8>, BodyError> {
    let stated = request.len();
    if stated.is_some_and(|length| length > limit) {
        return Err(BodyError::TooLarge { limit });
    }
    let body = request.take_body();
    let mut bytes = Vec::with_capacity(stated.unwrap_or(0));
    let bound = u64::try_from(limit).unwrap_or(u64::MAX).saturating_add(1);
    let read = async {
        body.take(bound)
            .read_to_end(&mut bytes)
            .await
            .map_err(BodyError::Truncated)
    };
    let timeout = async {
        Timer::after(time).await;
        Err(BodyError::TimedOut(time))
    };
    read.or(timeout).await?;
    if bytes.len() > limit {
        return Err(BodyError::TooLarge { limit });
    }
    if stated.is_some_and(|length| length != bytes.len()) {
        return Err(BodyError::Truncated(io::ErrorKind::UnexpectedEof.into()));
    }
    Ok(bytes)
}
