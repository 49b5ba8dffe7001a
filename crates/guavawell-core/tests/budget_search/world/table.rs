//! The platform's table: one transaction for each intent.

use guavawell_core::budget::ChangeKey;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::ReportKey;
use guavawell_core::budget::RowChange;
use guavawell_core::budget::TableFailure;
use guavawell_core::budget::TableIntent;

use super::World;
use super::model::Letter;
use super::model::LetterBody;

impl World {
    /// The table: one transaction; its answer is a letter that may be lost.
    pub(super) fn execute(&mut self, node: usize, life: InstanceIncarnation, intent: &TableIntent) {
        let body = match intent {
            TableIntent::WriteSlot { expected, row, .. } => {
                if expected.as_ref() == Some(&self.row) {
                    self.row = row.clone();
                }
                LetterBody::Slot(self.row.clone())
            }
            TableIntent::ReadSlot { .. } => LetterBody::Slot(self.row.clone()),
            TableIntent::ChangeGrant { budget, change } => {
                let outcome = if self.row.tenure == change.tenure {
                    self.write(self.budget.change_grant(change))
                } else {
                    Err(TableFailure::NotHolder)
                };
                let view = |()| self.budget.view(&change.slot);
                let key = ChangeKey::new(budget.clone(), change);
                LetterBody::Grant(key, outcome.map(view))
            }
            TableIntent::ReportFrozen { budget, report } => {
                let outcome = self.write(self.budget.report_frozen(report));
                LetterBody::Report(ReportKey::new(budget.clone(), report), outcome)
            }
        };
        self.post(Letter { node, life, body });
    }

    fn write(
        &mut self,
        change: Result<RowChange, guavawell_core::budget::RowError>,
    ) -> Result<(), TableFailure> {
        match change {
            Ok(RowChange::Write(row)) => {
                self.budget = row;
                Ok(())
            }
            Ok(RowChange::Applied) => Ok(()),
            Err(error) => Err(TableFailure::Refused(error)),
        }
    }
}
