//! The loop of one request over backend servers: claim, choose, note, send,
//! refuse. Streams and plain services differ in the sending alone.
//!
//! An attempt that certainly did not run may go to another backend server, and
//! so may one that may have run, if its request may run twice.

use std::net::SocketAddr;
use std::sync::Arc;

use guavawell_core::backend::BackendLease;
use guavawell_core::id::AttemptId;
use guavawell_core::id::BackendId;
use guavawell_core::request::Refusal;
use guavawell_core::request::RefusalReason;

use super::attempt::OutgoingCall;
use super::choice::choose;
use super::choice::failed;
use super::choice::no_backend;
use super::choice::note;
use super::claim::ReadyAttempt;
use super::core::RouterCore;
use super::entry::CallerEntry;
use super::recover::cancel_later;
use super::reserve::HeldReservation;
use crate::engine::EngineError;

/// The request that a loop runs.
#[derive(Clone, Copy)]
pub struct AttemptRun<'c> {
    /// The router.
    pub core: &'c Arc<RouterCore>,
    /// The caller's entry.
    pub entry: &'c CallerEntry,
    /// What is sent.
    pub call: &'c OutgoingCall,
}

/// An attempt about to be sent to the chosen backend server.
#[derive(Debug)]
pub struct OpenAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// In flight at the backend server.
    pub lease: BackendLease,
    /// The backend server's address.
    pub address: SocketAddr,
    /// The backend server.
    pub backend: BackendId,
    /// Backend servers tried so far, this one included.
    pub tried: Vec<BackendId>,
}

/// What a failed exchange proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureProof {
    /// The attempt did not run.
    NotRun,
    /// It may have run, and its request may run twice.
    MayRunTwice,
    /// It may have run, and is not sent again.
    InDoubt,
}

/// Why a sending did not serve its request; its lease is finished.
#[derive(Debug)]
pub struct SendFailure {
    /// How the exchange failed.
    pub error: EngineError,
    /// What that proves.
    pub proof: FailureProof,
}

/// How a sending ended.
#[derive(Debug)]
pub struct SendEnd<T> {
    /// What came of it.
    pub result: Result<T, SendFailure>,
    /// Backend servers tried so far.
    pub tried: Vec<BackendId>,
}

/// Chooses backend servers until `send` serves the request at one.
///
/// # Errors
///
/// A refusal; if it says `unknown`, the reservation of a request that runs at
/// most once is kept in doubt.
pub async fn run_attempts<T, S, F>(
    run: AttemptRun<'_>,
    reservation: &mut HeldReservation,
    send: S,
) -> Result<T, Refusal>
where
    S: Fn(OpenAttempt) -> F,
    F: Future<Output = SendEnd<T>>,
{
    let AttemptRun { core, entry, call } = run;
    let attempt = reservation.attempt;
    let mut ready = ReadyAttempt::claim(core, entry, call, attempt).await?;
    let mut tried: Vec<BackendId> = Vec::new();
    loop {
        let lease = match choose(core, call, &tried) {
            Ok(lease) => lease,
            Err(cause) => return Err(ready.refuse(core, entry, &no_backend(cause)).await),
        };
        let backend = lease.backend().id().clone();
        tried.push(backend.clone());
        let Some(address) = core.address_of(&backend) else {
            continue;
        };
        note(core, reservation, &backend, call.idempotent);
        let underway = ready.send();
        let open = OpenAttempt {
            attempt,
            lease,
            address,
            backend: backend.clone(),
            tried,
        };
        let end = send(open).await;
        tried = end.tried;
        let failure = match end.result {
            Ok(served) => return Ok(served),
            Err(failure) => failure,
        };
        ready = match failure.proof {
            FailureProof::NotRun => underway.certainly_not_run(),
            FailureProof::MayRunTwice => underway.in_doubt(),
            FailureProof::InDoubt => {
                keep_in_doubt(run, reservation, &backend, address);
                return Err(in_doubt(&backend, &failure.error));
            }
        };
        if !core.retries.withdraw() {
            return Err(ready.refuse(core, entry, &failed(&failure.error)).await);
        }
    }
}

/// Keeps the worst case until the backend server's record tells; a request
/// that may run twice is given back instead, and its attempt cancelled.
fn keep_in_doubt(
    run: AttemptRun<'_>,
    reservation: &mut HeldReservation,
    backend: &BackendId,
    address: SocketAddr,
) {
    if run.call.idempotent {
        cancel_later(run.core, address, reservation.attempt);
    } else {
        reservation.doubt(backend);
    }
}

fn in_doubt(backend: &BackendId, failure: &EngineError) -> Refusal {
    let detail = format!("backend server {backend} failed: {failure}");
    Refusal::unknown(RefusalReason::BackendFailed, detail)
}
