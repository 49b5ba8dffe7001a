//! The instance's own row: it bounds what this boot can have spent.

use guavawell_core::grant::LimitRow;
use guavawell_fleet::event::EventDraft;
use smol::Timer;

use super::BudgetDesk;
use super::LINE_TICK;
use super::calls::DecodedRow;
use super::calls::encode;
use super::fault_pause;
use super::wait_until;
use crate::store::RowState;
use crate::store::StoreFault;
use crate::store::WriteAnswer;

impl BudgetDesk {
    /// Begins this boot in the instance's row, however long it takes.
    pub(super) async fn open_lines(&self) {
        loop {
            if self.begin_boot().await {
                let boot = self.book.borrow().boot();
                let draft = EventDraft::new("budget.boot").field("boot", boot);
                self.log.emit(draft);
                return;
            }
            Timer::after(fault_pause()).await;
        }
    }

    /// One try to begin this boot; true once the store has confirmed it.
    pub(super) async fn begin_boot(&self) -> bool {
        if !self.read_lines().await {
            return false;
        }
        if self.book.borrow().boot() > 0 {
            return true;
        }
        let Some(row) = self.book.borrow().first_limits(self.clock.now()) else {
            return false;
        };
        self.note_closed();
        self.put_lines(row).await && self.book.borrow().boot() > 0
    }

    /// Logs what the boot before may have spent at most beyond its last word.
    fn note_closed(&self) {
        let book = self.book.borrow();
        let Some((before, ended)) = book.previous_limits() else {
            return;
        };
        let age = ended.since(before.at);
        for line in &before.limits {
            let draft = EventDraft::new("budget.closed")
                .organisation(&line.organisation)
                .field("boot", before.boot)
                .field("spent", line.spent)
                .field("burst", line.burst)
                .field("most", line.allowance(age))
                .field("age_ms", age.as_millis());
            self.log.emit(draft);
        }
    }

    /// Keeps the lines up to date.
    pub(super) async fn write_lines(&self) {
        loop {
            let bell = self.line_bell.listen();
            let done = self.write_lines_once().await;
            if done {
                wait_until(bell, LINE_TICK).await;
            } else {
                Timer::after(fault_pause()).await;
            }
        }
    }

    /// Writes the lines if they want writing; false if the store failed.
    pub(super) async fn write_lines_once(&self) -> bool {
        if self.book.borrow().must_read_limits() && !self.read_lines().await {
            return false;
        }
        let Some(row) = self.book.borrow().next_limits(self.clock.now()) else {
            return true;
        };
        self.put_lines(row).await
    }

    pub(super) async fn read_lines(&self) -> bool {
        let Some(state) = self.read_row("lines", self.line_key()).await else {
            return false;
        };
        self.take_lines(&state)
    }

    pub(super) fn take_lines(&self, state: &RowState) -> bool {
        let DecodedRow::Readable(row) = self.decode::<LimitRow>(&self.line_key(), state) else {
            return false;
        };
        let own = self.book.borrow_mut().limits_read(state.version, row);
        self.changed.notify(usize::MAX);
        if !own {
            log::error!("another boot of {} has taken its row over", self.instance);
        }
        own
    }

    pub(super) async fn put_lines(&self, row: LimitRow) -> bool {
        let Some(bytes) = encode(&row) else {
            return false;
        };
        let version = self.book.borrow().limits_version();
        self.book.borrow_mut().limits_sent(row, self.clock.now());
        let answer = self
            .write_row("lines", self.line_key(), version, bytes)
            .await;
        metrics::counter!("guavawell_forward_line_writes_total").increment(1);
        match answer {
            Ok(WriteAnswer::Done(version, _)) => {
                self.book.borrow_mut().limits_written(version);
                self.changed.notify(usize::MAX);
                true
            }
            Ok(WriteAnswer::Changed(state)) => {
                self.book.borrow_mut().limits_rejected();
                self.take_lines(&state)
            }
            Err(StoreFault::NotDone(_) | StoreFault::Limited | StoreFault::HistoryGone) => {
                self.book.borrow_mut().limits_rejected();
                false
            }
            Err(StoreFault::Unknown(_)) => {
                self.book.borrow_mut().limits_unanswered();
                false
            }
        }
    }
}
