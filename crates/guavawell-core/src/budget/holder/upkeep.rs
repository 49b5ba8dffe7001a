//! The holder's clock work on its budgets.
//!
//! A tick looks at every budget that something is under way for, and at a
//! few of the others in turn, so that its time does not grow with the budgets
//! at rest.

use std::ops::Range;

use super::HolderEffect;
use super::SlotHolder;
use crate::clock::ClockTime;

/// Budgets at rest that one tick looks at. A slot with no more of them has
/// all looked at in every tick.
const REST_LOOKS: usize = 32;

impl SlotHolder {
    /// Looks at the budgets whose turn it is.
    pub(super) fn look_at_stocks(&mut self, now: ClockTime, effects: &mut Vec<HolderEffect>) {
        let turn = self.next_turn();
        let others = (0..turn.start).chain(turn.end..self.stocks.len());
        let busy: Vec<usize> = others.filter(|place| self.busy[*place]).collect();
        for place in turn.chain(busy) {
            self.stocks[place].measure(now);
            self.resend_change(place, now, effects);
            self.expire_queue(place, now, effects);
            self.review(place, now, effects);
        }
    }

    /// The budgets that are looked at also while they rest; all of them
    /// while the instance leaves.
    fn next_turn(&mut self) -> Range<usize> {
        let len = self.stocks.len();
        if self.leaving || len <= REST_LOOKS {
            return 0..len;
        }
        let start = if self.next_rest < len {
            self.next_rest
        } else {
            0
        };
        let end = len.min(start + REST_LOOKS);
        self.next_rest = end;
        start..end
    }
}
