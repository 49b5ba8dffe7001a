//! The driver's own clock work: ticks, choice of witnesses, handing over.

use std::sync::Arc;

use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::ShardId;
use guavawell_core::id::ZoneId;
use guavawell_core::instance::MemberRecord;
use guavawell_core::instance::MemberView;
use guavawell_core::instance::owner;
use guavawell_core::platform::PlatformRate;
use smol::Timer;

use super::acquire::LossWatch;
use super::acquire::is_alive;
use super::driver::SlotDriver;
use super::seat::SlotSeat;
use super::stopgap::StopgapWatch;
use super::table::slot_key;
use crate::clock;

/// Slot rows that may be read in one period; for more of them the reads come
/// less often, so that their bytes a second do not grow with the shards.
const ROWS_A_PERIOD: usize = 64;

impl SlotDriver {
    /// Runs the driver's clock work until dropped.
    pub async fn run(self: Arc<Self>) {
        let tick = Arc::clone(&self).run_ticks();
        let review = Arc::clone(&self).run_reviews();
        let acquire = self.run_acquire();
        let watch = smol::future::zip(tick, review);
        // Boxed: the three loops together are too large for a task's stack frame.
        Box::pin(smol::future::zip(watch, acquire)).await;
    }

    async fn run_ticks(self: Arc<Self>) {
        loop {
            Timer::after(clock::duration(self.parts.times.tick_every)).await;
            let now = clock::now();
            for seat in self.seats().iter() {
                let effects = seat.lock().tick(now);
                self.carry_out(seat, effects);
                self.tell_witness(seat, WitnessEvent::Tick);
            }
        }
    }

    async fn run_reviews(self: Arc<Self>) {
        // Another zone counts as back once it was reachable for as long as a
        // holder has to be silent before it counts as gone.
        let mut watch = StopgapWatch::new(self.parts.times.takeover_after);
        loop {
            Timer::after(clock::duration(self.parts.times.review_every)).await;
            let members = (self.parts.members)();
            let now = clock::now();
            let mut may_move = true;
            for seat in self.seats().iter() {
                if !seat.is_held() {
                    watch.clear(&seat.slot);
                    self.review_witnessed(seat, &members, now).await;
                } else if !self.review_held(seat, &members, now) {
                    watch.pass(&seat.slot, now);
                } else if may_move {
                    // One a review: the return of a zone concerns many slots,
                    // and each move hands a whole ledger over.
                    may_move = !self.review_stopgap(seat, &members, &mut watch, now);
                }
            }
        }
    }

    async fn run_acquire(self: Arc<Self>) {
        let mut watch = LossWatch::default();
        loop {
            let rows = self.acquire(&mut watch).await;
            let periods = 1 + rows / ROWS_A_PERIOD;
            let periods = u32::try_from(periods).unwrap_or(u32::MAX);
            let wait = clock::duration(self.parts.times.refresh_every) * periods;
            let few = wait / 10;
            // Quick while slots are missing, so that a start takes no full period.
            let pause = if self.holds_all() { wait } else { few };
            Timer::after(pause).await;
        }
    }

    /// Whether every slot that hashing gives to this router is held here.
    fn holds_all(&self) -> bool {
        let members = (self.parts.members)();
        (0..(self.parts.shards)()).all(|shard| {
            let slot = SlotId {
                zone: self.parts.zone.clone(),
                shard: ShardId::new(shard),
            };
            let owner = members.owner_in(&slot.zone, slot_key(&slot).as_bytes());
            owner.is_none_or(|owner| owner.instance != self.parts.life.instance)
                || self.seat(&slot).is_some_and(|seat| seat.is_held())
        })
    }

    /// Names a witness where there is none that answers, and hands the slot
    /// to its owner by hashing once that one is the witness; `true` if the slot
    /// keeps a witness that answers.
    fn review_held(
        self: &Arc<Self>,
        seat: &Arc<SlotSeat>,
        members: &MemberView,
        now: ClockTime,
    ) -> bool {
        let (row, silent, changing) = {
            let state = seat.lock();
            let Some(holder) = state.present() else {
                return false;
            };
            (
                holder.row().clone(),
                holder.is_witness_silent(),
                holder.is_changing_witness(),
            )
        };
        let witness = row.witness.as_ref();
        let is_good = !silent && witness.is_some_and(|life| is_routable(members, life));
        if changing && !seat.lock().change_is_stale(now) {
            return false;
        }
        let heir = self.heir(members, &seat.slot);
        if let Some(heir) = heir {
            if witness == Some(&heir) && is_good {
                self.tell(seat, HolderEvent::Leave);
            } else {
                self.change_witness(seat, Some(heir), now);
            }
            return false;
        }
        if is_good {
            return true;
        }
        let next = self.choose_witness(members, &seat.slot, witness.filter(|_| silent));
        // After a partition, gossip may still tell what the other side saw: a
        // witness that is not silent is not given up for none.
        if next.is_some() || (silent && witness.is_some()) {
            self.change_witness(seat, next, now);
        }
        false
    }

    /// Replaces a witness that answers by one of the preferred class of zones;
    /// `true` if it does so now.
    fn review_stopgap(
        self: &Arc<Self>,
        seat: &Arc<SlotSeat>,
        members: &MemberView,
        watch: &mut StopgapWatch,
        now: ClockTime,
    ) -> bool {
        let Some(better) = self.better_witness(seat, members) else {
            watch.pass(&seat.slot, now);
            return false;
        };
        let is_due = watch.offer(&seat.slot, now);
        if is_due {
            self.change_witness(seat, Some(better), now);
        }
        is_due
    }

    /// A witness of the preferred class for a slot whose witness is none.
    ///
    /// Only classes are compared: by hashing, each join would move witnesses.
    fn better_witness(&self, seat: &SlotSeat, members: &MemberView) -> Option<InstanceIncarnation> {
        // Without the table no change can end.
        if self.parts.table.is_out() {
            return None;
        }
        let witness = seat.lock().present()?.row().witness.clone()?;
        let is_preferred = |life: &InstanceIncarnation| {
            let member = members.find(&life.instance);
            member.is_some_and(|member| self.prefers(&member.zone))
        };
        if is_preferred(&witness) {
            return None;
        }
        let next = self.choose_witness(members, &seat.slot, None)?;
        is_preferred(&next).then_some(next)
    }

    /// Whether the deployment prefers witnesses in this zone.
    fn prefers(&self, zone: &ZoneId) -> bool {
        if self.parts.witness_near {
            *zone == self.parts.zone
        } else {
            self.is_elsewhere(zone)
        }
    }

    /// Whether this is another zone that is near enough for a witness.
    fn is_elsewhere(&self, zone: &ZoneId) -> bool {
        let near = &self.parts.witness_zones;
        *zone != self.parts.zone && (near.is_empty() || near.contains(zone))
    }

    fn change_witness(
        self: &Arc<Self>,
        seat: &Arc<SlotSeat>,
        witness: Option<InstanceIncarnation>,
        now: ClockTime,
    ) {
        // Only the table's answer ends a change; begun without it, the slot
        // would have its float alone until the table is back.
        if self.parts.table.is_out() || !seat.lock().may_change(witness.as_ref(), now) {
            return;
        }
        metrics::counter!("guavawell_witness_changes_total").increment(1);
        self.tell(seat, HolderEvent::ChangeWitness(witness));
    }

    /// The router that should hold a slot instead of this one, if another should.
    fn heir(&self, members: &MemberView, slot: &SlotId) -> Option<InstanceIncarnation> {
        let owner = members.owner_in(&slot.zone, slot_key(slot).as_bytes())?;
        (owner.instance != self.parts.life.instance).then(|| life_of(owner))
    }

    /// A witness in another zone that is near, or in the own zone, as the
    /// deployment prefers; otherwise the other way round.
    ///
    /// A zone dies whole, so that a witness elsewhere saves more; one at home
    /// stays within reach while zones are parted.
    fn choose_witness(
        &self,
        members: &MemberView,
        slot: &SlotId,
        silent: Option<&InstanceIncarnation>,
    ) -> Option<InstanceIncarnation> {
        let own = &self.parts.life.instance;
        let usable = |member: &&MemberRecord| {
            member.instance != *own && silent.is_none_or(|life| life.instance != member.instance)
        };
        let key = slot_key(slot);
        let pick = |wanted: &dyn Fn(&MemberRecord) -> bool| {
            let candidates = members
                .routable()
                .filter(usable)
                .filter(|member| wanted(member));
            let chosen = owner(candidates.map(|member| &member.instance), key.as_bytes())?;
            members.find(chosen).map(life_of)
        };
        let zone = &self.parts.zone;
        let elsewhere = |member: &MemberRecord| self.is_elsewhere(&member.zone);
        let at_home = |member: &MemberRecord| member.zone == *zone;
        if self.parts.witness_near {
            pick(&at_home).or_else(|| pick(&elsewhere))
        } else {
            pick(&elsewhere).or_else(|| pick(&at_home))
        }
    }

    /// Takes over what a holder that is gone entrusted to this router.
    async fn review_witnessed(
        self: &Arc<Self>,
        seat: &Arc<SlotSeat>,
        members: &MemberView,
        now: ClockTime,
    ) {
        let due = {
            let mut state = seat.lock();
            let gone = state
                .witnessed
                .clone()
                .filter(|life| state.witness.has_ledger() && !is_alive(members, life));
            state.holder_gone(gone.is_some(), now) >= Some(self.parts.times.takeover_after)
        };
        if due {
            self.take_over(&seat.slot).await;
        }
    }

    /// Divides `rate` among the held slots for reports of settled use that
    /// no other write takes along.
    pub fn pace_reports(&self, rate: PlatformRate) {
        let now = clock::now();
        let seats = self.seats();
        let held: Vec<_> = seats.iter().filter(|seat| seat.is_held()).collect();
        let rate = rate.fraction(1, held.len() as u64);
        for seat in held {
            if let Some(holder) = &mut seat.lock().holder {
                holder.pace_reports(Some(rate), now);
            }
        }
    }

    /// Hands every held slot to another router; `true` once none is held and
    /// every budget of a former tenure is reported.
    ///
    /// Slots whose witness takes over are handed with their ledger. Call it
    /// again until it returns `true` or time is up.
    pub fn leave(self: &Arc<Self>) -> bool {
        let members = (self.parts.members)();
        let now = clock::now();
        let mut is_done = true;
        for seat in self.seats().iter() {
            if !seat.is_held() {
                is_done &= !seat.owes_reports();
                continue;
            }
            is_done = false;
            let (row, silent) = {
                let state = seat.lock();
                let Some(holder) = state.present() else {
                    continue;
                };
                (holder.row().clone(), holder.is_witness_silent())
            };
            let witness = row.witness.as_ref();
            if !silent && witness.is_some_and(|life| is_routable(&members, life)) {
                self.tell(seat, HolderEvent::Leave);
            } else {
                let next = self
                    .heir(&members, &seat.slot)
                    .or_else(|| self.choose_witness(&members, &seat.slot, witness));
                if next.is_some() {
                    self.change_witness(seat, next, now);
                }
            }
        }
        is_done
    }
}

fn life_of(member: &MemberRecord) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: member.instance.clone(),
        incarnation: member.incarnation,
    }
}

fn is_routable(members: &MemberView, life: &InstanceIncarnation) -> bool {
    members
        .find(&life.instance)
        .is_some_and(|member| member.incarnation == life.incarnation && member.is_routable())
}
