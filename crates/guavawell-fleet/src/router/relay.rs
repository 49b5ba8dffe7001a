//! Relays a stream to the caller, settles it, and ends the answer.

use std::sync::Arc;
use std::time::Instant;

use guavawell_core::backend::LeaseOutcome;
use guavawell_core::budget::SettleAnswer;
use guavawell_core::budget::SettleRequest;
use guavawell_core::id::BackendId;
use guavawell_core::id::TokenCount;
use guavawell_core::request::FrameAction;
use guavawell_core::request::Refusal;
use guavawell_core::request::RefusalReason;
use guavawell_core::request::StreamUsage;

use super::admit::AdmissionPass;
use super::attempt::CheckedEvent;
use super::attempt::LiveStream;
use super::attempt::next_checked;
use super::attempt::ready_checked;
use super::choice::lease_outcome;
use super::core::RouterCore;
use super::recover::RecoveredAttempt;
use super::recover::cancel_later;
use super::recover::recover;
use super::reserve::HeldReservation;
use super::serve::millis;
use crate::clock;
use crate::engine::EngineError;
use crate::event::EventDraft;
use crate::slot::RunCharge;

/// Times that one answer is resumed before it is given up.
const MAX_RESUMES: usize = 5;

/// Most chunks given to the caller at once.
const MAX_BATCH: usize = 64;

/// The caller's connection is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLost;

/// How a relayed answer ended.
#[derive(Debug)]
pub enum RelayEnd {
    /// Whole and settled; the end marker may go out.
    Whole,
    /// The caller has gone.
    CallerGone,
    /// It cannot be finished.
    Broken(Refusal),
}

/// A stream with what it is paid from.
pub struct StreamRelay {
    /// The router.
    pub core: Arc<RouterCore>,
    /// The stream.
    pub live: LiveStream,
    /// The reservation; absent when another try pays.
    pub reservation: Option<HeldReservation>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The right to run, given back at the end.
    pub _pass: AdmissionPass,
    /// A failure that was met while looking for events behind others.
    pub failure: Option<EngineError>,
}

impl StreamRelay {
    /// Gives the chunks' data to `send`, those that arrived together at once,
    /// until the stream is whole; then settles.
    pub async fn run<F, Fut>(mut self, send: F) -> RelayEnd
    where
        F: Fn(Vec<Box<str>>) -> Fut,
        Fut: Future<Output = Result<(), CallerLost>>,
    {
        let mut is_gone = false;
        loop {
            let mut batch = Vec::new();
            let end = match self.gather(&mut batch).await {
                Ok(end) => end,
                Err(refusal) => return RelayEnd::Broken(refusal),
            };
            if !is_gone && !batch.is_empty() && send(batch).await.is_err() {
                if !self.may_come_back() {
                    return self.caller_gone().await;
                }
                is_gone = true;
            }
            if let Some(usage) = end {
                self.settle(usage.total()).await;
                let end = self.finish_whole();
                return if is_gone { RelayEnd::CallerGone } else { end };
            }
        }
    }

    /// Waits for the next event and takes those that have arrived behind it;
    /// the usage if the stream is whole with them.
    async fn gather(&mut self, batch: &mut Vec<Box<str>>) -> Result<Option<StreamUsage>, Refusal> {
        let mut next = Some(self.next().await?);
        while let Some(checked) = next {
            if let FrameAction::End(usage) = checked.step {
                return Ok(Some(usage));
            }
            batch.push(checked.event.data);
            if batch.len() == MAX_BATCH {
                break;
            }
            next = self.ready().await;
        }
        Ok(None)
    }

    /// The next event if it has arrived already; a failure waits for [`Self::next`].
    async fn ready(&mut self) -> Option<CheckedEvent> {
        let live = &mut self.live;
        match ready_checked(&mut live.exchange, &mut live.check).await? {
            Ok(checked) => Some(checked),
            Err(failure) => {
                self.failure = Some(failure);
                None
            }
        }
    }

    /// Whether a caller that went away may ask for this answer again: it named
    /// the id, so that a retry gets what runs now instead of nothing.
    fn may_come_back(&self) -> bool {
        let reservation = self.reservation.as_ref();
        reservation.is_some_and(|reservation| !reservation.identity.minted)
    }

    /// The next event, of a resumed stream if need be.
    async fn next(&mut self) -> Result<CheckedEvent, Refusal> {
        if let Some(first) = self.live.first.take() {
            return Ok(first);
        }
        for resumes in 1.. {
            let live = &mut self.live;
            let next = match self.failure.take() {
                Some(failure) => Err(failure),
                None => next_checked(&self.core, &mut live.exchange, &mut live.check).await,
            };
            match next {
                Ok(checked) => return Ok(checked),
                Err(failure) => self.resume(&failure, resumes).await?,
            }
        }
        unreachable!("resume refuses in the end")
    }

    /// Goes on with a broken stream where it is.
    async fn resume(&mut self, failure: &EngineError, resumes: usize) -> Result<(), Refusal> {
        self.core.engines.forget(self.live.address);
        let found = if resumes > MAX_RESUMES {
            RecoveredAttempt::Unreachable
        } else {
            recover(&self.core, self.live.address, &self.live.check).await
        };
        if let RecoveredAttempt::Resumed(exchange) = found {
            self.live.exchange = *exchange;
            if let Some(lease) = &mut self.live.lease {
                lease.resumed();
            }
            return Ok(());
        }
        if let Some(lease) = self.live.lease.take() {
            lease.finish(lease_outcome(failure), clock::now());
        }
        self.ended("cut");
        if self.idempotent {
            cancel_later(&self.core, self.live.address, self.live.attempt);
            // Dropped: given back, because the caller got no whole answer.
            self.reservation = None;
        } else if let Some(reservation) = &mut self.reservation {
            reservation.doubt(&self.live.backend);
        }
        let detail = format!(
            "backend server {} broke the answer off: {failure}",
            self.live.backend
        );
        Err(Refusal::unknown(RefusalReason::Interrupted, detail))
    }

    fn finish_whole(mut self) -> RelayEnd {
        if let Some(lease) = self.live.lease.take() {
            lease.finish(LeaseOutcome::Served, clock::now());
        }
        self.ended("done");
        self.core.retries.deposit();
        let limit = self.core.engines.settings().control;
        let exchange = self.live.exchange;
        let drain = async move { exchange.finish(limit).await };
        self.core.tasks.spawn(drain);
        RelayEnd::Whole
    }

    /// Charges what a caller that went away has used.
    async fn caller_gone(mut self) -> RelayEnd {
        if let Some(lease) = self.live.lease.take() {
            lease.finish(LeaseOutcome::Cancelled, clock::now());
        }
        self.ended("cancelled");
        if self.reservation.is_some() {
            let cancelled = self
                .core
                .engines
                .cancel(self.live.address, self.live.attempt)
                .await;
            match cancelled {
                Ok(record) => self.settle(record.total()).await,
                Err(_) => self.doubt(),
            }
        }
        RelayEnd::CallerGone
    }

    fn doubt(&mut self) {
        if let Some(reservation) = &mut self.reservation {
            reservation.doubt(&self.live.backend);
        }
    }

    /// Charges the attempt before the caller learns that its answer is whole.
    async fn settle(&mut self, actual: TokenCount) {
        if let Some(reservation) = self.reservation.take() {
            let backend = self.live.backend.clone();
            settle_reservation(&self.core, reservation, actual, backend).await;
        }
    }

    fn ended(&self, end: &str) {
        let mut event = EventDraft::new("attempt.ended").attempt(self.live.attempt);
        if let Some(reservation) = &self.reservation {
            let identity = &reservation.identity;
            event = event
                .organisation(&identity.organisation)
                .request(&identity.request);
        }
        self.core.events.emit(event.field("end", end));
    }
}

/// Charges a reservation and records what was charged.
pub async fn settle_reservation(
    core: &Arc<RouterCore>,
    mut reservation: HeldReservation,
    actual: TokenCount,
    backend: BackendId,
) {
    reservation.keep();
    let charge = RunCharge {
        budget: reservation.budget().clone(),
        slot: core.slots.slot_of(&reservation.identity.organisation),
        ask: SettleRequest {
            identity: reservation.identity.clone(),
            attempt: reservation.attempt,
            grant: reservation.grant.clone(),
            actual,
            backend: Some(backend),
        },
    };
    let start = Instant::now();
    let answer = core.slots.settle(charge).await;
    metrics::histogram!("guavawell_settle_ms").record(millis(start));
    if let Some(SettleAnswer::Settled { charged }) = answer {
        note(core, &reservation, "billing.recorded", charged);
    }
    let (kind, tokens) = match answer {
        Some(SettleAnswer::Settled { charged }) => ("reservation.settled", charged),
        Some(SettleAnswer::AlreadySettled { charged, .. }) => ("reservation.folded", charged),
        Some(SettleAnswer::Pending { charged, .. }) => ("reservation.pending", charged),
        Some(SettleAnswer::Unknown | SettleAnswer::NotHolder { .. }) => {
            metrics::counter!("guavawell_settles_unknown_total").increment(1);
            ("reservation.unknown", actual)
        }
        None => ("reservation.pending", actual),
    };
    note(core, &reservation, kind, tokens);
}

fn note(core: &RouterCore, reservation: &HeldReservation, kind: &str, tokens: TokenCount) {
    core.events.emit(
        EventDraft::new(kind)
            .organisation(&reservation.identity.organisation)
            .request(&reservation.identity.request)
            .attempt(reservation.attempt)
            .field("tokens", tokens),
    );
}
