//! The budget rows: the tokens of an organisation that each instance holds.

use std::rc::Rc;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_core::grant::BudgetRow;
use guavawell_core::grant::FollowSettings;
use guavawell_core::grant::FollowWindow;
use guavawell_core::grant::PaceSettings;
use guavawell_core::grant::WritePace;
use guavawell_core::id::OrganisationId;
use guavawell_fleet::event::EventDraft;
use smol::LocalExecutor;
use smol::Timer;

use super::BUDGET_CHECK_INTERVAL;
use super::BUDGET_TABLE;
use super::BudgetManager;
use super::CONTENDED_POLL_INTERVAL;
use super::CONTENDED_POLL_INTERVAL_PER_WRITER;
use super::POLL_INTERVAL;
use super::POLL_INTERVAL_PER_WRITER;
use super::START_JITTER_PER_WRITER;
use super::calls::DecodedRow;
use super::calls::budget_key;
use super::calls::encode;
use super::retry_delay;
use super::wait_until;
use crate::clock::timer_span;
use crate::store::RowChanges;
use crate::store::RowState;
use crate::store::StoreFault;
use crate::store::WriteAnswer;

/// Attempts to write a row that other instances change meanwhile.
const MAX_WRITE_ATTEMPTS: usize = 5;

/// Interval between checks whether a pending write of the same row has ended.
const PENDING_WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// How a write of a budget's row ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteOutcome {
    Written,
    /// Another instance changed the row first.
    Changed,
    /// The store's rate limit rejected the write.
    RateLimited,
    Failed,
}

/// How an update of a budget's row ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpdateOutcome {
    /// The row was written.
    Written,
    /// No write was due.
    NothingDue,
    /// The store's rate limit rejected a write.
    RateLimited,
    /// A call to the store failed, or every attempt met another instance's write.
    Failed,
}

impl BudgetManager {
    /// Starts a task for each budget once it is known.
    pub(super) async fn spawn_budget_tasks(self: Rc<Self>, executor: &Rc<LocalExecutor<'static>>) {
        let mut watched: Vec<OrganisationId> = Vec::new();
        loop {
            let wakeup = self.budget_wakeup.listen();
            let known: Vec<OrganisationId> =
                self.ledger.borrow().organisations().cloned().collect();
            for id in known {
                if let Err(index) = watched.binary_search(&id) {
                    watched.insert(index, id.clone());
                    let manager = Rc::clone(&self);
                    executor
                        .spawn(async move { manager.maintain_budget(&id).await })
                        .detach();
                }
            }
            wakeup.await;
        }
    }

    /// Polls for other instances' writes, so that this one knows their shortages
    /// and its own conditional writes seldom fail.
    ///
    /// Where answers are slow, only the changes of a window before each poll are
    /// read; see `FollowWindow`.
    pub(super) async fn poll_changes(&self) {
        let mut window = FollowWindow::new(FollowSettings::default());
        let mut since = self.newest_version.get();
        loop {
            let interval = self.poll_interval();
            let skipped_span = window.skipped_span(interval);
            if skipped_span > ClockSpan::default() {
                Timer::after(timer_span(skipped_span)).await;
                since = self.newest_version_after(since).await;
            }
            let remaining = interval.as_millis() - skipped_span.as_millis();
            Timer::after(Duration::from_millis(remaining)).await;
            let typical_ms = self.mean_latency_ms.get();
            let started = self.clock.now();
            match (self.store.changes)(BUDGET_TABLE, since).await {
                Ok(changes) => {
                    since = changes.newest;
                    let took = self.clock.now().since(started).as_millis();
                    let extra = ClockSpan::from_millis(took.saturating_sub(typical_ms));
                    window.answered(extra, interval);
                    self.apply_changes(&changes);
                }
                Err(StoreFault::HistoryGone) => {
                    // The skipped changes are read when a conditional write fails.
                    since = self.newest_version.get();
                }
                Err(fault) => {
                    window.failed();
                    self.record_fault("changes", &fault);
                }
            }
        }
    }

    /// Time between two polls for other instances' writes.
    fn poll_interval(&self) -> ClockSpan {
        let contended = self.ledger.borrow().is_contended(self.clock.now());
        let (base, per_writer) = if contended {
            (CONTENDED_POLL_INTERVAL, CONTENDED_POLL_INTERVAL_PER_WRITER)
        } else {
            (POLL_INTERVAL, POLL_INTERVAL_PER_WRITER)
        };
        let writers = self.ledger.borrow().row_writers() as u64;
        ClockSpan::from_millis(base.as_millis() + per_writer.as_millis() * writers)
    }

    /// The store's newest version. Reads one small row to learn it, unless an
    /// earlier answer already named a version after `since`.
    async fn newest_version_after(&self, since: u64) -> u64 {
        if self.newest_version.get() <= since {
            self.read_row("newest", self.limit_key()).await;
        }
        self.newest_version.get().max(since)
    }

    fn apply_changes(&self, changes: &RowChanges) {
        self.newest_version
            .set(self.newest_version.get().max(changes.newest));
        for (part, state) in &changes.rows {
            let Ok(id) = part.parse::<OrganisationId>() else {
                continue;
            };
            let known = self.ledger.borrow().budget_version(&id);
            if state.version > known && known > 0 && self.apply_budget(&id, state) {
                self.budget_wakeup.notify(usize::MAX);
            }
        }
    }

    /// Keeps one budget's row up to date, for as long as the process runs.
    async fn maintain_budget(&self, id: &OrganisationId) {
        let writers = u32::try_from(self.ledger.borrow().row_writers()).unwrap_or(u32::MAX);
        let max_jitter = START_JITTER_PER_WRITER * writers;
        Timer::after(max_jitter.mul_f64(fastrand::f64())).await;
        let mut pace = WritePace::new(PaceSettings::default());
        loop {
            let wakeup = self.budget_wakeup.listen();
            match self.update_budget(id).await {
                UpdateOutcome::Written => {
                    pace.write_succeeded();
                    wait_until(wakeup, BUDGET_CHECK_INTERVAL).await;
                }
                UpdateOutcome::NothingDue => wait_until(wakeup, BUDGET_CHECK_INTERVAL).await,
                UpdateOutcome::RateLimited => {
                    pace.write_throttled();
                    Timer::after(timer_span(pace.pause(fastrand::f64()))).await;
                }
                UpdateOutcome::Failed => {
                    Timer::after(retry_delay()).await;
                }
            }
        }
    }

    /// Reads the budget's row if its state is unknown, and writes it if that is due.
    async fn update_budget(&self, id: &OrganisationId) -> UpdateOutcome {
        if !self.ledger.borrow().maintains(id, self.clock.now()) {
            return UpdateOutcome::NothingDue;
        }
        let must_read = self.ledger.borrow().must_read_budget(id);
        if must_read && !self.read_budget(id).await {
            return UpdateOutcome::Failed;
        }
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let Some(row) = self.ledger.borrow().next_budget(id, self.clock.now()) else {
                return UpdateOutcome::NothingDue;
            };
            match self.write_budget(id, row).await {
                WriteOutcome::Written => return UpdateOutcome::Written,
                WriteOutcome::RateLimited => return UpdateOutcome::RateLimited,
                WriteOutcome::Failed => return UpdateOutcome::Failed,
                WriteOutcome::Changed => {}
            }
        }
        UpdateOutcome::Failed
    }

    async fn read_budget(&self, id: &OrganisationId) -> bool {
        let Some(state) = self.read_row("budget", budget_key(id)).await else {
            return false;
        };
        self.apply_budget(id, &state)
    }

    fn apply_budget(&self, id: &OrganisationId, state: &RowState) -> bool {
        let DecodedRow::Readable(row) = self.decode::<BudgetRow>(&budget_key(id), state) else {
            return false;
        };
        self.ledger.borrow_mut().budget_read(id, state.version, row);
        self.changed.notify(usize::MAX);
        true
    }

    async fn write_budget(&self, id: &OrganisationId, row: BudgetRow) -> WriteOutcome {
        let Some(bytes) = encode(&row) else {
            return WriteOutcome::Failed;
        };
        let version = self.ledger.borrow().budget_version(id);
        let previous_grant = self.ledger.borrow().granted(id);
        self.ledger
            .borrow_mut()
            .budget_sent(id, row, self.clock.now());
        let answer = self
            .write_row("budget", budget_key(id), version, bytes)
            .await;
        metrics::counter!("guavawell_forward_budget_writes_total").increment(1);
        match answer {
            Ok(WriteAnswer::Done(version, _)) => {
                self.ledger.borrow_mut().budget_written(id, version);
                self.changed.notify(usize::MAX);
                self.limit_wakeup.notify(usize::MAX);
                self.log_grant(id, previous_grant, version);
                WriteOutcome::Written
            }
            Ok(WriteAnswer::Changed(state)) => {
                self.ledger.borrow_mut().budget_rejected(id);
                if self.apply_budget(id, &state) {
                    WriteOutcome::Changed
                } else {
                    WriteOutcome::Failed
                }
            }
            Err(StoreFault::Limited) => {
                self.ledger.borrow_mut().budget_rejected(id);
                WriteOutcome::RateLimited
            }
            Err(StoreFault::NotDone(_) | StoreFault::HistoryGone) => {
                self.ledger.borrow_mut().budget_rejected(id);
                WriteOutcome::Failed
            }
            Err(StoreFault::Unknown(_)) => {
                self.ledger.borrow_mut().budget_unanswered(id);
                WriteOutcome::Failed
            }
        }
    }

    fn log_grant(&self, id: &OrganisationId, previous_grant: u64, version: u64) {
        let facts = self.ledger.borrow().facts(id, self.clock.now());
        let draft = EventDraft::new("budget.granted")
            .organisation(id)
            .field("before", previous_grant)
            .field("grant", facts.grant)
            .field("used", facts.used)
            .field("paid", facts.paid)
            .field("closed", facts.closed)
            .field("committed", facts.committed)
            .field("row", version);
        self.log.emit(draft);
    }

    /// Gives all grants back before the process ends.
    pub async fn give_back(&self) {
        self.ledger.borrow_mut().leave();
        let ids: Vec<OrganisationId> = self.ledger.borrow().organisations().cloned().collect();
        for id in ids {
            for _ in 0..MAX_WRITE_ATTEMPTS {
                // The budget's own task may still be writing the row.
                if self.ledger.borrow().is_writing_budget(&id) {
                    Timer::after(PENDING_WRITE_CHECK_INTERVAL).await;
                    continue;
                }
                let must_read = self.ledger.borrow().must_read_budget(&id);
                if must_read && !self.read_budget(&id).await {
                    break;
                }
                let Some(row) = self.ledger.borrow().final_budget(&id) else {
                    break;
                };
                if self.write_budget(&id, row).await != WriteOutcome::Changed {
                    break;
                }
            }
        }
    }
}
