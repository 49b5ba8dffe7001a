//! What became of an attempt whose connection broke: the backend server is asked.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use guavawell_core::id::AttemptId;
use guavawell_core::request::FrameCheck;
use smol::Timer;

use super::core::RouterCore;
use crate::engine::AttemptState;
use crate::engine::EngineError;
use crate::engine::EngineExchange;

/// Looks at a backend server's record before an attempt is given up.
pub const MAX_PROBES: usize = 3;

/// Wait between two such looks.
pub const PROBE_PAUSE: Duration = Duration::from_millis(200);

/// What became of an attempt whose connection broke.
#[derive(Debug)]
pub enum RecoveredAttempt {
    /// It goes on after the last event.
    Resumed(Box<EngineExchange>),
    /// The backend server never saw it and will refuse it from now on.
    NeverSeen,
    /// It was cancelled.
    Cancelled,
    /// The backend server cannot be asked.
    Unreachable,
}

/// Finds out what became of an attempt, on new connections.
pub async fn recover(
    core: &RouterCore,
    address: SocketAddr,
    check: &FrameCheck,
) -> RecoveredAttempt {
    let attempt = check.attempt();
    for _ in 0..MAX_PROBES {
        match core.engines.record(address, attempt).await {
            Ok(record) if record.state == AttemptState::Cancelled => {
                return RecoveredAttempt::Cancelled;
            }
            Ok(_) => {
                let last = check.last_event_id();
                let resumed = core.engines.resume(address, attempt, last.as_deref()).await;
                if let Ok(exchange) = resumed {
                    metrics::counter!("guavawell_streams_resumed_total").increment(1);
                    return RecoveredAttempt::Resumed(Box::new(exchange));
                }
            }
            Err(EngineError::UnknownAttempt) => {
                // Marked first, so that a send that is still under way cannot run.
                if core.engines.cancel(address, attempt).await.is_ok() {
                    return RecoveredAttempt::NeverSeen;
                }
            }
            Err(_) => {}
        }
        Timer::after(PROBE_PAUSE).await;
    }
    RecoveredAttempt::Unreachable
}

/// Cancels an attempt in the background.
pub fn cancel_later(core: &Arc<RouterCore>, address: SocketAddr, attempt: AttemptId) {
    let task = {
        let core = Arc::clone(core);
        async move {
            for _ in 0..MAX_PROBES {
                if core.engines.cancel(address, attempt).await.is_ok() {
                    return;
                }
                Timer::after(PROBE_PAUSE).await;
            }
        }
    };
    core.tasks.spawn(task);
}
