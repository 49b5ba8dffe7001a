//! Billing records of the slots held here, on their way to the journal.

use std::sync::Arc;

use guavawell_core::budget::ChargeNotice;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotLedger;
use guavawell_core::request::RequestIdentity;
use guavawell_core::request::billing::BillingRecord;

use super::driver::SlotDriver;
use super::seat::SlotSeat;
use crate::clock;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

impl SlotDriver {
    /// Keeps the record of a charge that stands.
    pub(super) fn keep_record(&self, seat: &SlotSeat, notice: ChargeNotice) {
        let record = BillingRecord::of_notice(&seat.slot, notice, clock::now());
        self.parts.journal.record(record);
    }

    /// Keeps the charges of a former holder's ledger once more: it may have
    /// died before their segments were written. The fold counts each once.
    pub(super) fn keep_again(&self, slot: &SlotId, ledger: &SlotLedger) {
        let now = clock::now();
        for record in BillingRecord::of_ledger(slot, ledger, now) {
            metrics::counter!("guavawell_billing_records_repeated_total").increment(1);
            self.parts.journal.record(record);
        }
    }

    /// Lets the holders forget charges whose records are durable; all are of
    /// one slot.
    pub fn take_durable(self: &Arc<Self>, records: Vec<BillingRecord>) {
        let Some(slot) = records.first().map(|record| record.slot.clone()) else {
            return;
        };
        let Some(seat) = self.seat(&slot) else {
            return;
        };
        let mut identities: Vec<RequestIdentity> =
            records.into_iter().map(|record| record.identity).collect();
        identities.sort();
        self.tell(&seat, HolderEvent::Durable(identities));
    }

    /// The refusal of a new reservation while more records wait for the object
    /// store than may; requests that are known here are answered all the same.
    pub(super) fn journal_refusal(&self, seat: &SlotSeat, ask: &PeerRequest) -> Option<PeerReply> {
        let PeerRequest::Reserve(reserve) = ask else {
            return None;
        };
        if !self.parts.journal.is_full() {
            return None;
        }
        let state = seat.lock();
        let known = state.present()?.ledger().request(&reserve.ask.identity);
        if known.is_some() {
            return None;
        }
        metrics::counter!("guavawell_journal_full_refusals_total").increment(1);
        Some(PeerReply::Reserve(ReserveAnswer::Unreachable {
            retry_after: self.parts.holder.retry_after,
        }))
    }
}
