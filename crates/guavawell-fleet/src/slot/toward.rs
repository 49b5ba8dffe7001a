//! Asks about slots from this router to whoever holds them.

use std::sync::Arc;
use std::time::Duration;

use guavawell_core::budget::BackendAssignment;
use guavawell_core::budget::HandBackAnswer;
use guavawell_core::budget::HandBackRequest;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::ReleaseAnswer;
use guavawell_core::budget::ReleaseRequest;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::ReserveRequest;
use guavawell_core::budget::SealAnswer;
use guavawell_core::budget::SealRequest;
use guavawell_core::budget::SettleAnswer;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::TakeoverRequest;
use guavawell_core::budget::TokenPool;
use guavawell_core::budget::shard_of;
use guavawell_core::id::BudgetId;
use guavawell_core::id::InstanceId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;
use guavawell_core::instance::MemberView;
use guavawell_core::instance::Reachability;
use smol::Timer;

use super::acquire::is_alive;
use super::driver::SlotDriver;
use super::table::slot_key;
use crate::clock;
use crate::peer::PeerError;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::peer::SlotAsk;

/// Wait between two routers asked for one ask, after the first two.
const HOP_PAUSE: Duration = Duration::from_millis(25);

/// Wait between two tries of an ask that must get through.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Tries of giving a reservation back before it is left to the holder, which
/// asks the backend server's record.
const MAX_RELEASES: usize = 50;

/// How an ask to whoever holds a slot ended.
pub(super) enum HolderReply {
    /// The holder answered.
    Answer(PeerReply),
    /// No holder could be reached; the ask may have arrived.
    None,
}

/// Whom one ask was told, on the way to whoever holds the slot.
#[derive(Default)]
struct AskedRouters {
    /// How often it was told.
    count: usize,
    /// Routers that did not answer.
    unheard: Vec<InstanceId>,
}

/// What a reply says of its sender.
enum HolderWord {
    /// It holds the slot, and answered.
    Holder(Box<PeerReply>),
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
    /// An attempt that is not granted is never sent. Where more than one router
    /// was asked, any of them may hold it, so it is given back in the background.
    pub async fn reserve(self: &Arc<Self>, ask: ReserveRequest) -> ReserveAnswer {
        let slot = self.slot_of(&ask.identity.organisation);
        let told = PeerRequest::Reserve(SlotAsk::new(slot.clone(), ask.clone()));
        let mut asked = AskedRouters::default();
        // Boxed: see `ask_holder`.
        let reply = Box::pin(self.ask_hops(&slot, &told, &mut asked)).await;
        let answer = match reply {
            HolderReply::Answer(PeerReply::Reserve(answer)) => Some(answer),
            _ => None,
        };
        if let Some(ReserveAnswer::Granted(grant)) = &answer {
            let mut unheard = asked.unheard;
            unheard.retain(|target| *target != grant.holder.instance);
            self.disown(&slot, &ask, Some(grant.tenure), unheard);
        } else if answer.is_none() || asked.count > 1 {
            self.disown(&slot, &ask, None, asked.unheard);
            let release = ReleaseRequest {
                identity: ask.identity,
                attempt: ask.attempt,
                before: None,
            };
            self.release_later(slot, release);
        }
        answer.unwrap_or(ReserveAnswer::Unreachable {
            retry_after: self.parts.holder.retry_after,
        })
    }

    /// Tells routers that were asked and did not answer that the attempt runs by
    /// the grant of another one, from tenure `before` on, or not at all: one that
    /// was paused would keep its float frozen for it, and charge it in the end.
    fn disown(
        self: &Arc<Self>,
        slot: &SlotId,
        ask: &ReserveRequest,
        before: Option<SlotEpoch>,
        mut unheard: Vec<InstanceId>,
    ) {
        unheard.sort_unstable();
        unheard.dedup();
        for target in unheard {
            let release = ReleaseRequest {
                identity: ask.identity.clone(),
                attempt: ask.attempt,
                before,
            };
            let is_there = {
                let target = target.clone();
                move |members: &MemberView| {
                    let member = members.find(&target);
                    member.is_some_and(|member| member.reachability != Reachability::Unreachable)
                }
            };
            self.release_at(slot, release, target, is_there);
        }
    }

    /// Gives a reservation back at one router, in the background, as long as
    /// that one is there.
    fn release_at(
        self: &Arc<Self>,
        slot: &SlotId,
        ask: ReleaseRequest,
        target: InstanceId,
        is_there: impl Fn(&MemberView) -> bool + Send + 'static,
    ) {
        let driver = Arc::clone(self);
        let slot = slot.clone();
        let told = PeerRequest::Release(SlotAsk::new(slot.clone(), ask));
        let task = async move {
            while driver.ask_one(&slot, &told, &target).await.is_err()
                && is_there(&(driver.parts.members)())
            {
                Timer::after(RETRY_PAUSE * 10).await;
            }
        };
        self.parts.tasks.spawn(task);
    }

    /// Whether a life holds the slot, as far as is known here.
    pub(super) fn is_holder(&self, slot: &SlotId, life: &InstanceIncarnation) -> bool {
        self.directory.holder(slot).as_ref() == Some(life)
    }

    /// Gives a granted reservation back in the background, also at a former
    /// holder if its float was to pay.
    pub fn release_granted(
        self: &Arc<Self>,
        slot: SlotId,
        ask: ReleaseRequest,
        grant: &ReserveGrant,
    ) {
        if grant.pool == TokenPool::Float {
            self.release_at_former(&slot, ask.clone(), grant.holder.clone());
        }
        self.release_later(slot, ask);
    }

    /// Gives a reservation back at the holder of an earlier tenure, in the
    /// background, as long as that one lives.
    pub(super) fn release_at_former(
        self: &Arc<Self>,
        slot: &SlotId,
        ask: ReleaseRequest,
        former: InstanceIncarnation,
    ) {
        let target = former.instance.clone();
        let is_there = move |members: &MemberView| is_alive(members, &former);
        self.release_at(slot, ask, target, is_there);
    }

    /// Gives a reservation back in the background: the attempt did not run.
    ///
    /// Goes on while the holder's witness is away, for a takeover may find the
    /// reservation again.
    pub fn release_later(self: &Arc<Self>, slot: SlotId, ask: ReleaseRequest) {
        let driver = Arc::clone(self);
        let task = async move {
            for _ in 0..MAX_RELEASES {
                let reply = driver
                    .ask_holder(
                        &slot,
                        &PeerRequest::Release(SlotAsk::new(slot.clone(), ask.clone())),
                    )
                    .await;
                let pause = match reply {
                    HolderReply::Answer(PeerReply::Release(
                        ReleaseAnswer::Released | ReleaseAnswer::AlreadySettled { .. },
                    )) => return,
                    HolderReply::Answer(PeerReply::Release(ReleaseAnswer::Pending {
                        retry_after,
                    })) => clock::duration(retry_after),
                    _ => RETRY_PAUSE,
                };
                Timer::after(pause).await;
            }
            metrics::counter!("guavawell_releases_given_up_total").increment(1);
        };
        self.parts.tasks.spawn(task);
    }

    /// Tells the holder which backend server runs an attempt; loss is allowed.
    pub fn note_backend(self: &Arc<Self>, note: BackendAssignment) {
        self.note_backend_at(self.slot_of(&note.identity.organisation), note);
    }

    /// As [`Self::note_backend`], for an attempt of any slot.
    pub fn note_backend_at(self: &Arc<Self>, slot: SlotId, note: BackendAssignment) {
        if let Some(seat) = self.seat(&slot)
            && seat.is_held()
        {
            self.tell(&seat, HolderEvent::Serve(note));
            return;
        }
        let driver = Arc::clone(self);
        let task = async move {
            let ask = PeerRequest::Note(SlotAsk::new(slot.clone(), note));
            driver.ask_holder(&slot, &ask).await;
        };
        self.parts.tasks.spawn(task);
    }

    /// Asks the slot's holder to let no attempt of a request run.
    pub async fn seal(self: &Arc<Self>, ask: SealRequest) -> Option<SealAnswer> {
        let slot = self.slot_of(&ask.identity.organisation);
        let ask = PeerRequest::Seal(SlotAsk::new(slot.clone(), ask));
        match self.ask_holder(&slot, &ask).await {
            HolderReply::Answer(PeerReply::Seal(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Asks whoever holds the slot, following hints, until `ask_wait` is over.
    pub(super) async fn ask_holder(
        self: &Arc<Self>,
        slot: &SlotId,
        ask: &PeerRequest,
    ) -> HolderReply {
        let mut asked = AskedRouters::default();
        // Boxed: the way over other routers is too large for a request's stack frame.
        Box::pin(self.ask_hops(slot, ask, &mut asked)).await
    }

    /// As [`Self::ask_holder`]; `asked` gets the routers that were asked.
    async fn ask_hops(
        self: &Arc<Self>,
        slot: &SlotId,
        ask: &PeerRequest,
        asked: &mut AskedRouters,
    ) -> HolderReply {
        let until = clock::now() + self.parts.times.ask_wait;
        let mut next = None;
        for hop in 0.. {
            let target = next.take().or_else(|| self.guess(slot, hop));
            if let Some(target) = target {
                asked.count += 1;
                let word = self.ask_one(slot, ask, &target).await.map(word_of);
                match word {
                    Ok(HolderWord::Holder(answer)) => {
                        self.failures.answered(slot);
                        return HolderReply::Answer(*answer);
                    }
                    Ok(HolderWord::Elsewhere(hint)) => next = hint,
                    Err(_) => {
                        next = self.hasten(slot, &target).await;
                        asked.unheard.push(target);
                    }
                }
            }
            if clock::now() >= until {
                break;
            }
            if hop > 0 {
                Timer::after(HOP_PAUSE).await;
            }
        }
        HolderReply::None
    }

    pub(super) async fn ask_one(
        self: &Arc<Self>,
        slot: &SlotId,
        ask: &PeerRequest,
        target: &InstanceId,
    ) -> Result<PeerReply, PeerError> {
        if *target == self.parts.life.instance {
            return Ok(self.answer_here(slot, ask.clone()).await);
        }
        (self.parts.link.call)(target.clone(), ask.clone()).await
    }

    /// After a few failures of the slot's holder, asks its witness to take
    /// over, and names it as the next to ask.
    async fn hasten(self: &Arc<Self>, slot: &SlotId, target: &InstanceId) -> Option<InstanceId> {
        metrics::counter!("guavawell_holder_asks_failed_total").increment(1);
        let row = self.directory.row(slot)?;
        if row.holder.instance != *target || !self.failures.failed(slot, clock::now()) {
            return None;
        }
        let witness = row.witness.clone()?.instance;
        metrics::counter!("guavawell_takeovers_hastened_total").increment(1);
        if witness == self.parts.life.instance {
            self.take_over(slot).await;
        } else {
            let ask = TakeoverRequest {
                slot: slot.clone(),
                row,
            };
            let answer = (self.parts.link.call)(witness.clone(), PeerRequest::Takeover(ask));
            answer.await.ok()?;
        }
        Some(witness)
    }

    /// The router to ask for a slot: its known holder, then its owner by hashing.
    fn guess(&self, slot: &SlotId, hop: u32) -> Option<InstanceId> {
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

    /// Asks the holders of other slots to give tokens of a budget back.
    pub(super) async fn ask_hand_back(
        self: &Arc<Self>,
        budget: &BudgetId,
        wanted: TokenCount,
        slots: &[SlotId],
    ) {
        for slot in slots {
            let ask = HandBackRequest {
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

fn word_of(reply: PeerReply) -> HolderWord {
    match &reply {
        PeerReply::Reserve(ReserveAnswer::NotHolder { holder })
        | PeerReply::Settle(SettleAnswer::NotHolder { holder })
        | PeerReply::Release(ReleaseAnswer::NotHolder { holder })
        | PeerReply::Seal(SealAnswer::NotHolder { holder })
        | PeerReply::HandBack(HandBackAnswer::NotHolder { holder }) => {
            HolderWord::Elsewhere(holder.as_ref().map(|life| life.instance.clone()))
        }
        PeerReply::Refused(_) => HolderWord::Elsewhere(None),
        _ => HolderWord::Holder(Box::new(reply)),
    }
}
