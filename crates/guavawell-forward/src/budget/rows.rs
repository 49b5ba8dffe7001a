//! The organisations' rows: what each instance holds of a budget.

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

use super::BUDGET_TABLE;
use super::BUDGET_TICK;
use super::BudgetDesk;
use super::CONTENDED_EACH;
use super::CONTENDED_PAUSE;
use super::FOLLOW_EACH;
use super::FOLLOW_PAUSE;
use super::START_SPREAD_EACH;
use super::calls::DecodedRow;
use super::calls::budget_key;
use super::calls::encode;
use super::fault_pause;
use super::wait_until;
use crate::clock::timer_span;
use crate::store::RowChanges;
use crate::store::RowState;
use crate::store::StoreFault;
use crate::store::WriteAnswer;

/// Times that a row is written again after it changed meanwhile.
const MAX_CONFLICTS: usize = 5;

/// Pause for a write of the same row that is on its way.
const WRITE_PAUSE: Duration = Duration::from_millis(30);

/// How a write of a budget's row ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PutEnd {
    Written,
    /// The row has changed meanwhile.
    Changed,
    /// The store turned the write down for its rate.
    Limited,
    Failed,
}

/// What keeping a row came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeepEnd {
    /// A row was written that the present state asked for.
    Written,
    /// The row needs nothing.
    Kept,
    /// The store turned a write down for its rate.
    Limited,
    /// The store failed, or others wrote the row again and again.
    Failed,
}

impl BudgetDesk {
    /// Starts a task for each budget as it becomes known.
    pub(super) async fn watch_budgets(self: Rc<Self>, executor: &Rc<LocalExecutor<'static>>) {
        let mut watched: Vec<OrganisationId> = Vec::new();
        loop {
            let bell = self.budget_bell.listen();
            let known: Vec<OrganisationId> = self.book.borrow().organisations().cloned().collect();
            for id in known {
                if let Err(place) = watched.binary_search(&id) {
                    watched.insert(place, id.clone());
                    let desk = Rc::clone(&self);
                    executor
                        .spawn(async move { desk.keep_budget(&id).await })
                        .detach();
                }
            }
            bell.await;
        }
    }

    /// Follows what other instances write, so that this one knows their needs
    /// and seldom writes in vain.
    pub(super) async fn follow_budgets(&self) {
        let mut window = FollowWindow::new(FollowSettings::default());
        let mut since = self.newest.get();
        loop {
            let interval = self.follow_interval();
            let skipped_span = window.skipped_span(interval);
            if skipped_span > ClockSpan::default() {
                Timer::after(timer_span(skipped_span)).await;
                since = self.newest_after(since).await;
            }
            let rest = interval.as_millis() - skipped_span.as_millis();
            Timer::after(Duration::from_millis(rest)).await;
            let usual = self.answer_ms.get();
            let began = self.clock.now();
            match (self.store.changes)(BUDGET_TABLE, since).await {
                Ok(changes) => {
                    since = changes.newest;
                    let took = self.clock.now().since(began).as_millis();
                    let extra = ClockSpan::from_millis(took.saturating_sub(usual));
                    window.answered(extra, interval);
                    self.take_changes(&changes);
                }
                Err(StoreFault::HistoryGone) => {
                    // What was missed shows when a write is turned down.
                    since = self.newest.get();
                }
                Err(fault) => {
                    window.failed();
                    self.note_fault("changes", &fault);
                }
            }
        }
    }

    /// Time between two questions for other instances' writes.
    fn follow_interval(&self) -> ClockSpan {
        let contended = self.book.borrow().is_contended(self.clock.now());
        let (base, each) = if contended {
            (CONTENDED_PAUSE, CONTENDED_EACH)
        } else {
            (FOLLOW_PAUSE, FOLLOW_EACH)
        };
        let writers = self.book.borrow().row_writers() as u64;
        ClockSpan::from_millis(base.as_millis() + each.as_millis() * writers)
    }

    /// The store's newest version, asked for with a small question if no other
    /// answer has told one after `since`.
    async fn newest_after(&self, since: u64) -> u64 {
        if self.newest.get() <= since {
            self.read_row("newest", self.line_key()).await;
        }
        self.newest.get().max(since)
    }

    fn take_changes(&self, changes: &RowChanges) {
        self.newest.set(self.newest.get().max(changes.newest));
        for (part, state) in &changes.rows {
            let Ok(id) = part.parse::<OrganisationId>() else {
                continue;
            };
            let known = self.book.borrow().budget_version(&id);
            if state.version > known && known > 0 && self.take_budget(&id, state) {
                self.budget_bell.notify(usize::MAX);
            }
        }
    }

    /// Keeps one budget's row up to date.
    async fn keep_budget(&self, id: &OrganisationId) {
        let writers = u32::try_from(self.book.borrow().row_writers()).unwrap_or(u32::MAX);
        let spread = START_SPREAD_EACH * writers;
        Timer::after(spread.mul_f64(fastrand::f64())).await;
        let mut pace = WritePace::new(PaceSettings::default());
        loop {
            let bell = self.budget_bell.listen();
            match self.keep_budget_once(id).await {
                KeepEnd::Written => {
                    pace.write_succeeded();
                    wait_until(bell, BUDGET_TICK).await;
                }
                KeepEnd::Kept => wait_until(bell, BUDGET_TICK).await,
                KeepEnd::Limited => {
                    pace.write_throttled();
                    Timer::after(timer_span(pace.pause(fastrand::f64()))).await;
                }
                KeepEnd::Failed => {
                    Timer::after(fault_pause()).await;
                }
            }
        }
    }

    /// Brings one budget's row up to date.
    async fn keep_budget_once(&self, id: &OrganisationId) -> KeepEnd {
        if !self.book.borrow().maintains(id, self.clock.now()) {
            return KeepEnd::Kept;
        }
        let unsure = self.book.borrow().must_read_budget(id);
        if unsure && !self.read_budget(id).await {
            return KeepEnd::Failed;
        }
        for _ in 0..MAX_CONFLICTS {
            let Some(row) = self.book.borrow().next_budget(id, self.clock.now()) else {
                return KeepEnd::Kept;
            };
            match self.put_budget(id, row).await {
                PutEnd::Written => return KeepEnd::Written,
                PutEnd::Limited => return KeepEnd::Limited,
                PutEnd::Failed => return KeepEnd::Failed,
                PutEnd::Changed => {}
            }
        }
        KeepEnd::Failed
    }

    async fn read_budget(&self, id: &OrganisationId) -> bool {
        let Some(state) = self.read_row("budget", budget_key(id)).await else {
            return false;
        };
        self.take_budget(id, &state)
    }

    fn take_budget(&self, id: &OrganisationId, state: &RowState) -> bool {
        let DecodedRow::Readable(row) = self.decode::<BudgetRow>(&budget_key(id), state) else {
            return false;
        };
        self.book.borrow_mut().budget_read(id, state.version, row);
        self.changed.notify(usize::MAX);
        true
    }

    async fn put_budget(&self, id: &OrganisationId, row: BudgetRow) -> PutEnd {
        let Some(bytes) = encode(&row) else {
            return PutEnd::Failed;
        };
        let version = self.book.borrow().budget_version(id);
        let before = self.book.borrow().granted(id);
        self.book
            .borrow_mut()
            .budget_sent(id, row, self.clock.now());
        let answer = self
            .write_row("budget", budget_key(id), version, bytes)
            .await;
        metrics::counter!("guavawell_forward_budget_writes_total").increment(1);
        match answer {
            Ok(WriteAnswer::Done(version, _)) => {
                self.book.borrow_mut().budget_written(id, version);
                self.changed.notify(usize::MAX);
                self.line_bell.notify(usize::MAX);
                self.note_grant(id, before, version);
                PutEnd::Written
            }
            Ok(WriteAnswer::Changed(state)) => {
                self.book.borrow_mut().budget_rejected(id);
                if self.take_budget(id, &state) {
                    PutEnd::Changed
                } else {
                    PutEnd::Failed
                }
            }
            Err(StoreFault::Limited) => {
                self.book.borrow_mut().budget_rejected(id);
                PutEnd::Limited
            }
            Err(StoreFault::NotDone(_) | StoreFault::HistoryGone) => {
                self.book.borrow_mut().budget_rejected(id);
                PutEnd::Failed
            }
            Err(StoreFault::Unknown(_)) => {
                self.book.borrow_mut().budget_unanswered(id);
                PutEnd::Failed
            }
        }
    }

    fn note_grant(&self, id: &OrganisationId, before: u64, version: u64) {
        let facts = self.book.borrow().facts(id, self.clock.now());
        let draft = EventDraft::new("budget.granted")
            .organisation(id)
            .field("before", before)
            .field("grant", facts.grant)
            .field("used", facts.used)
            .field("paid", facts.paid)
            .field("closed", facts.closed)
            .field("committed", facts.committed)
            .field("row", version);
        self.log.emit(draft);
    }

    /// Gives every grant back: the process is about to end.
    pub async fn give_back(&self) {
        self.book.borrow_mut().leave();
        let ids: Vec<OrganisationId> = self.book.borrow().organisations().cloned().collect();
        for id in ids {
            for _ in 0..MAX_CONFLICTS {
                // A write of the keeping task may still be on its way.
                if self.book.borrow().is_writing_budget(&id) {
                    Timer::after(WRITE_PAUSE).await;
                    continue;
                }
                let unsure = self.book.borrow().must_read_budget(&id);
                if unsure && !self.read_budget(&id).await {
                    break;
                }
                let Some(row) = self.book.borrow().final_budget(&id) else {
                    break;
                };
                if self.put_budget(&id, row).await != PutEnd::Changed {
                    break;
                }
            }
        }
    }
}
