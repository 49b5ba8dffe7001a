//! Asks of other routers about slots, answered by this router's holders and witnesses.

use std::sync::Arc;

use guavawell_core::budget::AskId;
use guavawell_core::budget::HandBackAnswer;
use guavawell_core::budget::HolderAnswer;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::IncarnationAnswer;
use guavawell_core::budget::ReleaseAnswer;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::SealAnswer;
use guavawell_core::budget::SettleAnswer;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::budget::shard_of;
use guavawell_core::id::OrganisationId;

use super::driver::SlotDriver;
use super::seat::SlotSeat;
use crate::clock;
use crate::event::EventDraft;
use crate::peer::PeerRefusal;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

impl SlotDriver {
    /// Answers another router's ask.
    pub async fn answer(self: &Arc<Self>, ask: PeerRequest) -> PeerReply {
        match ask {
            PeerRequest::Witness(message) => self.take_message(message),
            PeerRequest::Takeover(ask) => {
                self.take_over(&ask.slot).await;
                PeerReply::Accepted
            }
            PeerRequest::HandBack(ask) => {
                let slot = ask.slot.clone();
                self.answer_here(&slot, PeerRequest::HandBack(ask)).await
            }
            PeerRequest::Life => PeerReply::Life(IncarnationAnswer {
                incarnation: self.parts.life.incarnation,
            }),
            other => match other.slot().cloned() {
                Some(slot) if self.is_misplaced(&slot, &other) => {
                    PeerReply::Refused(PeerRefusal::Malformed)
                }
                Some(slot) => self.answer_here(&slot, other).await,
                None => PeerReply::Accepted,
            },
        }
    }

    /// Whether an ask names a slot that does not decide for its organisation;
    /// answered there, a request could run under two slots of a zone.
    fn is_misplaced(&self, slot: &SlotId, ask: &PeerRequest) -> bool {
        let shards = (self.parts.shards)();
        organisation_of(ask).is_some_and(|id| shard_of(id, shards) != slot.shard)
    }

    fn take_message(self: &Arc<Self>, message: WitnessMessage) -> PeerReply {
        let (slot, holder, event) = match message {
            WitnessMessage::Record(record) => (
                record.stamp.slot.clone(),
                record.stamp.holder.clone(),
                WitnessEvent::Record(record),
            ),
            WitnessMessage::Handover(handover) => (
                handover.stamp.slot.clone(),
                handover.stamp.holder.clone(),
                WitnessEvent::Handover(handover),
            ),
            // Answers of a witness come back on the ask they answer.
            _ => return PeerReply::Accepted,
        };
        let seat = self.seat_or_new(&slot);
        seat.lock().witnessed = Some(holder);
        self.tell_witness(&seat, event)
            .and_then(PeerReply::from_witness)
            .unwrap_or(PeerReply::Accepted)
    }

    /// Lets this router's own holder answer.
    pub(super) async fn answer_here(
        self: &Arc<Self>,
        slot: &SlotId,
        ask: PeerRequest,
    ) -> PeerReply {
        if let PeerRequest::Note(note) = ask {
            if let Some(seat) = self.seat(slot) {
                self.tell(&seat, HolderEvent::Serve(note.ask));
            }
            return PeerReply::Accepted;
        }
        let refusal = self.not_here(slot, &ask);
        let Some(seat) = self.seat(slot) else {
            return refusal;
        };
        if let Some(refusal) = self.journal_refusal(&seat, &ask) {
            return refusal;
        }
        self.note_charge(&seat, &ask);
        let asked = seat.lock().ask(|id| holder_event(id, ask), clock::now());
        let Some((effects, receiver)) = asked else {
            return refusal;
        };
        self.carry_out(&seat, effects);
        match receiver.recv().await {
            Ok(answer) => peer_reply(answer),
            Err(_) => refusal,
        }
    }

    /// Logs which tenure's holder a charge goes to: one router may have
    /// several of a slot.
    fn note_charge(&self, seat: &SlotSeat, ask: &PeerRequest) {
        let PeerRequest::Settle(settle) = ask else {
            return;
        };
        let ask = &settle.ask;
        let Some(holder) = seat.lock().charged_holder(ask.grant.tenure) else {
            return;
        };
        let draft = EventDraft::new("charge.taken")
            .organisation(&ask.identity.organisation)
            .request(&ask.identity.request)
            .attempt(ask.attempt)
            .field("slot", &seat.slot)
            .field("granted_in", ask.grant.tenure)
            .field("taken_by", holder.tenure)
            .field("retired", holder.is_retired);
        self.parts.events.emit(draft);
    }

    /// "This router does not hold the slot", in the form that the ask wants.
    fn not_here(&self, slot: &SlotId, ask: &PeerRequest) -> PeerReply {
        let known = self.directory.holder(slot);
        let holder = known.filter(|life| life.instance != self.parts.life.instance);
        match ask {
            PeerRequest::Reserve(_) => PeerReply::Reserve(ReserveAnswer::NotHolder { holder }),
            PeerRequest::Settle(_) => PeerReply::Settle(SettleAnswer::NotHolder { holder }),
            PeerRequest::Release(_) => PeerReply::Release(ReleaseAnswer::NotHolder { holder }),
            PeerRequest::Seal(_) => PeerReply::Seal(SealAnswer::NotHolder { holder }),
            PeerRequest::HandBack(_) => PeerReply::HandBack(HandBackAnswer::NotHolder { holder }),
            _ => PeerReply::Accepted,
        }
    }
}

/// The organisation that an ask of a slot's holder concerns.
fn organisation_of(ask: &PeerRequest) -> Option<&OrganisationId> {
    let identity = match ask {
        PeerRequest::Reserve(ask) => &ask.ask.identity,
        PeerRequest::Settle(ask) => &ask.ask.identity,
        PeerRequest::Release(ask) => &ask.ask.identity,
        PeerRequest::Note(note) => &note.ask.identity,
        PeerRequest::Seal(ask) => &ask.ask.identity,
        _ => return None,
    };
    Some(&identity.organisation)
}

/// The event that an ask is for the holder; `None` if it is for somebody else.
fn holder_event(id: AskId, ask: PeerRequest) -> Option<HolderEvent> {
    let event = match ask {
        PeerRequest::Reserve(ask) => HolderEvent::Reserve(id, ask.ask),
        PeerRequest::Settle(ask) => HolderEvent::Settle(id, ask.ask),
        PeerRequest::Release(ask) => HolderEvent::Release(id, ask.ask),
        PeerRequest::Seal(ask) => HolderEvent::Seal(id, ask.ask),
        PeerRequest::HandBack(ask) => HolderEvent::HandBack(id, ask),
        _ => return None,
    };
    Some(event)
}

fn peer_reply(answer: HolderAnswer) -> PeerReply {
    match answer {
        HolderAnswer::Reserve(answer) => PeerReply::Reserve(answer),
        HolderAnswer::Settle(answer) => PeerReply::Settle(answer),
        HolderAnswer::Release(answer) => PeerReply::Release(answer),
        HolderAnswer::Seal(answer) => PeerReply::Seal(answer),
        HolderAnswer::HandBack(answer) => PeerReply::HandBack(answer),
    }
}
