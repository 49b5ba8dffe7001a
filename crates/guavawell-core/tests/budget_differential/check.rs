//! What has to hold between the global ledger and the rows of the table.

use guavawell_core::budget::TokenPool;
use guavawell_core::id::TokenCount;

use crate::ledger::Differential;
use crate::ledger::budget_id;
use crate::step::BUDGETS;

impl Differential {
    /// What the global ledger sees as spent of a budget.
    pub fn spent(&self, budget: usize) -> TokenCount {
        self.attempts
            .iter()
            .filter(|seen| seen.budget == budget && !seen.is_released)
            .filter_map(|seen| seen.charged.or(seen.grant.as_ref().map(|_| seen.amount)))
            .sum()
    }

    pub fn check(&self) {
        assert_eq!(
            self.fleet.mismatches, 0,
            "a holder's account does not fit its row"
        );
        for budget in 0..BUDGETS {
            let row = self.fleet.row(&budget_id(budget));
            let spent = self.spent(budget);
            assert!(row.is_balanced(), "{row:?}");
            assert!(spent <= row.paid, "{spent} spent of {}: {row:?}", row.paid);
        }
        self.check_billed_once();
    }

    /// Within a zone a request is granted a second time only if the first
    /// attempt was released, or under another tenure where one of the two
    /// drew on a float: a float is spent without the witness, so neither
    /// holder knows of the other's attempt, as between two zones. Billing
    /// records fold such attempts to one charge.
    fn check_billed_once(&self) {
        for (place, seen) in self.attempts.iter().enumerate() {
            let Some(grant) = &seen.grant else {
                continue;
            };
            let earlier = self.attempts[..place].iter().filter(|other| {
                other.request == seen.request && !other.is_released && other.grant.is_some()
            });
            for other in earlier {
                let former = other.grant.as_ref().unwrap();
                let is_excused = former.tenure != grant.tenure
                    && (former.pool == TokenPool::Float
                        || grant.pool == TokenPool::Float
                        || self.was_seized(other.zone));
                assert!(is_excused, "granted twice: {other:?} and {seen:?}");
            }
        }
    }

    /// Whether the zone's slot was ever taken without a ledger.
    fn was_seized(&self, zone: usize) -> bool {
        self.fleet.seized[zone]
    }

    /// Every charge is in the row, in a living holder's account, or covered
    /// by frozen tokens.
    pub fn check_covered(&self) {
        for budget in 0..BUDGETS {
            let row = self.fleet.row(&budget_id(budget));
            let frozen: TokenCount = row.frozen.iter().map(|frozen| frozen.tokens).sum();
            let known = row.settled.saturating_add(frozen);
            let covered = known.saturating_add(self.unreported(budget));
            let spent = self.spent(budget);
            assert!(
                spent <= covered,
                "{spent} spent, {covered} covered: {row:?}"
            );
        }
    }

    /// Charges that living holders have not reported yet, and what their
    /// grants hold for the rest.
    fn unreported(&self, budget: usize) -> TokenCount {
        let row = self.fleet.row(&budget_id(budget));
        row.grants.iter().map(|grant| grant.open).sum()
    }

    /// With every holder alive, the row holds exactly what was charged.
    pub fn check_equal(&self) {
        for budget in 0..BUDGETS {
            let row = self.fleet.row(&budget_id(budget));
            assert_eq!(row.settled, self.spent(budget), "{row:?}");
            assert!(row.frozen.is_empty(), "{row:?}");
        }
    }
}
