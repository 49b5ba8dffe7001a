//! The instance's row of spending limits, which bounds what this boot can have
//! spent.
//!
//! For each organisation the limit is a function of the time since the row was
//! written, so that the instance can go on spending while the store is out of reach.

use guavawell_core::grant::LimitRow;
use guavawell_fleet::event::EventDraft;
use smol::Timer;

use super::BudgetManager;
use super::LIMIT_CHECK_INTERVAL;
use super::calls::DecodedRow;
use super::calls::encode;
use super::retry_delay;
use super::wait_until;
use crate::store::RowState;
use crate::store::StoreFault;
use crate::store::WriteAnswer;

impl BudgetManager {
    /// Begins this boot in the instance's row; retries until it succeeds.
    pub(super) async fn start_boot(&self) {
        loop {
            if self.try_start_boot().await {
                let boot = self.ledger.borrow().boot();
                let draft = EventDraft::new("budget.boot").field("boot", boot);
                self.log.emit(draft);
                return;
            }
            Timer::after(retry_delay()).await;
        }
    }

    /// Tries to begin this boot; true once the store has confirmed it.
    pub(super) async fn try_start_boot(&self) -> bool {
        if !self.read_limits().await {
            return false;
        }
        if self.ledger.borrow().boot() > 0 {
            return true;
        }
        let Some(row) = self.ledger.borrow().first_limits(self.clock.now()) else {
            return false;
        };
        self.log_previous_boot();
        self.store_limits(row).await && self.ledger.borrow().boot() > 0
    }

    /// Logs the most that the previous boot can have spent, by its last row.
    fn log_previous_boot(&self) {
        let ledger = self.ledger.borrow();
        let Some((previous, ended)) = ledger.previous_limits() else {
            return;
        };
        let age = ended.since(previous.at);
        for limit in &previous.limits {
            let draft = EventDraft::new("budget.closed")
                .organisation(&limit.organisation)
                .field("boot", previous.boot)
                .field("spent", limit.spent)
                .field("burst", limit.burst)
                .field("most", limit.allowance(age))
                .field("age_ms", age.as_millis());
            self.log.emit(draft);
        }
    }

    /// Keeps the row of spending limits up to date.
    pub(super) async fn maintain_limits(&self) {
        loop {
            let wakeup = self.limit_wakeup.listen();
            let done = self.write_due_limits().await;
            if done {
                wait_until(wakeup, LIMIT_CHECK_INTERVAL).await;
            } else {
                Timer::after(retry_delay()).await;
            }
        }
    }

    /// Writes the row if that is due; false if a call to the store failed.
    pub(super) async fn write_due_limits(&self) -> bool {
        if self.ledger.borrow().must_read_limits() && !self.read_limits().await {
            return false;
        }
        let Some(row) = self.ledger.borrow().next_limits(self.clock.now()) else {
            return true;
        };
        self.store_limits(row).await
    }

    pub(super) async fn read_limits(&self) -> bool {
        let Some(state) = self.read_row("lines", self.limit_key()).await else {
            return false;
        };
        self.apply_limits(&state)
    }

    pub(super) fn apply_limits(&self, state: &RowState) -> bool {
        let DecodedRow::Readable(row) = self.decode::<LimitRow>(&self.limit_key(), state) else {
            return false;
        };
        let is_own = self.ledger.borrow_mut().limits_read(state.version, row);
        self.changed.notify(usize::MAX);
        if !is_own {
            log::error!(
                "another process with instance id {} has written this instance's row",
                self.instance
            );
        }
        is_own
    }

    pub(super) async fn store_limits(&self, row: LimitRow) -> bool {
        let Some(bytes) = encode(&row) else {
            return false;
        };
        let version = self.ledger.borrow().limits_version();
        self.ledger.borrow_mut().limits_sent(row, self.clock.now());
        let answer = self
            .write_row("lines", self.limit_key(), version, bytes)
            .await;
        metrics::counter!("guavawell_forward_line_writes_total").increment(1);
        match answer {
            Ok(WriteAnswer::Done(version, _)) => {
                self.ledger.borrow_mut().limits_written(version);
                self.changed.notify(usize::MAX);
                true
            }
            Ok(WriteAnswer::Changed(state)) => {
                self.ledger.borrow_mut().limits_rejected();
                self.apply_limits(&state)
            }
            Err(StoreFault::NotDone(_) | StoreFault::Limited | StoreFault::HistoryGone) => {
                self.ledger.borrow_mut().limits_rejected();
                false
            }
            Err(StoreFault::Unknown(_)) => {
                self.ledger.borrow_mut().limits_unanswered();
                false
            }
        }
    }
}
