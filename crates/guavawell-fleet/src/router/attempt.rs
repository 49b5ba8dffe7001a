//! One streamed request at the backend servers: sending and recovery.
//!
//! An attempt that may have run is resumed where it is; a non-idempotent one is
//! never sent again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use guavawell_core::backend::BackendLease;
use guavawell_core::backend::PrefixHash;
use guavawell_core::backend::RouteTarget;
use guavawell_core::id::AttemptId;
use guavawell_core::id::BackendId;
use guavawell_core::request::FrameAction;
use guavawell_core::request::FrameCheck;
use guavawell_core::request::Refusal;
use guavawell_core::request::RefusalReason;
use smol::Timer;

use super::admit::AdmissionPass;
use super::choice::engine_request;
use super::choice::lease_outcome;
use super::core::RouterCore;
use super::hedge::start_hedged;
use super::recover::MAX_PROBES;
use super::recover::PROBE_PAUSE;
use super::recover::RecoveredAttempt;
use super::recover::cancel_later;
use super::recover::recover;
use super::reserve::HeldReservation;
use super::send::AttemptRun;
use super::send::FailureProof;
use super::send::OpenAttempt;
use super::send::SendEnd;
use super::send::SendFailure;
use super::send::run_attempts;
use super::serve::millis;
use crate::clock;
use crate::engine::EngineError;
use crate::engine::EngineEvent;
use crate::engine::EngineExchange;
use crate::engine::EngineRequest;

/// What is sent, whichever backend server gets it.
#[derive(Clone, Debug)]
pub struct OutgoingCall {
    /// The model or service.
    pub target: RouteTarget,
    /// Path at the backend server.
    pub path: Box<str>,
    /// Body.
    pub body: Arc<[u8]>,
    /// The prompt's prefix, for cache affinity.
    pub prefix: Option<PrefixHash>,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// A stream that has given its first event.
#[derive(Debug)]
pub struct LiveStream {
    /// The attempt.
    pub attempt: AttemptId,
    /// The backend server's address.
    pub address: SocketAddr,
    /// The backend server.
    pub backend: BackendId,
    /// In flight at the backend server; absent when an older attempt is followed.
    pub lease: Option<BackendLease>,
    /// The open exchange.
    pub exchange: EngineExchange,
    /// The stream's check.
    pub check: FrameCheck,
    /// The first event, accepted already.
    pub first: Option<CheckedEvent>,
}

/// An event that follows, with what to do with it.
#[derive(Debug)]
pub struct CheckedEvent {
    /// What to do with it.
    pub step: FrameAction,
    /// The event.
    pub event: EngineEvent,
}

/// Chooses backend servers until one runs the attempt and gives its first event.
///
/// # Errors
///
/// A refusal; if it says `unknown`, the reservation is kept in doubt.
pub async fn open_stream(
    run: AttemptRun<'_>,
    pass: &AdmissionPass,
    reservation: &mut HeldReservation,
) -> Result<LiveStream, Refusal> {
    let priority = pass.engine_priority();
    let message = engine_request(run.entry, run.call, reservation.attempt, priority);
    run_attempts(run, reservation, |open| send_stream(run, &message, open)).await
}

async fn send_stream(
    run: AttemptRun<'_>,
    message: &EngineRequest,
    open: OpenAttempt,
) -> SendEnd<LiveStream> {
    let started = start_hedged(run, message, open).await;
    let attempt = started.attempt;
    let result = match started.result {
        Ok((exchange, first)) => Ok(attempt.live(exchange, first)),
        Err(failure) => attempt.go_on(run.call, failure, started.other_ran).await,
    };
    SendEnd {
        result,
        tried: started.tried,
    }
}

/// Opens the stream of an attempt that another try began, from its start.
///
/// # Errors
///
/// A refusal: the answer cannot be given again.
pub async fn follow_stream(
    core: &Arc<RouterCore>,
    attempt: AttemptId,
    backend: &BackendId,
) -> Result<LiveStream, Refusal> {
    let gone = || {
        let detail = "this id ran before and its answer is no longer at the backend server";
        Refusal::unknown(RefusalReason::AlreadyRan, detail)
    };
    let address = core.address_of(backend).ok_or_else(gone)?;
    let mut check = FrameCheck::new(attempt);
    // The other try may have reserved but not sent yet.
    for _ in 0..MAX_PROBES {
        match core.engines.resume(address, attempt, None).await {
            Ok(mut exchange) => {
                let first = next_checked(core, &mut exchange, &mut check).await;
                let first = first.map_err(|_| gone())?;
                return Ok(LiveStream {
                    attempt,
                    address,
                    backend: backend.clone(),
                    lease: None,
                    exchange,
                    check,
                    first: Some(first),
                });
            }
            Err(_) => Timer::after(PROBE_PAUSE).await,
        };
    }
    Err(gone())
}

/// Reads the next event and checks it.
///
/// # Errors
///
/// As the exchange fails; a fault of the check is [`EngineError::Malformed`],
/// and an end without the end marker is [`EngineError::Lost`].
pub async fn next_checked(
    core: &RouterCore,
    exchange: &mut EngineExchange,
    check: &mut FrameCheck,
) -> Result<CheckedEvent, EngineError> {
    let idle = core.engines.settings().idle;
    let event = exchange.next(idle).await?;
    check_event(event, check)
}

/// The next event, if it has arrived already; checked as by [`next_checked`].
///
/// # Errors
///
/// As [`next_checked`].
pub async fn ready_checked(
    exchange: &mut EngineExchange,
    check: &mut FrameCheck,
) -> Option<Result<CheckedEvent, EngineError>> {
    let event = exchange.next_ready().await?;
    Some(event.and_then(|event| check_event(event, check)))
}

fn check_event(
    event: Option<EngineEvent>,
    check: &mut FrameCheck,
) -> Result<CheckedEvent, EngineError> {
    let event = event.ok_or_else(|| EngineError::Lost(std::io::ErrorKind::UnexpectedEof.into()))?;
    match check.accept(&event.id, &event.data) {
        Ok(step) => Ok(CheckedEvent { step, event }),
        Err(fault) => {
            metrics::counter!("guavawell_frame_faults_total").increment(1);
            Err(EngineError::Malformed(fault.to_string().into()))
        }
    }
}

/// An open exchange with its first event.
pub type StartedStream = (EngineExchange, CheckedEvent);

/// A started stream, or why there is none.
pub type StartResult = Result<StartedStream, EngineError>;

/// An attempt at one backend server.
pub struct StreamAttempt {
    core: Arc<RouterCore>,
    lease: BackendLease,
    address: SocketAddr,
    backend: BackendId,
    check: FrameCheck,
}

impl StreamAttempt {
    /// An attempt before its first byte.
    #[must_use]
    pub fn new(core: &Arc<RouterCore>, open: OpenAttempt) -> Self {
        Self {
            core: Arc::clone(core),
            lease: open.lease,
            address: open.address,
            backend: open.backend,
            check: FrameCheck::new(open.attempt),
        }
    }

    /// The backend server.
    #[must_use]
    pub fn backend(&self) -> &BackendId {
        &self.backend
    }

    /// The attempt's id.
    #[must_use]
    pub const fn attempt(&self) -> AttemptId {
        self.check.attempt()
    }

    /// Sends the attempt and waits for its first event.
    pub async fn start(&mut self, message: &EngineRequest) -> StartResult {
        let wait = self.core.engines.settings().idle;
        let start = Instant::now();
        let mut exchange = self.core.engines.send(self.address, message, wait).await?;
        let first = self.first_event(&mut exchange).await?;
        metrics::histogram!("guavawell_engine_first_event_ms").record(millis(start));
        Ok((exchange, first))
    }

    async fn first_event(
        &mut self,
        exchange: &mut EngineExchange,
    ) -> Result<CheckedEvent, EngineError> {
        next_checked(&self.core, exchange, &mut self.check).await
    }

    /// Goes on after a failure before the first event, where the backend
    /// server still has the attempt. With `other_ran`, a second attempt of the
    /// request may have run elsewhere, so that nothing proves it not run.
    async fn go_on(
        mut self,
        call: &OutgoingCall,
        error: EngineError,
        other_ran: bool,
    ) -> Result<LiveStream, SendFailure> {
        let not_run = if other_ran {
            FailureProof::MayRunTwice
        } else {
            FailureProof::NotRun
        };
        if error.certainly_not_run() {
            return Err(self.failed(error, not_run));
        }
        let proof = match recover(&self.core, self.address, &self.check).await {
            RecoveredAttempt::Resumed(mut exchange) => {
                self.lease.resumed();
                if let Ok(first) = self.first_event(&mut exchange).await {
                    return Ok(self.live(*exchange, first));
                }
                FailureProof::InDoubt
            }
            RecoveredAttempt::NeverSeen if call.idempotent => not_run,
            RecoveredAttempt::Unreachable if call.idempotent => {
                // The caller has seen nothing of it, and it may run twice.
                self.cancel_later();
                FailureProof::MayRunTwice
            }
            _ => FailureProof::InDoubt,
        };
        Err(self.failed(error, proof))
    }

    fn cancel_later(&self) {
        cancel_later(&self.core, self.address, self.check.attempt());
    }

    fn live(mut self, exchange: EngineExchange, first: CheckedEvent) -> LiveStream {
        self.lease.first_token(clock::now());
        LiveStream {
            attempt: self.check.attempt(),
            address: self.address,
            backend: self.backend,
            lease: Some(self.lease),
            exchange,
            check: self.check,
            first: Some(first),
        }
    }

    fn failed(self, error: EngineError, proof: FailureProof) -> SendFailure {
        self.close(&error);
        SendFailure { error, proof }
    }

    fn close(self, failure: &EngineError) {
        self.lease.finish(lease_outcome(failure), clock::now());
    }

    /// Ends the attempt that another one of its request went past: cancelled
    /// at its backend server, unless it failed and certainly did not run.
    pub fn lose(self, failure: Option<&EngineError>) {
        let may_run = failure.is_none_or(|failure| !failure.certainly_not_run());
        if may_run {
            self.cancel_later();
        }
        match failure {
            Some(failure) => self.close(failure),
            None => self.lease.overtaken(clock::now()),
        }
    }
}
