//! Measures the age of generations, ends them, and schedules the sweep.
//!
//! The sweep row holds the age of the generation in force. A writer reads the
//! row, measures time with its own monotonic clock, and adds the time between
//! that read and its write. The write takes effect only if the row is still the
//! one that was read. The added spans therefore never overlap, and their sum
//! never exceeds the time that has really passed. A writer that pauses, crashes
//! or loses a race only makes the sum smaller.

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
    /// Measured age of the generation in force; the real age is never less.
    pub aged: ClockSpan,
    /// Revisions at which earlier generations began, oldest first. Only as many
    /// as a sweep needs are kept.
    pub starts: Vec<u64>,
    /// The generation in which the current or most recent pass over all claims
    /// began.
    pub pass: ClaimGeneration,
    /// The last key scanned by the current pass; `None` if no pass is running.
    pub cursor: Option<Box<str>>,
    /// Rows deleted by all passes so far. Rows deleted after the last
    /// checkpoint of a router that stopped are not counted.
    pub deleted: u64,
}

/// Both rows, as read in one transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RetentionView {
    /// The generation row.
    pub generation: GenerationRow,
    /// Its revision; 0 for an absent row.
    pub generation_revision: u64,
    /// The sweep row.
    pub sweep: SweepRow,
    /// Its revision; 0 for an absent row.
    pub sweep_revision: u64,
}

impl RetentionView {
    /// Claims last written before this revision may be deleted; 0 if none may.
    #[must_use]
    pub fn due_before(&self) -> u64 {
        let starts = &self.sweep.starts;
        // The generation in force began at the revision of its row, the one
        // before it at the last entry of `starts`, and so on.
        let kept_starts = usize::try_from(KEPT_GENERATIONS + 1).unwrap_or(usize::MAX);
        starts
            .len()
            .checked_sub(kept_starts)
            .map_or(0, |index| starts[index])
    }
}

/// A write of the sweep row, and of the generation row if the generation ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RetentionWrite {
    /// The new sweep row.
    pub sweep: SweepRow,
    /// The new generation row, if the generation in force ends.
    pub advance: Option<GenerationRow>,
}

/// Action that the caller performs next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RetentionEffect {
    /// Write if the revisions of both rows are unchanged, then read both again.
    Write(RetentionWrite),
    /// Scan the next page of all claims.
    Scan {
        /// The last key scanned so far.
        after: Option<Box<str>>,
        /// Delete the claims last written before this revision.
        due_before: u64,
    },
    /// Nothing is due.
    Idle,
}

/// Schedules generations and passes over all claims in one router.
///
/// Several routers may do so at the same time, since each write compares the
/// rows' revisions.
#[derive(Clone, Debug)]
pub struct RetentionScheduler {
    settings: RetentionSettings,
    observed: Option<ObservedView>,
}

#[derive(Clone, Debug)]
struct ObservedView {
    view: RetentionView,
    /// When the response to the read had arrived.
    at: ClockTime,
    /// The sweep row with the progress made since, not yet written.
    sweep: SweepRow,
}

impl RetentionScheduler {
    /// Creates a scheduler that has not read the rows yet.
    #[must_use]
    pub const fn new(settings: RetentionSettings) -> Self {
        Self {
            settings,
            observed: None,
        }
    }

    /// Records the result of a read. The caller must take `now` after the
    /// response has arrived, so that no time before the read is counted.
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

    /// Discards the last read. Called for each write, whatever its result,
    /// and while another router is elected.
    pub fn reset(&mut self) {
        self.observed = None;
    }

    /// Records a scanned page; without a cursor the pass has ended.
    pub fn record_page(&mut self, cursor: Option<Box<str>>, deleted: u64) {
        if let Some(observed) = &mut self.observed {
            if observed.sweep.cursor.is_none() {
                observed.sweep.pass = observed.view.generation.generation;
            }
            observed.sweep.cursor = cursor;
            observed.sweep.deleted += deleted;
        }
    }

    /// Returns the action that is due at `now`.
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

    /// The time between two checkpoints, at most a quarter of a generation. If
    /// routers always stopped before the first checkpoint, the generation would
    /// never end.
    fn checkpoint_interval(&self) -> ClockSpan {
        let quarter = self.settings.generation().as_millis() / 4;
        let quarter = ClockSpan::from_millis(quarter.max(1));
        self.settings.checkpoint_interval.min(quarter)
    }
}

impl ObservedView {
    /// The write that ends the generation in force.
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

    /// Continues the current pass, or starts one if the last one began a whole
    /// retention time ago. Passes over all claims are needed for organisations
    /// that are not assigned to any router.
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
