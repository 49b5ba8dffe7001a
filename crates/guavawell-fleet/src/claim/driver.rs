//! Runs claims, seals and releases against the table.

use std::time::Duration;

use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::AttemptId;
use guavawell_core::id::ClaimGeneration;
use guavawell_core::platform::BackoffPolicy;
use guavawell_core::platform::Jitter;
use guavawell_core::request::Refusal;
use guavawell_core::request::RefusalReason;
use guavawell_core::request::RequestIdentity;
use guavawell_core::request::UnsentAttempt;
use guavawell_core::request::claim::ClaimEffect;
use guavawell_core::request::claim::ClaimEvent;
use guavawell_core::request::claim::ClaimGoal;
use guavawell_core::request::claim::ClaimOutcome;
use guavawell_core::request::claim::ClaimRow;
use guavawell_core::request::claim::ClaimStep;
use guavawell_core::request::claim::claim_key;
use guavawell_core::request::claim::needs_claim;
use guavawell_core::request::claim::run_or_refuse;
use guavawell_core::request::claim::seal_refusal;
use guavawell_core::retention::AttemptStart;
use smol::Timer;
use smol::channel;
use smol::channel::Sender;

use super::batch::BatchSettings;
use super::batch::QueuedWrite;
use super::batch::seen;
use super::batch::write_batches;
use super::book::GenerationBook;
use crate::clock::duration;
use crate::clock::now;
use crate::platform::Table;

/// Writes that may wait for a transaction.
const QUEUE_LENGTH: usize = 4_096;
/// Tries to free an id whose claim was given up in doubt.
const RELEASE_TRIES: u32 = 20;
/// Time between two reads of the generation in force. Writes learn of another
/// one by themselves; reads keep a router without claims from starting its
/// tries in an old one.
const GENERATION_EVERY: Duration = Duration::from_secs(60);

/// An attempt that alone may run, not sent yet.
#[derive(Debug, PartialEq, Eq)]
pub struct HeldClaim {
    /// The attempt.
    pub attempt: UnsentAttempt,
    /// The claim's revision in the table.
    pub revision: u64,
}

/// The answer to a claim.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The attempt alone may run.
    Held(HeldClaim),
    /// Another attempt holds the id; its answer may be resumed or replayed.
    TakenBy {
        /// The other attempt's claim.
        row: ClaimRow,
        /// This attempt, which must not be sent.
        attempt: UnsentAttempt,
    },
    /// The attempt must not run.
    Refused(Refusal),
}

/// Why an unsent attempt is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusalCause {
    /// The reason.
    pub reason: RefusalReason,
    /// What happened, for the caller.
    pub detail: Box<str>,
    /// When a later try may work.
    pub retry_after: Option<ClockSpan>,
}

/// Claims and seals of one router; clones share their queue.
#[derive(Clone, Debug)]
pub struct ClaimDriver {
    table: Table,
    router: InstanceIncarnation,
    queue: Sender<QueuedWrite>,
    book: GenerationBook,
    backoff: BackoffPolicy,
}

impl ClaimDriver {
    /// Starts the task that writes the claims of `router`.
    #[must_use]
    pub fn start(table: Table, router: InstanceIncarnation, settings: BatchSettings) -> Self {
        let (queue, writes) = channel::bounded(QUEUE_LENGTH);
        let book = GenerationBook::default();
        let batches = write_batches(table.clone(), settings, writes, book.clone());
        smol::spawn(batches).detach();
        Self {
            table,
            router,
            queue,
            book,
            backoff: BackoffPolicy::default(),
        }
    }

    /// The start of a try whose request was read now.
    #[must_use]
    pub fn start_try(&self) -> AttemptStart {
        AttemptStart::new(self.book.known().generation)
    }

    /// The generation to name in answers, once the table has told it.
    #[must_use]
    pub fn named_generation(&self) -> Option<ClaimGeneration> {
        self.book.named()
    }

    /// Reads the generation in force, as long as it runs.
    pub async fn watch_generation(self) {
        loop {
            self.book.read(&self.table).await;
            Timer::after(GENERATION_EVERY).await;
        }
    }

    /// Claims a request for an attempt, before its first byte is sent.
    ///
    /// Where the future is dropped, because the caller went away, the id is
    /// freed in the background.
    pub async fn claim(
        &self,
        identity: &RequestIdentity,
        attempt: UnsentAttempt,
        start: AttemptStart,
    ) -> ClaimAnswer {
        let mut pending = PendingClaim {
            driver: self,
            identity,
            attempt: attempt.id(),
            is_open: true,
        };
        let mut step = self.step(identity, ClaimGoal::Run, attempt.id(), start);
        self.finish(&mut step, 0).await;
        pending.is_open = step.outcome() == Some(&ClaimOutcome::Undecided);
        let retry_after = self.backoff.wait(1, Jitter(fastrand::u16(..)));
        match step.outcome() {
            Some(ClaimOutcome::Held { revision }) => ClaimAnswer::Held(HeldClaim {
                attempt,
                revision: *revision,
            }),
            Some(ClaimOutcome::TakenBy(row)) => ClaimAnswer::TakenBy {
                row: row.clone(),
                attempt,
            },
            _ => refused(run_or_refuse(&step, attempt, retry_after)),
        }
    }

    /// Refuses an attempt that holds no claim, saying as much as can be proved.
    pub async fn refuse(
        &self,
        identity: &RequestIdentity,
        idempotent: bool,
        attempt: UnsentAttempt,
        start: AttemptStart,
        cause: &RefusalCause,
    ) -> Refusal {
        let seals = needs_claim(identity, idempotent) && cause.reason.should_seal();
        let refusal = if seals {
            let step = self.step(identity, ClaimGoal::Seal, attempt.id(), start);
            self.seal(step, attempt, 0, cause).await
        } else {
            Refusal::unsealed(identity, attempt, cause.reason, cause.detail.clone())
        };
        hinted(refusal, cause)
    }

    /// Refuses an attempt that holds its claim and was not sent: seals the id,
    /// or frees it for a retry.
    pub async fn refuse_held(
        &self,
        identity: &RequestIdentity,
        claim: HeldClaim,
        cause: &RefusalCause,
    ) -> Refusal {
        let HeldClaim { attempt, revision } = claim;
        if cause.reason.should_seal() {
            let start = self.start_try();
            let step = self.step(identity, ClaimGoal::Seal, attempt.id(), start);
            let refusal = self.seal(step, attempt, revision, cause).await;
            return hinted(refusal, cause);
        }
        let id = attempt.id();
        let step = self.release(identity, id, revision).await;
        if matches!(
            step.outcome(),
            Some(ClaimOutcome::Undecided | ClaimOutcome::Unreachable)
        ) {
            self.release_later(identity, id);
        }
        let refusal = Refusal::retry(attempt, cause.reason, cause.detail.clone());
        hinted(refusal, cause)
    }

    async fn seal(
        &self,
        mut step: ClaimStep,
        attempt: UnsentAttempt,
        revision: u64,
        cause: &RefusalCause,
    ) -> Refusal {
        self.finish(&mut step, revision).await;
        seal_refusal(&step, attempt, cause.reason, &cause.detail)
    }

    /// Frees an id in the background once the table answers again.
    fn release_later(&self, identity: &RequestIdentity, attempt: AttemptId) {
        let driver = self.clone();
        let identity = identity.clone();
        smol::spawn(async move {
            for failures in 1..=RELEASE_TRIES {
                let wait = driver.backoff.wait(failures, Jitter(fastrand::u16(..)));
                Timer::after(duration(wait)).await;
                let step = driver.release(&identity, attempt, 0).await;
                let end = step.outcome();
                if !matches!(
                    end,
                    Some(ClaimOutcome::Undecided | ClaimOutcome::Unreachable)
                ) {
                    return;
                }
            }
            metrics::counter!("guavawell_claims_stranded_total").increment(1);
        })
        .detach();
    }

    /// Frees the id of an unsent attempt. It runs nothing, so that its own
    /// age does not matter.
    async fn release(
        &self,
        identity: &RequestIdentity,
        attempt: AttemptId,
        revision: u64,
    ) -> ClaimStep {
        let mut step = self.step(identity, ClaimGoal::Release, attempt, self.start_try());
        self.finish(&mut step, revision).await;
        step
    }

    fn step(
        &self,
        identity: &RequestIdentity,
        goal: ClaimGoal,
        attempt: AttemptId,
        start: AttemptStart,
    ) -> ClaimStep {
        let router = self.router.clone();
        ClaimStep::new(identity.clone(), goal, attempt, router, now(), start)
    }

    /// Runs a step to its end.
    async fn finish(&self, step: &mut ClaimStep, revision: u64) {
        let identity = step.identity().clone();
        let mut effect = step.start(revision, self.book.known().generation);
        loop {
            let event = match effect {
                ClaimEffect::Write {
                    expected,
                    generation,
                    row,
                } => self.write(&identity, expected, generation, row).await,
                ClaimEffect::ReadBack => self.read(&identity).await,
                ClaimEffect::Done(end) => {
                    count_end(step.goal(), &end);
                    return;
                }
            };
            effect = step.on(event);
        }
    }

    async fn write(
        &self,
        identity: &RequestIdentity,
        expected: u64,
        generation: ClaimGeneration,
        row: ClaimRow,
    ) -> ClaimEvent {
        let (answer, answered) = channel::bounded(1);
        let write = QueuedWrite {
            key: claim_key(identity),
            expected,
            generation,
            row,
            answer,
        };
        if self.queue.send(write).await.is_err() {
            return ClaimEvent::Failed;
        }
        // The task ends only with the process; a write then is in doubt.
        answered.recv().await.unwrap_or(ClaimEvent::Unanswered)
    }

    async fn read(&self, identity: &RequestIdentity) -> ClaimEvent {
        match self.table.get(&claim_key(identity)).await {
            Ok(read) => seen(read.row.as_ref()),
            Err(_) => ClaimEvent::Failed,
        }
    }
}

/// Frees the id of a claim that was given up before it was decided.
struct PendingClaim<'a> {
    driver: &'a ClaimDriver,
    identity: &'a RequestIdentity,
    attempt: AttemptId,
    is_open: bool,
}

impl Drop for PendingClaim<'_> {
    fn drop(&mut self) {
        if self.is_open {
            self.driver.release_later(self.identity, self.attempt);
        }
    }
}

fn refused(result: Result<UnsentAttempt, Refusal>) -> ClaimAnswer {
    match result {
        Err(refusal) => ClaimAnswer::Refused(refusal),
        Ok(_) => unreachable!("a held claim was answered before"),
    }
}

fn hinted(refusal: Refusal, cause: &RefusalCause) -> Refusal {
    match cause.retry_after {
        Some(span) => refusal.after(span),
        None => refusal,
    }
}

fn count_end(goal: ClaimGoal, end: &ClaimOutcome) {
    let goal = match goal {
        ClaimGoal::Run => "run",
        ClaimGoal::Seal => "seal",
        ClaimGoal::Release => "release",
    };
    let end = match end {
        ClaimOutcome::Held { .. } => "held",
        ClaimOutcome::Sealed => "sealed",
        ClaimOutcome::Released => "released",
        ClaimOutcome::TakenBy(_) => "taken",
        ClaimOutcome::Unreachable => "unreachable",
        ClaimOutcome::Undecided => "undecided",
        ClaimOutcome::TryExpired => "outlived",
        ClaimOutcome::IdExpired => "forgotten",
    };
    metrics::counter!("guavawell_claim_steps_total", "goal" => goal, "end" => end).increment(1);
}
