//! The table of a pair: intents carried out, and outcomes that a test holds back.

use guavawell_core::budget::ChangeKey;
use guavawell_core::budget::FrozenReport;
use guavawell_core::budget::GrantChange;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::ReportKey;
use guavawell_core::budget::RowChange;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::TableFailure;
use guavawell_core::budget::TableIntent;
use guavawell_core::id::BudgetId;

use super::SeatPair;
use super::budget_id;

/// A change of a grant whose outcome has not been told yet.
pub struct HeldChange {
    router: usize,
    change: GrantChange,
}

/// The outcome of a change that the table performed.
pub struct LateAnswer {
    router: usize,
    event: HolderEvent,
}

impl SeatPair {
    pub(super) fn write_slot(&mut self, expected: Option<&SlotRow>, row: SlotRow) -> SlotRow {
        if expected == Some(&self.slot_row) {
            self.slot_row = row;
        }
        self.slot_row.clone()
    }

    pub(super) fn run_intent(&mut self, router: usize, intent: TableIntent) {
        let event = match intent {
            TableIntent::WriteSlot { expected, row, .. } => {
                HolderEvent::SlotRead(Ok(self.write_slot(expected.as_ref(), row)))
            }
            TableIntent::ReadSlot { .. } => HolderEvent::SlotRead(Ok(self.slot_row.clone())),
            TableIntent::ChangeGrant { change, .. } if self.is_holding => {
                return self.held.push(HeldChange { router, change });
            }
            TableIntent::ChangeGrant { change, .. } => self.change_grant(&change),
            TableIntent::ReportFrozen { budget, report } => self.report_frozen(budget, &report),
        };
        self.tell(router, event);
    }

    fn change_grant(&mut self, change: &GrantChange) -> HolderEvent {
        let outcome = if self.slot_row.tenure == change.tenure {
            let changed = self.budget.change_grant(change);
            changed.map_err(TableFailure::Refused).map(|changed| {
                if let RowChange::Write(row) = changed {
                    self.budget = row;
                }
                self.budget.view(&change.slot)
            })
        } else {
            Err(TableFailure::NotHolder)
        };
        HolderEvent::GrantChanged(ChangeKey::new(budget_id(), change), outcome)
    }

    fn report_frozen(&mut self, budget: BudgetId, report: &FrozenReport) -> HolderEvent {
        let reported = self.budget.report_frozen(report);
        let outcome = reported.map_err(TableFailure::Refused).map(|changed| {
            if let RowChange::Write(row) = changed {
                self.budget = row;
            }
        });
        HolderEvent::FrozenReported(ReportKey::new(budget, report), outcome)
    }

    /// The table performs the newest change that waits; its answer is not told
    /// yet.
    pub fn perform(&mut self) -> LateAnswer {
        let held = self.held.pop().expect("a change waits");
        LateAnswer {
            router: held.router,
            event: self.change_grant(&held.change),
        }
    }

    /// The newest change that waits never reaches the table.
    pub fn lose(&mut self) -> LateAnswer {
        let held = self.held.pop().expect("a change waits");
        let failure = Err(TableFailure::Unreachable);
        let key = ChangeKey::new(budget_id(), &held.change);
        LateAnswer {
            router: held.router,
            event: HolderEvent::GrantChanged(key, failure),
        }
    }

    /// Tells the outcome of a change to the seat that asked for it.
    pub fn arrive(&mut self, answer: LateAnswer) {
        self.tell(answer.router, answer.event);
    }
}
