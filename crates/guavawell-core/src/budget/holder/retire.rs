//! The end of a holder: leaving in good order, or finding that another
//! router holds the slot.

use super::HolderAnswer;
use super::HolderEffect;
use super::HolderNote;
use super::HolderPhase;
use super::SlotHolder;
use super::stock::PromisedTokens;
use crate::budget::intent::ReportKey;
use crate::budget::intent::TableFailure;
use crate::budget::intent::TableIntent;
use crate::budget::message::HandBackAnswer;
use crate::budget::message::ReserveAnswer;
use crate::budget::record::TakeoverRequest;
use crate::budget::row::FrozenReport;
use crate::budget::row::RowError;
use crate::budget::slot::InstanceIncarnation;
use crate::budget::slot::SlotRow;
use crate::clock::ClockTime;
use crate::id::TokenCount;

impl SlotHolder {
    /// Stops granting; the witness takes over once the floats are empty.
    pub(super) fn leave(&mut self, now: ClockTime, effects: &mut Vec<HolderEffect>) {
        self.leaving = true;
        let answer = ReserveAnswer::NotHolder {
            holder: Some(self.next_holder()),
        };
        for place in 0..self.stocks.len() {
            self.refuse_queue(place, &answer, effects);
        }
        self.tick(now, effects);
    }

    /// Who decides for the slot, or soon will.
    pub(super) fn next_holder(&self) -> InstanceIncarnation {
        match &self.row.witness {
            Some(witness) if self.leaving && !self.is_retired() => witness.clone(),
            _ => self.row.holder.clone(),
        }
    }

    /// Empties the floats, then asks the witness to take the slot over.
    /// Without a witness, gives everything back to the table instead.
    pub(super) fn hand_slot(&mut self, effects: &mut Vec<HolderEffect>) {
        for place in 0..self.stocks.len() {
            self.empty_stock(place);
        }
        let Some(witness) = self.row.witness.clone() else {
            return;
        };
        let is_changing = self.stocks.iter().any(|stock| stock.change.is_some());
        let is_quiet = self.is_witnessed() && self.batch.is_none() && self.outbox.is_empty();
        if !is_quiet || is_changing {
            return;
        }
        let slot = self.slot.clone();
        let row = self.row.clone();
        let ask = TakeoverRequest { slot, row };
        effects.push(HolderEffect::HandSlot(witness, ask));
        self.read_slot(effects);
    }

    fn empty_stock(&mut self, place: usize) {
        let stock = &self.stocks[place];
        let Some(account) = self.ledger.account(&stock.budget) else {
            return;
        };
        let float = stock.float_free(account);
        if float > TokenCount::ZERO && self.is_witnessed() && !stock.is_moving_float() {
            self.lower_float(place, float);
            return;
        }
        let free = self.witnessed_free(place);
        let is_alone = self.row.witness.is_none() && self.is_witnessed();
        if is_alone && free > TokenCount::ZERO && self.stocks[place].change.is_none() {
            self.stocks[place].promised.push(PromisedTokens {
                ask: None,
                tokens: free,
            });
        }
    }

    /// Another router holds the slot. Witnessed attempts go on in its
    /// ledger; float attempts end here and are reported once.
    pub(super) fn retire(&mut self, row: SlotRow, now: ClockTime, effects: &mut Vec<HolderEffect>) {
        self.row = row;
        self.phase = HolderPhase::Retired(now);
        effects.push(HolderEffect::Note(HolderNote::Retired));
        self.drop_waits(effects);
        let holder = Some(self.row.holder.clone());
        let answer = ReserveAnswer::NotHolder {
            holder: holder.clone(),
        };
        for place in 0..self.stocks.len() {
            self.refuse_queue(place, &answer, effects);
            self.drop_promises(place, holder.as_ref(), effects);
        }
        self.outbox.clear();
        self.batch = None;
        self.report_floats(now, effects);
    }

    /// A promise on its way may or may not stand in the table, so the asking
    /// zone is told to look there.
    fn drop_promises(
        &mut self,
        place: usize,
        holder: Option<&InstanceIncarnation>,
        effects: &mut Vec<HolderEffect>,
    ) {
        let stock = &mut self.stocks[place];
        stock.change = None;
        let mut promises = std::mem::take(&mut stock.giving);
        promises.append(&mut stock.promised);
        promises.append(&mut stock.asked);
        for promise in promises {
            let holder = holder.cloned();
            let answer = HolderAnswer::HandBack(HandBackAnswer::NotHolder { holder });
            effects.extend(promise.ask.map(|ask| HolderEffect::Answer(ask, answer)));
        }
    }

    /// Reports each budget whose attempts have ended, or waited too long.
    pub(super) fn report_floats(&mut self, now: ClockTime, effects: &mut Vec<HolderEffect>) {
        let HolderPhase::Retired(since) = self.phase else {
            return;
        };
        let is_overdue = now.since(since) >= self.settings.retire_wait;
        for place in 0..self.stocks.len() {
            let stock = &self.stocks[place];
            let is_sent =
                stock.is_report_sent && now.since(stock.sent_at) < self.settings.table_retry;
            if stock.is_reported || is_sent {
                continue;
            }
            if let Some(report) = self.frozen_report(place, is_overdue) {
                let stock = &mut self.stocks[place];
                stock.is_report_sent = true;
                stock.sent_at = now;
                effects.push(HolderEffect::Table(TableIntent::ReportFrozen {
                    budget: stock.budget.clone(),
                    report,
                }));
            }
        }
    }

    /// The late report of a budget, attempts that run on at their worst case.
    fn frozen_report(&self, place: usize, is_overdue: bool) -> Option<FrozenReport> {
        let account = self.ledger.account(&self.stocks[place].budget)?;
        if account.float_reserved > TokenCount::ZERO && !is_overdue {
            return None;
        }
        let counters = &account.counters;
        let (running, ended) = if is_overdue {
            (TokenCount::ZERO, account.reserved)
        } else {
            (account.reserved, TokenCount::ZERO)
        };
        Some(FrozenReport {
            slot: self.slot.clone(),
            tenure: counters.tenure,
            settled: counters.settled.saturating_add(ended),
            running,
            float_settled: counters
                .float_settled
                .saturating_add(account.float_reserved),
        })
    }

    pub(super) fn take_report(
        &mut self,
        key: &ReportKey,
        outcome: Result<(), TableFailure>,
        effects: &mut Vec<HolderEffect>,
    ) {
        let Ok(place) = self.stock_place(&key.budget) else {
            return;
        };
        if key.tenure != self.ledger.tenure {
            return;
        }
        let budget = &key.budget;
        let note = match outcome {
            Ok(()) | Err(TableFailure::NoBudget) => HolderNote::FloatReported(budget.clone()),
            Err(TableFailure::Refused(RowError::GrantOverdrawn)) => {
                HolderNote::AccountMismatch(budget.clone())
            }
            Err(_) => return,
        };
        self.stocks[place].is_reported = true;
        effects.push(HolderEffect::Note(note));
    }
}
