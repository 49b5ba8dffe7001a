//! The state machine of one attempt's claim, seal or release.

use crate::budget::InstanceIncarnation;
use crate::clock::ClockTime;
use crate::id::AttemptId;
use crate::id::ClaimGeneration;
use crate::request::attempt::UnsentAttempt;
use crate::request::claim::row::ClaimRow;
use crate::request::claim::row::ClaimState;
use crate::request::identity::RequestIdentity;
use crate::request::proof::SealProof;
use crate::retention::AttemptStart;

/// Maximum number of writes in one step. Each further write follows a failed
/// condition, a read-back or a change of the generation.
const MAX_WRITE_ATTEMPTS: u8 = 3;

/// What a step should do with the request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimGoal {
    /// Claim the id, so that the attempt may run.
    Run,
    /// Seal the id, because the unsent attempt is refused permanently.
    Seal,
    /// Release the id, because the unsent attempt is given up.
    Release,
}

/// Result of a table operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimEvent {
    /// The write was applied at this revision.
    Written {
        /// The row's revision.
        revision: u64,
    },
    /// The revision differed from the expected one, or this is the result of a
    /// read-back. The row exists.
    Found {
        /// The row.
        row: ClaimRow,
        /// Its revision.
        revision: u64,
    },
    /// The revision differed from the expected one, or this is the result of a
    /// read-back. There is no row.
    Absent,
    /// The write was not answered and may have been applied.
    Unanswered,
    /// The write was certainly not applied, or the read-back was not answered.
    Failed,
    /// The write was not applied, because another generation is in force.
    Stale {
        /// The generation in force.
        current: ClaimGeneration,
    },
}

/// What the caller of the step has to do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimEffect {
    /// Write the row on two conditions: the key has this revision (0 if there
    /// is no row), and this generation is in force.
    Write {
        /// The expected revision.
        expected: u64,
        /// The generation that has to be in force.
        generation: ClaimGeneration,
        /// The row to write.
        row: ClaimRow,
    },
    /// Read the row.
    ReadBack,
    /// The step has ended.
    Done(ClaimOutcome),
}

/// How a step ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimOutcome {
    /// The attempt holds the claim. Only this attempt may run.
    Held {
        /// The claim's revision.
        revision: u64,
    },
    /// The id is sealed.
    Sealed,
    /// The id is released, and no delayed write of the attempt can be applied
    /// any more.
    Released,
    /// Another attempt holds the claim.
    TakenBy(ClaimRow),
    /// The table could not be reached; nothing was written.
    Unreachable,
    /// A write may have been applied, or may be applied later.
    Undecided,
    /// The try took so long that a claim of its id may have been swept since.
    TryExpired,
    /// According to the caller, the id is so old that its claim may have been
    /// swept.
    IdExpired,
}

/// Claims, seals or releases a request id for one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimStep {
    identity: RequestIdentity,
    goal: ClaimGoal,
    row: ClaimRow,
    start: AttemptStart,
    generation: ClaimGeneration,
    expected: u64,
    writes: u8,
    in_doubt: bool,
    outcome: Option<ClaimOutcome>,
}

impl ClaimStep {
    /// A step that pursues `goal` for `attempt`.
    ///
    /// [`ClaimGoal::Seal`] and [`ClaimGoal::Release`] are only for unsent
    /// attempts. [`ClaimStep::seal_proof`] therefore takes the unsent attempt.
    #[must_use]
    pub const fn new(
        identity: RequestIdentity,
        goal: ClaimGoal,
        attempt: AttemptId,
        router: InstanceIncarnation,
        at: ClockTime,
        start: AttemptStart,
    ) -> Self {
        let state = match goal {
            ClaimGoal::Run => ClaimState::Claimed,
            ClaimGoal::Seal => ClaimState::Sealed,
            ClaimGoal::Release => ClaimState::Released,
        };
        Self {
            identity,
            goal,
            row: ClaimRow {
                state,
                attempt,
                router,
                at,
            },
            start,
            generation: start.started_in,
            expected: 0,
            writes: 0,
            in_doubt: false,
            outcome: None,
        }
    }

    /// Starts the step and returns the first effect.
    ///
    /// `revision` is 0 if there should be no row yet. Otherwise it is the
    /// revision of the attempt's own claim, which the step overwrites.
    /// `current` is the generation that the router believes to be in force.
    pub fn start(&mut self, revision: u64, current: ClaimGeneration) -> ClaimEffect {
        self.expected = revision;
        self.continue_in(current)
    }

    /// Handles an event and returns the next effect.
    pub fn on(&mut self, event: ClaimEvent) -> ClaimEffect {
        match event {
            ClaimEvent::Written { revision } => self.done(self.success_outcome(revision)),
            ClaimEvent::Found { row, revision } => self.found(row, revision),
            ClaimEvent::Absent => self.absent(),
            ClaimEvent::Unanswered => {
                self.in_doubt = true;
                ClaimEffect::ReadBack
            }
            ClaimEvent::Failed => self.done(self.failure_outcome()),
            ClaimEvent::Stale { current } => self.continue_in(current),
        }
    }

    /// Writes in the generation in force, unless an earlier claim of the id may
    /// have been swept by now. Without that claim, the write could succeed
    /// although the request has run.
    fn continue_in(&mut self, current: ClaimGeneration) -> ClaimEffect {
        if self.start.may_be_swept(current) {
            return self.done(ClaimOutcome::IdExpired);
        }
        if !self.start.may_write(current) {
            return self.done(self.expiry_outcome());
        }
        self.generation = current;
        self.write(self.expected)
    }

    /// Handles an absent row. If the attempt expected its own claim, that claim
    /// was swept.
    fn absent(&mut self) -> ClaimEffect {
        match (self.expected, self.goal) {
            (0, _) => self.write(0),
            // A swept claim needs no release: no write of it is still under
            // way.
            (_, ClaimGoal::Release) => self.done(ClaimOutcome::Released),
            _ => self.done(self.expiry_outcome()),
        }
    }

    fn found(&mut self, row: ClaimRow, revision: u64) -> ClaimEffect {
        let is_own = row.attempt == self.row.attempt;
        match (row.state, self.goal) {
            (ClaimState::Sealed, _) => self.done(ClaimOutcome::Sealed),
            (ClaimState::Claimed, ClaimGoal::Run) if is_own => {
                self.done(ClaimOutcome::Held { revision })
            }
            (ClaimState::Released, ClaimGoal::Release) if is_own => {
                self.done(ClaimOutcome::Released)
            }
            (ClaimState::Claimed, _) if !is_own => self.done(ClaimOutcome::TakenBy(row)),
            (ClaimState::Claimed | ClaimState::Released, _) => self.write(revision),
        }
    }

    fn write(&mut self, expected: u64) -> ClaimEffect {
        if self.writes == MAX_WRITE_ATTEMPTS {
            return self.done(self.failure_outcome());
        }
        self.writes += 1;
        self.expected = expected;
        ClaimEffect::Write {
            expected,
            generation: self.generation,
            row: self.row.clone(),
        }
    }

    const fn success_outcome(&self, revision: u64) -> ClaimOutcome {
        match self.goal {
            ClaimGoal::Run => ClaimOutcome::Held { revision },
            ClaimGoal::Seal => ClaimOutcome::Sealed,
            ClaimGoal::Release => ClaimOutcome::Released,
        }
    }

    const fn failure_outcome(&self) -> ClaimOutcome {
        if self.in_doubt {
            ClaimOutcome::Undecided
        } else {
            ClaimOutcome::Unreachable
        }
    }

    const fn expiry_outcome(&self) -> ClaimOutcome {
        if self.in_doubt {
            ClaimOutcome::Undecided
        } else {
            ClaimOutcome::TryExpired
        }
    }

    fn done(&mut self, outcome: ClaimOutcome) -> ClaimEffect {
        self.outcome = Some(outcome.clone());
        ClaimEffect::Done(outcome)
    }

    /// The identity of the request.
    #[must_use]
    pub const fn identity(&self) -> &RequestIdentity {
        &self.identity
    }

    /// What the step should do with the request id.
    #[must_use]
    pub const fn goal(&self) -> ClaimGoal {
        self.goal
    }

    /// How the step ended, if it has.
    #[must_use]
    pub const fn outcome(&self) -> Option<&ClaimOutcome> {
        self.outcome.as_ref()
    }

    /// Proves that the request never runs, if the id is sealed. Consumes the
    /// attempt of the step.
    ///
    /// # Errors
    ///
    /// Returns the attempt if the id is not sealed, or if the attempt does not
    /// belong to the step.
    pub fn seal_proof(&self, unsent: UnsentAttempt) -> Result<SealProof, UnsentAttempt> {
        let sealed = self.outcome == Some(ClaimOutcome::Sealed);
        if sealed && unsent.id() == self.row.attempt {
            return Ok(SealProof::new(self.identity.clone()));
        }
        Err(unsent)
    }
}
