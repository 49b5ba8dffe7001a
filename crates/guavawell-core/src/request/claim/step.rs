//! The state machine of one attempt's claim, seal or release.

use crate::budget::InstanceLife;
use crate::clock::ClockTime;
use crate::id::AttemptId;
use crate::id::ClaimGeneration;
use crate::request::attempt::UnsentAttempt;
use crate::request::claim::row::ClaimRow;
use crate::request::claim::row::ClaimState;
use crate::request::identity::RequestIdentity;
use crate::request::proof::SealProof;
use crate::retention::AttemptStart;

/// Most writes of one step; each one but the first follows a read-back.
const MAX_WRITES: u8 = 3;

/// What a step wants of the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimGoal {
    /// The attempt wants to run.
    Run,
    /// The attempt, unsent, is refused for good.
    Seal,
    /// The attempt, unsent, is given up and the id freed.
    Release,
}

/// What the table's driver reports.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimEvent {
    /// The write was applied at this revision.
    Written {
        /// The row's revision.
        revision: u64,
    },
    /// The write's condition did not hold, or a read back found this row.
    Found {
        /// The row.
        row: ClaimRow,
        /// Its revision.
        revision: u64,
    },
    /// A read back found no row, or a condition failed without one.
    Absent,
    /// The write may have been applied.
    Lost,
    /// The write was certainly not applied, or the read back gave no answer.
    Failed,
    /// The write was not applied, because another generation is in force.
    Stale {
        /// The generation in force.
        current: ClaimGeneration,
    },
}

/// What the driver does next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimEffect {
    /// Write the row if the key is at this revision, 0 for an absent key, and
    /// this generation is in force.
    Write {
        /// The revision expected.
        expected: u64,
        /// The generation that has to be in force.
        generation: ClaimGeneration,
        /// The row to write.
        row: ClaimRow,
    },
    /// Read the row.
    ReadBack,
    /// The step is over.
    Done(ClaimEnd),
}

/// How a step ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimEnd {
    /// The attempt holds the claim, and it alone may run.
    Held {
        /// The claim's revision.
        revision: u64,
    },
    /// The id is sealed.
    Sealed,
    /// The attempt is given up, and no write of it can take effect any more.
    Released,
    /// Another attempt holds the claim.
    TakenBy(ClaimRow),
    /// The table could not be asked; nothing was written.
    Unreachable,
    /// A write may have been applied, or may still be.
    Undecided,
    /// The try took so long that a claim of its id may have been swept since.
    Outlived,
    /// The id is so old, by its caller's word, that its claim may have been swept.
    Forgotten,
}

/// One attempt's way through claim, seal or release.
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
    end: Option<ClaimEnd>,
}

impl ClaimStep {
    /// A step of `attempt` towards `goal`.
    ///
    /// [`ClaimGoal::Seal`] and [`ClaimGoal::Release`] are for unsent attempts
    /// only; [`ClaimStep::seal_proof`] asks for the proof of that.
    #[must_use]
    pub const fn new(
        identity: RequestIdentity,
        goal: ClaimGoal,
        attempt: AttemptId,
        router: InstanceLife,
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
            end: None,
        }
    }

    /// The first effect: write where nothing should be yet, or, with the
    /// `revision` of the attempt's own claim, in its place. `current` is the
    /// generation that is thought to be in force.
    pub fn start(&mut self, revision: u64, current: ClaimGeneration) -> ClaimEffect {
        self.expected = revision;
        self.enter(current)
    }

    /// The effect that follows an event.
    pub fn on(&mut self, event: ClaimEvent) -> ClaimEffect {
        match event {
            ClaimEvent::Written { revision } => self.done(self.reached(revision)),
            ClaimEvent::Found { row, revision } => self.found(row, revision),
            ClaimEvent::Absent => self.absent(),
            ClaimEvent::Lost => {
                self.in_doubt = true;
                ClaimEffect::ReadBack
            }
            ClaimEvent::Failed => self.done(self.not_reached()),
            ClaimEvent::Stale { current } => self.enter(current),
        }
    }

    /// Goes on in the generation in force, unless a claim of the id that the
    /// caller may count on could be gone by now.
    fn enter(&mut self, current: ClaimGeneration) -> ClaimEffect {
        if self.start.may_be_swept(current) {
            return self.done(ClaimEnd::Forgotten);
        }
        if !self.start.may_write(current) {
            return self.done(self.outlived());
        }
        self.generation = current;
        self.write(self.expected)
    }

    /// No row: the first write of an id, unless the attempt held its claim.
    fn absent(&mut self) -> ClaimEffect {
        match (self.expected, self.goal) {
            (0, _) => self.write(0),
            // A swept claim is gone for good: no write of it is under way.
            (_, ClaimGoal::Release) => self.done(ClaimEnd::Released),
            _ => self.done(self.outlived()),
        }
    }

    fn found(&mut self, row: ClaimRow, revision: u64) -> ClaimEffect {
        let own = row.attempt == self.row.attempt;
        match (row.state, self.goal) {
            (ClaimState::Sealed, _) => self.done(ClaimEnd::Sealed),
            (ClaimState::Claimed, ClaimGoal::Run) if own => self.done(ClaimEnd::Held { revision }),
            (ClaimState::Released, ClaimGoal::Release) if own => self.done(ClaimEnd::Released),
            (ClaimState::Claimed, _) if !own => self.done(ClaimEnd::TakenBy(row)),
            (ClaimState::Claimed | ClaimState::Released, _) => self.write(revision),
        }
    }

    fn write(&mut self, expected: u64) -> ClaimEffect {
        if self.writes == MAX_WRITES {
            return self.done(self.not_reached());
        }
        self.writes += 1;
        self.expected = expected;
        ClaimEffect::Write {
            expected,
            generation: self.generation,
            row: self.row.clone(),
        }
    }

    const fn reached(&self, revision: u64) -> ClaimEnd {
        match self.goal {
            ClaimGoal::Run => ClaimEnd::Held { revision },
            ClaimGoal::Seal => ClaimEnd::Sealed,
            ClaimGoal::Release => ClaimEnd::Released,
        }
    }

    const fn not_reached(&self) -> ClaimEnd {
        if self.in_doubt {
            ClaimEnd::Undecided
        } else {
            ClaimEnd::Unreachable
        }
    }

    const fn outlived(&self) -> ClaimEnd {
        if self.in_doubt {
            ClaimEnd::Undecided
        } else {
            ClaimEnd::Outlived
        }
    }

    fn done(&mut self, end: ClaimEnd) -> ClaimEffect {
        self.end = Some(end.clone());
        ClaimEffect::Done(end)
    }

    /// The request.
    #[must_use]
    pub const fn identity(&self) -> &RequestIdentity {
        &self.identity
    }

    /// What it wants of the id.
    #[must_use]
    pub const fn goal(&self) -> ClaimGoal {
        self.goal
    }

    /// How the step ended, if it has.
    #[must_use]
    pub const fn end(&self) -> Option<&ClaimEnd> {
        self.end.as_ref()
    }

    /// The proof that the request never runs, if the id is sealed; it consumes
    /// the step's attempt.
    ///
    /// # Errors
    ///
    /// Gives the attempt back if the step did not end at a seal, or if the
    /// attempt is another one.
    pub fn seal_proof(&self, unsent: UnsentAttempt) -> Result<SealProof, UnsentAttempt> {
        let sealed = self.end == Some(ClaimEnd::Sealed);
        if sealed && unsent.id() == self.row.attempt {
            return Ok(SealProof::new(self.identity.clone()));
        }
        Err(unsent)
    }
}
