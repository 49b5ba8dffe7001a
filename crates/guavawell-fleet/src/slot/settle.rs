//! Charges of attempts that this router ran, or finds the outcome of.
//!
//! A charge is told to whoever granted it and to whoever holds the slot now.
//! Where both lost sight of the attempt, this router keeps the billing record
//! itself: a request that was answered has a record.

use std::sync::Arc;

use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::SettleAnswer;
use guavawell_core::budget::SettleRequest;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::TokenPool;
use guavawell_core::id::BudgetId;
use guavawell_core::id::TokenCount;
use guavawell_core::request::billing::BillingRecord;
use smol::Timer;

use super::acquire::is_alive;
use super::driver::SlotDriver;
use super::seat::SlotSeat;
use super::toward::HolderReply;
use super::toward::RETRY_PAUSE;
use crate::clock;
use crate::event::EventDraft;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::peer::SlotAsk;

/// What an attempt used, and which budget pays.
#[derive(Clone, Debug)]
pub struct RunCharge {
    /// The charge as the slot's holder is told it.
    pub ask: SettleRequest,
    /// The slot that reserved it.
    pub slot: SlotId,
    /// The budget.
    pub budget: BudgetId,
}

impl SlotDriver {
    /// Charges an attempt, trying until it is recorded or `settle_wait` has
    /// passed; then the tries go on in the background and `None` is returned.
    ///
    /// A charge that the holder has recorded alone is returned as pending, and
    /// the tries go on too: a takeover would not know of it.
    pub async fn settle(self: &Arc<Self>, charge: RunCharge) -> Option<SettleAnswer> {
        let deadline = clock::now() + self.parts.times.settle_wait;
        let mut answer = self.settle_once(&charge).await;
        while answer.is_none() && clock::now() < deadline {
            Timer::after(RETRY_PAUSE).await;
            answer = self.settle_once(&charge).await;
        }
        if !is_final(answer.as_ref()) {
            metrics::counter!("guavawell_settles_late_total").increment(1);
            self.settle_later(charge);
        }
        answer
    }

    fn settle_later(self: &Arc<Self>, charge: RunCharge) {
        let driver = Arc::clone(self);
        let task = async move {
            let mut answer = None;
            while !is_final(answer.as_ref()) {
                Timer::after(RETRY_PAUSE * 10).await;
                answer = driver.settle_once(&charge).await;
            }
        };
        self.parts.tasks.spawn(task);
    }

    async fn settle_once(self: &Arc<Self>, charge: &RunCharge) -> Option<SettleAnswer> {
        let ask = &charge.ask;
        let slot = &charge.slot;
        let mut paid = None;
        if ask.grant.pool == TokenPool::Float && !self.is_holder(slot, &ask.grant.holder) {
            paid = self.settle_float(slot, ask).await?.charged;
        }
        let told = PeerRequest::Settle(SlotAsk::new(slot.clone(), ask.clone()));
        let HolderReply::Answer(PeerReply::Settle(answer)) = self.ask_holder(slot, &told).await
        else {
            return None;
        };
        self.note_answer(charge, &answer);
        match (answer, paid) {
            (SettleAnswer::NotHolder { .. }, _) => None,
            (SettleAnswer::Unknown, Some(charged)) => Some(SettleAnswer::Settled { charged }),
            (SettleAnswer::Unknown, None) => {
                self.keep_unheld(slot, charge);
                Some(SettleAnswer::Unknown)
            }
            (answer, _) => Some(answer),
        }
    }

    /// Logs what a holder answered to a charge: a charge that reached no budget
    /// shows by an answer of fewer tokens than were used.
    fn note_answer(&self, charge: &RunCharge, answer: &SettleAnswer) {
        let ask = &charge.ask;
        let draft = EventDraft::new("charge.answered")
            .organisation(&ask.identity.organisation)
            .budget(&charge.budget)
            .request(&ask.identity.request)
            .attempt(ask.attempt)
            .field("tokens", ask.actual)
            .field("granted_by", &ask.grant.holder.instance)
            .field("tenure", ask.grant.tenure)
            .field("pool", ask.grant.pool)
            .field("answer", answer);
        self.parts.events.emit(draft);
    }

    /// Tells a former holder of a charge to its float, which only it reports;
    /// `None` if it lives and has not answered.
    async fn settle_float(
        self: &Arc<Self>,
        slot: &SlotId,
        ask: &SettleRequest,
    ) -> Option<FormerCharge> {
        let former = &ask.grant.holder;
        let told = PeerRequest::Settle(SlotAsk::new(slot.clone(), ask.clone()));
        match self.ask_one(slot, &told, &former.instance).await {
            Ok(PeerReply::Settle(SettleAnswer::Settled { charged })) => Some(FormerCharge {
                charged: Some(charged),
            }),
            Ok(PeerReply::Settle(_)) => Some(FormerCharge { charged: None }),
            _ if is_alive(&(self.parts.members)(), former) => None,
            _ => Some(FormerCharge { charged: None }),
        }
    }

    /// Asks a former holder's successor for an attempt that was charged by the
    /// former one's grant, and lets that one count it if the successor has no
    /// record. Without an answer the next try of the charge asks again.
    pub(super) fn ask_successor(
        self: &Arc<Self>,
        seat: &Arc<SlotSeat>,
        successor: InstanceIncarnation,
        settle: SettleRequest,
    ) {
        if successor == self.parts.life {
            // The seat looks at its present holder itself.
            return;
        }
        let driver = Arc::clone(self);
        let seat = Arc::clone(seat);
        let told = PeerRequest::Settle(SlotAsk::new(seat.slot.clone(), settle.clone()));
        let task = async move {
            let reply = driver.ask_one(&seat.slot, &told, &successor.instance).await;
            if let Ok(PeerReply::Settle(SettleAnswer::Unknown)) = reply {
                driver.tell(&seat, HolderEvent::Unheld(settle));
            }
        };
        self.parts.tasks.spawn(task);
    }

    /// Keeps the record of a charge that no holder knows: the one that granted
    /// it is gone, and its tokens are frozen in the budget's row.
    fn keep_unheld(&self, slot: &SlotId, charge: &RunCharge) {
        let ask = &charge.ask;
        let charged = ask.actual.min(ask.grant.amount);
        metrics::counter!("guavawell_billing_records_unheld_total").increment(1);
        self.parts.events.emit(
            EventDraft::new("billing.recorded_unheld")
                .organisation(&ask.identity.organisation)
                .budget(&charge.budget)
                .request(&ask.identity.request)
                .attempt(ask.attempt)
                .field("tokens", charged),
        );
        self.parts.journal.record(BillingRecord {
            identity: ask.identity.clone(),
            attempt: ask.attempt,
            budget: charge.budget.clone(),
            slot: slot.clone(),
            tenure: ask.grant.tenure,
            charged,
            backend: ask.backend.clone(),
            counted: TokenCount::new(u64::MAX),
            pool: ask.grant.pool,
            at: clock::now(),
        });
    }
}

/// What a former holder says of a charge to its float.
struct FormerCharge {
    /// What it charged; `None` if it is gone or does not know the attempt.
    charged: Option<TokenCount>,
}

/// Whether nothing is left to do for a charge.
const fn is_final(answer: Option<&SettleAnswer>) -> bool {
    !matches!(answer, None | Some(SettleAnswer::Pending { .. }))
}
