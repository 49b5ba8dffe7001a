//! Periodic tasks: probes, suspicions, gossip, sync and forgetting members.

use std::sync::Arc;

use super::MemberEffect;
use super::Membership;
use super::RumourOrigin;
use super::send::SendTarget;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::InstanceId;
use crate::instance::allowance::SendPriority;
use crate::instance::message::GossipRumour;
use crate::instance::message::MessageBody;
use crate::instance::probe::PendingProbe;
use crate::instance::probe::ProbeOrigin;
use crate::instance::record::MemberRecord;
use crate::instance::record::Reachability;

impl Membership {
    /// Runs the tasks that are due; call it about every 100 ms.
    pub fn tick(&mut self, now: ClockTime) -> Vec<MemberEffect> {
        if !self.superseded {
            self.detect_pause(now);
            self.check_probes(now);
            self.check_suspicions(now);
            self.run_due_tasks(now);
            self.forget(now);
        }
        std::mem::take(&mut self.effects)
    }

    /// Schedules the first run of probes, gossip and sync at a random time within
    /// their intervals.
    pub(super) fn stagger_first_tasks(&mut self, now: ClockTime) {
        self.times.probe = now + self.random_part_of(self.settings.probe_interval);
        self.times.gossip = now + self.random_part_of(self.settings.gossip_interval);
        self.times.sync = now + self.random_part_of(self.settings.sync_interval);
    }

    fn random_part_of(&mut self, span: ClockSpan) -> ClockSpan {
        ClockSpan::from_millis(self.random.u64(0..=span.as_millis()))
    }

    /// Drops pending probes and restarts suspicions after a pause of this process:
    /// answers and refutations may have been missed because it did not read them.
    fn detect_pause(&mut self, now: ClockTime) {
        if now.since(self.times.last_tick) >= self.settings.pause_span {
            self.counts.pauses += 1;
            self.probes.clear();
            self.directory.restart_suspicions(now);
        }
        self.times.last_tick = now;
    }

    fn run_due_tasks(&mut self, now: ClockTime) {
        if now >= self.times.probe {
            self.times.probe = now + self.settings.probe_interval;
            self.probe_next(now);
        }
        if now >= self.times.reconnect {
            self.times.reconnect = now + self.settings.reconnect_interval;
            self.reconnect(now);
        }
        if now >= self.times.sync {
            self.times.sync = now + self.settings.sync_interval;
            self.sync_next(now);
        }
        if now >= self.times.gossip {
            self.times.gossip = now + self.settings.gossip_interval;
            self.gossip(now);
        }
    }

    fn gossip(&mut self, now: ClockTime) {
        for target in self.pick_targets(self.settings.gossip_fanout) {
            if self.queue.is_empty() {
                return;
            }
            // A leave announcement must reach every instance within 3 s, even
            // while many other rumours are queued.
            let priority = if self.queue.has_leave_announcement() {
                SendPriority::Sync
            } else {
                SendPriority::Gossip
            };
            self.send(&target, MessageBody::News, Vec::new(), priority, now);
        }
    }

    fn probe_next(&mut self, now: ClockTime) {
        let Some(record) = self.next_probe_target() else {
            return;
        };
        let origin = ProbeOrigin::Own { indirect: false };
        let instance = record.instance.clone();
        let number = self
            .probes
            .register(instance.clone(), record.incarnation, origin, now);
        let body = MessageBody::Ping {
            probe: number,
            target: instance.clone(),
        };
        let suspected = record.reachability == Reachability::Suspected;
        let suspicion = suspected.then(|| GossipRumour::Member((*record).clone()));
        let first = suspicion.into_iter().collect();
        let target = SendTarget::of(&record);
        if !self.send(&target, body, first, SendPriority::Urgent, now) {
            self.probes.complete(number, &instance, record.incarnation);
        }
    }

    fn next_probe_target(&mut self) -> Option<Arc<MemberRecord>> {
        let percent = if self.cross_zone_unanswered {
            self.settings.degraded_cross_zone_percent
        } else {
            self.settings.cross_zone_percent
        };
        let is_cross_zone = self.random.u8(0..100) < percent;
        let instance = self
            .next_in_round(is_cross_zone)
            .or_else(|| self.next_in_round(!is_cross_zone))?;
        let entry = self.directory.find(&instance)?;
        Some(Arc::clone(&entry.record))
    }

    fn next_in_round(&mut self, is_cross_zone: bool) -> Option<InstanceId> {
        let directory = &self.directory;
        let random = &mut self.random;
        let zone = &self.own.zone;
        let round = if is_cross_zone {
            &mut self.probes.cross_zone
        } else {
            &mut self.probes.in_zone
        };
        let wanted = |record: &MemberRecord| {
            record.reachability != Reachability::Unreachable
                && (record.zone != *zone) == is_cross_zone
        };
        let is_eligible = |instance: &InstanceId| {
            let entry = directory.find(instance);
            entry.is_some_and(|entry| wanted(&entry.record))
        };
        let refill = || {
            let records = directory.entries().iter().map(|entry| &entry.record);
            let wanted = records.filter(|record| wanted(record));
            let mut instances: Vec<_> = wanted.map(|record| record.instance.clone()).collect();
            random.shuffle(&mut instances);
            instances
        };
        round.next(is_eligible, refill)
    }

    fn check_probes(&mut self, now: ClockTime) {
        let timeout = self.settings.probe_timeout;
        let interval = self.settings.probe_interval;
        let expired = self.probes.take_expired(|sent| now.since(sent) >= interval);
        let timed_out = self
            .probes
            .take_timed_out(|sent| now.since(sent) >= timeout);
        for probe in timed_out {
            self.probe_indirectly(&probe, now);
        }
        for probe in expired {
            if matches!(probe.origin, ProbeOrigin::Own { .. }) {
                self.suspect(&probe, now);
            }
        }
    }

    fn probe_indirectly(&mut self, probe: &PendingProbe, now: ClockTime) {
        let Some(entry) = self.directory.find(&probe.target) else {
            return;
        };
        let address = entry.record.gossip_address;
        let count = self.settings.indirect_probes;
        // One more than needed, as the unresponsive member itself may be among them.
        let mut helpers = self.pick_targets(count + 1);
        helpers.retain(|helper| helper.address != address);
        helpers.truncate(count);
        for helper in helpers {
            let body = MessageBody::PingRequest {
                probe: probe.number,
                target: probe.target.clone(),
                address,
            };
            self.send(&helper, body, Vec::new(), SendPriority::Urgent, now);
        }
    }

    /// Marks the probed incarnation as suspected if it is still the known one and
    /// reachable.
    fn suspect(&mut self, probe: &PendingProbe, now: ClockTime) {
        let Some(entry) = self.directory.find(&probe.target) else {
            return;
        };
        let same_incarnation = entry.record.incarnation == probe.incarnation;
        if same_incarnation && entry.record.reachability == Reachability::Reachable {
            let record = Arc::clone(&entry.record);
            self.cross_zone_unanswered |= record.zone != self.own.zone;
            self.set_reachability(&record, Reachability::Suspected, now);
        }
    }

    fn check_suspicions(&mut self, now: ClockTime) {
        let span = self.settings.suspicion_span_at(self.fleet_size());
        let entries = self.directory.entries().iter();
        let timed_out = entries.filter(|entry| {
            let suspected = entry.record.reachability == Reachability::Suspected;
            suspected && now.since(entry.reachability_changed_at) >= span
        });
        let records: Vec<_> = timed_out.map(|entry| Arc::clone(&entry.record)).collect();
        for record in records {
            self.set_reachability(&record, Reachability::Unreachable, now);
        }
    }

    fn set_reachability(
        &mut self,
        record: &MemberRecord,
        reachability: Reachability,
        now: ClockTime,
    ) {
        let record = MemberRecord {
            reachability,
            ..record.clone()
        };
        self.merge(&record, RumourOrigin::Gossip, now);
    }

    fn forget(&mut self, now: ClockTime) {
        let members_removed = self.directory.forget(&self.settings, now);
        let notes_removed = self.notes.expire(&self.settings, now);
        if members_removed || notes_removed {
            self.revision += 1;
        }
    }
}
