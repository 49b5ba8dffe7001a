//! Asks about slots: from this router to the holder, and from other routers to this one.

use std::sync::Arc;
use std::time::Duration;

use guavawell_core::budget::AskId;
use guavawell_core::budget::BackendNote;
use guavawell_core::budget::HandBackAnswer;
use guavawell_core::budget::HandBackAsk;
use guavawell_core::budget::HolderAnswer;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::LifeAnswer;
use guavawell_core::budget::ReleaseAnswer;
use guavawell_core::budget::ReleaseAsk;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveAsk;
use guavawell_core::budget::SealAnswer;
use guavawell_core::budget::SealAsk;
use guavawell_core::budget::SettleAnswer;
use guavawell_core::budget::SettleAsk;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::budget::shard_of;
use guavawell_core::id::BudgetId;
use guavawell_core::id::InstanceId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::TokenCount;
use guavawell_core::id::ZoneId;
use smol::Timer;

use super::driver::SlotDriver;
use super::table::slot_key;
use crate::clock;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Routers asked for one ask before it is given up.
const MAX_HOPS: usize = 4;

/// Wait between two tries of an ask that must get through.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Tries of giving a reservation back before it is left to the holder, which
/// asks the backend server's record.
const MAX_RELEASES: usize = 50;

/// How an ask to whoever holds a slot ended.
enum HolderReply {
    /// The holder answered.
    Answer(PeerReply),
    /// No holder could be reached; the ask may have arrived.
    None,
}

/// What a reply says of its sender.
enum HolderWord {
    /// It holds the slot, and answered.
    Holder,
    /// It does not hold the slot, and may know who does.
    Elsewhere(Option<InstanceId>),
}

impl SlotDriver {
    /// The slot that decides for this router's callers of an organisation.
    #[must_use]
    pub fn slot_of(&self, organisation: &OrganisationId) -> SlotId {
        SlotId {
            zone: self.parts.zone.clone(),
            shard: shard_of(organisation, (self.parts.shards)()),
        }
    }

    /// Reserves an attempt's worst case at the slot's holder.
    ///
    /// An ask whose answer is lost may have been granted; it is given back in
    /// the background, because the attempt will not be sent.
    pub async fn reserve(self: &Arc<Self>, ask: ReserveAsk) -> ReserveAnswer {
        let slot = self.slot_of(&ask.identity.organisation);
        let reply = self
            .ask_holder(&slot, &PeerRequest::Reserve(ask.clone()))
            .await;
        if let HolderReply::Answer(PeerReply::Reserve(answer)) = reply {
            return answer;
        }
        self.release_later(ReleaseAsk {
            identity: ask.identity,
            attempt: ask.attempt,
        });
        ReserveAnswer::Unreachable {
            retry_after: self.parts.holder.retry_after,
        }
    }

    /// Charges an attempt, trying until it is recorded or `settle_wait` has
    /// passed; then the tries go on in the background and `None` is returned.
    pub async fn settle(self: &Arc<Self>, ask: SettleAsk) -> Option<SettleAnswer> {
        let deadline = clock::now() + self.parts.times.settle_wait;
        loop {
            if let Some(answer) = self.settle_once(&ask).await {
                return Some(answer);
            }
            if clock::now() >= deadline {
                break;
            }
            Timer::after(RETRY_PAUSE).await;
        }
        metrics::counter!("guavawell_settles_late_total").increment(1);
        let driver = Arc::clone(self);
        let task = async move {
            while driver.settle_once(&ask).await.is_none() {
                Timer::after(RETRY_PAUSE * 10).await;
            }
        };
        self.parts.tasks.spawn(task);
        None
    }

    async fn settle_once(self: &Arc<Self>, ask: &SettleAsk) -> Option<SettleAnswer> {
        let slot = self.slot_of(&ask.identity.organisation);
        match self
            .ask_holder(&slot, &PeerRequest::Settle(ask.clone()))
            .await
        {
            HolderReply::Answer(PeerReply::Settle(SettleAnswer::NotHolder { .. })) => None,
            HolderReply::Answer(PeerReply::Settle(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Gives a reservation back in the background: the attempt did not run.
    pub fn release_later(self: &Arc<Self>, ask: ReleaseAsk) {
        let driver = Arc::clone(self);
        let task = async move {
            let slot = driver.slot_of(&ask.identity.organisation);
            for _ in 0..MAX_RELEASES {
                let reply = driver
                    .ask_holder(&slot, &PeerRequest::Release(ask.clone()))
                    .await;
                match reply {
                    HolderReply::Answer(PeerReply::Release(
                        ReleaseAnswer::Released | ReleaseAnswer::AlreadySettled { .. },
                    )) => return,
                    _ => Timer::after(RETRY_PAUSE).await,
                };
            }
            metrics::counter!("guavawell_releases_given_up_total").increment(1);
        };
        self.parts.tasks.spawn(task);
    }

    /// Tells the holder which backend server runs an attempt; loss is allowed.
    pub fn note_backend(self: &Arc<Self>, note: BackendNote) {
        let slot = self.slot_of(&note.identity.organisation);
        if let Some(seat) = self.seat(&slot)
            && seat.is_held()
        {
            self.tell(&seat, HolderEvent::Serve(note));
            return;
        }
        let driver = Arc::clone(self);
        let task = async move {
            driver.ask_holder(&slot, &PeerRequest::Note(note)).await;
        };
        self.parts.tasks.spawn(task);
    }

    /// Asks the slot's holder to let no attempt of a request run.
    pub async fn seal(self: &Arc<Self>, ask: SealAsk) -> Option<SealAnswer> {
        let slot = self.slot_of(&ask.identity.organisation);
        match self.ask_holder(&slot, &PeerRequest::Seal(ask)).await {
            HolderReply::Answer(PeerReply::Seal(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Answers the ask of a router that stands in `zone`.
    pub async fn answer(self: &Arc<Self>, zone: &ZoneId, ask: PeerRequest) -> PeerReply {
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
            PeerRequest::Life => PeerReply::Life(LifeAnswer {
                incarnation: self.parts.life.incarnation,
            }),
            other => match organisation_of(&other) {
                Some(organisation) => {
                    let slot = SlotId {
                        zone: zone.clone(),
                        shard: shard_of(organisation, (self.parts.shards)()),
                    };
                    self.answer_here(&slot, other).await
                }
                None => PeerReply::Accepted,
            },
        }
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

    /// Asks whoever holds the slot, following hints.
    async fn ask_holder(self: &Arc<Self>, slot: &SlotId, ask: &PeerRequest) -> HolderReply {
        let mut next = None;
        for hop in 0..MAX_HOPS {
            let own = &self.parts.life.instance;
            let target = next.take().or_else(|| self.guess(slot, hop));
            let Some(target) = target else {
                return HolderReply::None;
            };
            let answer = if target == *own {
                Ok(self.answer_here(slot, ask.clone()).await)
            } else {
                (self.parts.link.call)(target, ask.clone()).await
            };
            let Ok(answer) = answer else {
                metrics::counter!("guavawell_holder_asks_failed_total").increment(1);
                continue;
            };
            match word_of(&answer) {
                HolderWord::Holder => return HolderReply::Answer(answer),
                HolderWord::Elsewhere(hint) => next = hint,
            }
        }
        HolderReply::None
    }

    /// The router to ask for a slot: its known holder, then its owner by hashing.
    fn guess(&self, slot: &SlotId, hop: usize) -> Option<InstanceId> {
        if self.seat(slot).is_some_and(|seat| seat.is_held()) {
            return Some(self.parts.life.instance.clone());
        }
        let known = self.directory.holder(slot).map(|life| life.instance);
        let members = (self.parts.members)();
        let owner = members
            .owner_in(&slot.zone, slot_key(slot).as_bytes())
            .map(|member| member.instance.clone());
        if hop.is_multiple_of(2) {
            known.or(owner)
        } else {
            owner.or(known)
        }
    }

    /// Lets this router's own holder answer.
    async fn answer_here(self: &Arc<Self>, slot: &SlotId, ask: PeerRequest) -> PeerReply {
        if let PeerRequest::Note(note) = ask {
            if let Some(seat) = self.seat(slot) {
                self.tell(&seat, HolderEvent::Serve(note));
            }
            return PeerReply::Accepted;
        }
        let refusal = self.not_here(slot, &ask);
        let Some(seat) = self.seat(slot) else {
            return refusal;
        };
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

    /// Asks the holders of other slots to give tokens of a budget back.
    pub(super) async fn ask_hand_back(
        self: &Arc<Self>,
        budget: &BudgetId,
        wanted: TokenCount,
        slots: &[SlotId],
    ) {
        for slot in slots {
            let ask = HandBackAsk {
                slot: slot.clone(),
                budget: budget.clone(),
                wanted,
            };
            if self.directory.row(slot).is_none()
                && let Ok(Some(row)) = self.parts.table.read_slot(slot).await
            {
                self.directory.learn(slot, &row);
            }
            let reply = self.ask_holder(slot, &PeerRequest::HandBack(ask)).await;
            if let HolderReply::Answer(PeerReply::HandBack(HandBackAnswer::Given { tokens })) =
                reply
                && tokens >= wanted
            {
                return;
            }
        }
    }
}

/// The organisation that an ask of a slot's holder concerns.
fn organisation_of(ask: &PeerRequest) -> Option<&OrganisationId> {
    let identity = match ask {
        PeerRequest::Reserve(ask) => &ask.identity,
        PeerRequest::Settle(ask) => &ask.identity,
        PeerRequest::Release(ask) => &ask.identity,
        PeerRequest::Note(note) => &note.identity,
        PeerRequest::Seal(ask) => &ask.identity,
        _ => return None,
    };
    Some(&identity.organisation)
}

/// The event that an ask is for the holder; `None` if it is for somebody else.
fn holder_event(id: AskId, ask: PeerRequest) -> Option<HolderEvent> {
    let event = match ask {
        PeerRequest::Reserve(ask) => HolderEvent::Reserve(id, ask),
        PeerRequest::Settle(ask) => HolderEvent::Settle(id, ask),
        PeerRequest::Release(ask) => HolderEvent::Release(id, ask),
        PeerRequest::Seal(ask) => HolderEvent::Seal(id, ask),
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

fn word_of(reply: &PeerReply) -> HolderWord {
    match reply {
        PeerReply::Reserve(ReserveAnswer::NotHolder { holder })
        | PeerReply::Settle(SettleAnswer::NotHolder { holder })
        | PeerReply::Release(ReleaseAnswer::NotHolder { holder })
        | PeerReply::Seal(SealAnswer::NotHolder { holder })
        | PeerReply::HandBack(HandBackAnswer::NotHolder { holder }) => {
            HolderWord::Elsewhere(holder.as_ref().map(|life| life.instance.clone()))
        }
        PeerReply::Refused(_) => HolderWord::Elsewhere(None),
        _ => HolderWord::Holder,
    }
}
