//! One streamed answer of a backend server, read event by event.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol::Timer;
use smol::future::FutureExt;
use smol::future::poll_once;
use smol::io::AsyncReadExt;

use super::EngineError;
use super::EngineEvent;
use super::client::EngineResponse;
use super::event::EventReader;
use super::pool::ConnectionPool;

/// A streamed answer in progress.
///
/// Dropping it closes the connection; only [`EngineExchange::finish`] gives a
/// connection back, and only when the answer was read to its end.
#[derive(Debug)]
pub struct EngineExchange {
    pub(super) address: SocketAddr,
    pub(super) response: EngineResponse,
    pub(super) events: EventReader,
    pub(super) pool: Arc<ConnectionPool>,
}

impl EngineExchange {
    /// The next event; `None` at the end of the answer.
    ///
    /// # Errors
    ///
    /// [`EngineError::Silent`] after `idle` without a whole event; otherwise
    /// as the connection and the answer fail.
    pub async fn next(&mut self, idle: Duration) -> Result<Option<EngineEvent>, EngineError> {
        let read = self.events.next(&mut self.response);
        let silence = async {
            Timer::after(idle).await;
            Err(EngineError::Silent)
        };
        read.or(silence).await
    }

    /// The next event, if it has arrived already.
    pub async fn next_ready(&mut self) -> Option<Result<Option<EngineEvent>, EngineError>> {
        poll_once(self.events.next(&mut self.response)).await
    }

    /// Ends the exchange after its end marker and keeps the connection.
    pub async fn finish(mut self, limit: Duration) {
        let mut rest = Vec::new();
        let read = async {
            let read = (&mut self.response).take(1).read_to_end(&mut rest).await;
            matches!(read, Ok(0))
        };
        let timeout = async {
            Timer::after(limit).await;
            false
        };
        if read.or(timeout).await
            && let Some(stream) = self.response.into_idle()
        {
            self.pool.give_back(self.address, stream);
        }
    }
}
