//! The platform's table: its rows and one transaction for each intent.

use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::ChangeKey;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::ReportKey;
use guavawell_core::budget::RowChange;
use guavawell_core::budget::RowError;
use guavawell_core::budget::TableFailure;
use guavawell_core::budget::TableIntent;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::id::BudgetId;
use guavawell_core::id::SlotEpoch;

use super::Fleet;
use super::FleetLetter;

impl Fleet {
    pub fn row(&self, budget: &BudgetId) -> &BudgetRow {
        let place = self
            .budgets
            .binary_search_by(|entry| entry.0.cmp(budget))
            .unwrap();
        &self.budgets[place].1
    }

    pub fn update(
        &mut self,
        budget: &BudgetId,
        change: impl Fn(&BudgetRow) -> Result<RowChange, RowError>,
    ) -> Result<(), RowError> {
        let place = self
            .budgets
            .binary_search_by(|entry| entry.0.cmp(budget))
            .unwrap();
        if let RowChange::Write(row) = change(&self.budgets[place].1)? {
            self.table_writes += 1;
            assert!(row.is_balanced(), "unbalanced row: {row:?}");
            self.budgets[place].1 = row;
        }
        Ok(())
    }

    pub(super) fn execute(
        &mut self,
        instance: usize,
        zone: usize,
        tenure: SlotEpoch,
        intent: TableIntent,
    ) {
        let is_reached = self.reaches_table(instance);
        let is_lost = self.random.below(100) < self.lost_answer_percent;
        let event = match intent {
            TableIntent::WriteSlot { expected, row, .. } => {
                if is_reached && expected.as_ref() == Some(&self.rows[zone]) {
                    self.table_writes += 1;
                    self.rows[zone] = row;
                }
                return self.answer_row(instance, zone, is_reached && !is_lost);
            }
            TableIntent::ReadSlot { .. } => {
                return self.answer_row(instance, zone, is_reached && !is_lost);
            }
            TableIntent::ChangeGrant { budget, change } => {
                let mut outcome = Err(TableFailure::Unreachable);
                if is_reached && self.rows[zone].tenure != change.tenure {
                    outcome = Err(TableFailure::NotHolder);
                } else if is_reached {
                    outcome = self
                        .update(&budget, |row| row.change_grant(&change))
                        .map_err(TableFailure::Refused)
                        .map(|()| self.row(&budget).view(&change.slot));
                }
                if is_lost {
                    outcome = Err(TableFailure::Unreachable);
                }
                HolderEvent::GrantChanged(ChangeKey::new(budget, &change), outcome)
            }
            TableIntent::ReportFrozen { budget, report } => {
                let mut outcome = Err(TableFailure::Unreachable);
                if is_reached {
                    outcome = self
                        .update(&budget, |row| row.report_frozen(&report))
                        .map_err(TableFailure::Refused);
                }
                if is_lost {
                    outcome = Err(TableFailure::Unreachable);
                }
                HolderEvent::FrozenReported(ReportKey::new(budget, &report), outcome)
            }
        };
        let letter = FleetLetter::Holder(instance, zone, Some(tenure), event);
        self.letters.push_back(letter);
    }

    fn answer_row(&mut self, instance: usize, zone: usize, is_answered: bool) {
        if !is_answered {
            return;
        }
        let row = self.rows[zone].clone();
        let event = WitnessEvent::SlotRead(row.clone());
        self.letters
            .push_back(FleetLetter::Witness(instance, zone, event));
        let event = HolderEvent::SlotRead(Ok(row));
        self.letters
            .push_back(FleetLetter::Holder(instance, zone, None, event));
    }
}
