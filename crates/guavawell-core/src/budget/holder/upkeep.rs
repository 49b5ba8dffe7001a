//! The holder's clock work on its budgets.
//!
//! A tick looks at every budget that something is under way for, and at a
//! few of the others in turn, so that its time does not grow with the budgets
//! at rest.

use std::ops::Range;

use super::HolderEffect;
use super::SlotHolder;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Budgets at rest that one tick looks at. A slot with no more of them has
/// all looked at in every tick.
const REST_LOOKS: usize = 32;

/// Shortest time between two changes of grants that budgets at rest start.
const REST_CHANGE_EVERY: ClockSpan = ClockSpan::from_millis(125);

impl SlotHolder {
    /// Looks at the budgets whose turn it is.
    pub(super) fn look_at_stocks(&mut self, now: ClockTime, effects: &mut Vec<HolderEffect>) {
        let turn = self.next_turn();
        let others = (0..turn.start).chain(turn.end..self.stocks.len());
        let busy: Vec<usize> = others.filter(|place| self.busy[*place]).collect();
        for place in turn {
            self.look_in_turn(place, now, effects);
        }
        for place in busy {
            self.look_at(place, now, effects);
        }
    }

    fn look_at(&mut self, place: usize, now: ClockTime, effects: &mut Vec<HolderEffect>) {
        self.stocks[place].measure(now);
        self.resend_change(place, now, effects);
        self.expire_queue(place, now, effects);
        self.review(place, now, effects);
    }

    /// As [`Self::look_at`], but budgets at rest start changes one after
    /// another: a takeover leaves every former grant to be closed, and the
    /// table serves everybody.
    fn look_in_turn(&mut self, place: usize, now: ClockTime, effects: &mut Vec<HolderEffect>) {
        if self.busy[place] || !self.has_many() {
            return self.look_at(place, now, effects);
        }
        if now.since(self.rest_changed_at) < REST_CHANGE_EVERY {
            return self.stocks[place].measure(now);
        }
        self.look_at(place, now, effects);
        if self.stocks[place].change.is_some() {
            self.rest_changed_at = now;
        }
    }

    /// Looks at every budget for which something is under way, and at those
    /// at rest too where they are few.
    pub(super) fn review_all(&mut self, now: ClockTime, effects: &mut Vec<HolderEffect>) {
        for place in 0..self.stocks.len() {
            if self.busy[place] || !self.has_many() {
                self.review(place, now, effects);
            }
        }
    }

    /// Whether budgets at rest take turns.
    const fn has_many(&self) -> bool {
        !self.leaving && self.stocks.len() > REST_LOOKS
    }

    /// The budgets that are looked at also while they rest; all of them
    /// while the instance leaves.
    fn next_turn(&mut self) -> Range<usize> {
        let len = self.stocks.len();
        if !self.has_many() {
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
