//! How age is known: the rows of generation and sweep, and who may end a
//! generation.
//!
//! The sweep's row counts the time that single monotonic clocks saw pass
//! while it stood unchanged. Each write adds the span between the moment at
//! which its writer read the row and the moment at which it sends the write,
//! if the row is still the one that was read. Such spans never overlap, so
//! their sum is never longer than the time that really passed; a writer that
//! pauses, crashes or loses a race only makes it shorter.

use serde::Deserialize;
use serde::Serialize;

use super::generation::KEPT_GENERATIONS;
use super::settings::RetentionSettings;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::ClaimGeneration;

/// The row at [`super::GENERATION_KEY`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GenerationRow {
    /// The generation in force.
    pub generation: ClaimGeneration,
}

/// The row at [`super::SWEEP_KEY`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SweepRow {
    /// Time that the generation in force has lasted at least.
    pub aged: ClockSpan,
    /// Revisions at which former generations began, oldest first; as many as
    /// a sweep needs.
    pub starts: Vec<u64>,
    /// The generation in which the pass under way, or the last one, began.
    pub pass: ClaimGeneration,
    /// Where the pass under way stands; `None` once it is over.
    pub cursor: Option<Box<str>>,
    /// Rows deleted since the fleet's beginning; a lost note loses some.
    pub deleted: u64,
}

/// Both rows, as read in one transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RetentionView {
    /// The row of the generation.
    pub generation: GenerationRow,
    /// Its revision; 0 for an absent row.
    pub generation_revision: u64,
    /// The row of the sweep.
    pub sweep: SweepRow,
    /// Its revision; 0 for an absent row.
    pub sweep_revision: u64,
}

impl RetentionView {
    /// Rows last written before this revision may be deleted; 0: none.
    #[must_use]
    pub fn due_before(&self) -> u64 {
        let starts = &self.sweep.starts;
        // The generation in force began at its row's revision, the one before
        // at the last of `starts`, and so on.
        let kept_starts = usize::try_from(KEPT_GENERATIONS + 1).unwrap_or(usize::MAX);
        starts
            .len()
            .checked_sub(kept_starts)
            .map_or(0, |index| starts[index])
    }
}

/// A write of the sweep's row, and of the generation's if it ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RetentionWrite {
    /// The sweep's row.
    pub sweep: SweepRow,
    /// The next generation, if the one in force ends.
    pub advance: Option<GenerationRow>,
}

/// What the driver does next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RetentionEffect {
    /// Write, comparing both rows' revisions; then read them again.
    Write(RetentionWrite),
    /// Look at the page behind the cursor for rows before the revision.
    Scan {
        /// The last key that was looked at.
        after: Option<Box<str>>,
        /// Rows last written before it may go.
        due_before: u64,
    },
    /// Nothing is due.
    Idle,
}

/// One router's part in keeping the generations; others may do the same.
#[derive(Clone, Debug)]
pub struct RetentionScheduler {
    settings: RetentionSettings,
    observed: Option<ObservedView>,
}

#[derive(Clone, Debug)]
struct ObservedView {
    view: RetentionView,
    /// When its answer had come.
    at: ClockTime,
    /// Progress since, not noted in the table yet.
    sweep: SweepRow,
}

impl RetentionScheduler {
    /// A keeper that has seen nothing.
    #[must_use]
    pub const fn new(settings: RetentionSettings) -> Self {
        Self {
            settings,
            observed: None,
        }
    }

    /// Takes what a read found; `now` is taken after its answer came.
    pub fn observe(&mut self, view: RetentionView, now: ClockTime) {
        if self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.view == view)
        {
            return;
        }
        let sweep = view.sweep.clone();
        self.observed = Some(ObservedView {
            view,
            at: now,
            sweep,
        });
    }

    /// Forgets what was read, after a write with whatever answer or while
    /// another router is elected.
    pub fn reset(&mut self) {
        self.observed = None;
    }

    /// Takes note of a page that was looked at.
    pub fn record_page(&mut self, cursor: Option<Box<str>>, deleted: u64) {
        if let Some(observed) = &mut self.observed {
            if observed.sweep.cursor.is_none() {
                observed.sweep.pass = observed.view.generation.generation;
            }
            observed.sweep.cursor = cursor;
            observed.sweep.deleted += deleted;
        }
    }

    /// What to do at `now`.
    #[must_use]
    pub fn next(&self, now: ClockTime) -> RetentionEffect {
        let Some(observed) = &self.observed else {
            return RetentionEffect::Idle;
        };
        if !self.settings.sweeps_claims() {
            return RetentionEffect::Idle;
        }
        let elapsed = now.since(observed.at);
        let mut sweep = observed.sweep.clone();
        sweep.aged = ClockSpan::from_millis(sweep.aged.as_millis() + elapsed.as_millis());
        if sweep.aged >= self.settings.generation() {
            return RetentionEffect::Write(observed.advance(sweep));
        }
        if elapsed >= self.checkpoint_interval() {
            return RetentionEffect::Write(RetentionWrite {
                sweep,
                advance: None,
            });
        }
        observed.scan()
    }

    /// A generation is noted several times, or a fleet whose routers live
    /// shorter than one would never end it.
    fn checkpoint_interval(&self) -> ClockSpan {
        let quarter = self.settings.generation().as_millis() / 4;
        let quarter = ClockSpan::from_millis(quarter.max(1));
        self.settings.checkpoint_interval.min(quarter)
    }
}

impl ObservedView {
    fn advance(&self, mut sweep: SweepRow) -> RetentionWrite {
        let kept_starts = usize::try_from(KEPT_GENERATIONS + 1).unwrap_or(usize::MAX);
        sweep.starts.push(self.view.generation_revision);
        let excess = sweep.starts.len().saturating_sub(kept_starts);
        sweep.starts.drain(..excess);
        sweep.aged = ClockSpan::default();
        let generation = self.view.generation.generation.next();
        RetentionWrite {
            sweep,
            advance: Some(GenerationRow { generation }),
        }
    }

    /// The pass under way goes on; a new one begins once in a retention, for
    /// organisations that no router tours.
    fn scan(&self) -> RetentionEffect {
        let due_before = self.view.due_before();
        let next_pass = self.sweep.pass.get() + KEPT_GENERATIONS;
        let is_due = self.view.generation.generation.get() >= next_pass;
        if due_before == 0 || (self.sweep.cursor.is_none() && !is_due) {
            return RetentionEffect::Idle;
        }
        RetentionEffect::Scan {
            after: self.sweep.cursor.clone(),
            due_before,
        }
    }
}
