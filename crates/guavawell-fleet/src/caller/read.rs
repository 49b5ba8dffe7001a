//! Reads a caller's body within the limits.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http_types::Request;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use thiserror::Error;

use super::memory::BodyMemory;
use super::memory::BodyShare;

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// More bytes than the limit.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The bodies of other requests take the memory.
    #[error("the bodies of other requests take the memory for them")]
    NoMemory,
    /// The caller was too slow.
    #[error("the body did not arrive within {} ms", .0.as_millis())]
    TimedOut(Duration),
    /// The connection ended before the stated length.
    #[error("the body ended early: {0}")]
    Truncated(#[source] io::Error),
}

/// Limits on a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Most bytes.
    pub bytes: usize,
    /// Longest time until it has arrived.
    pub time: Duration,
}

/// A body that was read.
#[derive(Debug)]
pub struct CallerBody {
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// Its memory.
    _share: BodyShare,
}

/// The whole body of `request`. Memory for it is reserved before it is read: as much as it
/// may take if its length is not stated.
///
/// # Errors
///
/// As [`BodyError`] tells.
pub async fn read_body(
    request: &mut Request,
    limits: BodyLimits,
    memory: &Arc<BodyMemory>,
) -> Result<CallerBody, BodyError> {
    let BodyLimits { bytes: limit, time } = limits;
    let stated = request.len();
    if stated.is_some_and(|length| length > limit) {
        return Err(BodyError::TooLarge { limit });
    }
    let mut share = memory
        .reserve(stated.unwrap_or(limit))
        .ok_or(BodyError::NoMemory)?;
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
    share.shrink(bytes.len());
    Ok(CallerBody {
        bytes,
        _share: share,
    })
}
