//! Building messages within the limits of a datagram and of the send allowance.

use std::net::SocketAddr;

use super::MemberEffect;
use super::Membership;
use crate::clock::ClockTime;
use crate::id::ZoneId;
use crate::instance::allowance::SendPriority;
use crate::instance::directory::MemberEntry;
use crate::instance::message::GossipMessage;
use crate::instance::message::GossipRumour;
use crate::instance::message::MessageBody;
use crate::instance::note::NoteScope;
use crate::instance::queue::RumourClass;
use crate::instance::queue::RumourTopic;
use crate::instance::record::MemberRecord;
use crate::instance::record::Reachability;
use crate::instance::settings::DATAGRAM_OVERHEAD_BYTES;
use crate::instance::settings::MAX_MESSAGE_BYTES;

/// Bytes by which the encoded length of a rumour list may exceed that of an empty one.
const RUMOUR_COUNT_EXTRA_BYTES: usize = 1;

/// The receiver of a message.
#[derive(Clone, Debug)]
pub(super) struct SendTarget {
    pub(super) address: SocketAddr,
    /// Its zone, if known.
    pub(super) zone: Option<ZoneId>,
}

impl SendTarget {
    pub(super) fn of(record: &MemberRecord) -> Self {
        Self {
            address: record.gossip_address,
            zone: Some(record.zone.clone()),
        }
    }

    pub(super) fn at(address: SocketAddr) -> Self {
        Self {
            address,
            zone: None,
        }
    }
}

impl Membership {
    /// Sends `body` with the rumours `first` and as many queued ones as fit; false
    /// if the allowance does not suffice.
    pub(super) fn send(
        &mut self,
        target: &SendTarget,
        body: MessageBody,
        first: Vec<GossipRumour>,
        priority: SendPriority,
        now: ClockTime,
    ) -> bool {
        let mut message = GossipMessage {
            sender: self.own.clone(),
            body,
            rumours: first,
        };
        let base = message.encoded_len();
        let available = self.allowance.available(priority, now);
        if base + DATAGRAM_OVERHEAD_BYTES > available {
            self.counts.withheld += 1;
            return false;
        }
        let limit = MAX_MESSAGE_BYTES.min(available - DATAGRAM_OVERHEAD_BYTES);
        let room = limit.saturating_sub(base + RUMOUR_COUNT_EXTRA_BYTES);
        self.pack(&mut message, target, room);
        self.emit(target.address, message, limit);
        true
    }

    /// Drops rumours from the end that exceed `limit`, deducts the message from
    /// the allowance and passes it to the driver.
    fn emit(&mut self, to: SocketAddr, mut message: GossipMessage, limit: usize) {
        let mut bytes = message.encoded_len();
        while bytes > limit && message.rumours.pop().is_some() {
            bytes = message.encoded_len();
        }
        let bytes = bytes + DATAGRAM_OVERHEAD_BYTES;
        self.allowance.take(bytes);
        self.counts.bytes_sent += u64::try_from(bytes).unwrap_or(u64::MAX);
        let message = Box::new(message);
        self.effects.push(MemberEffect::Send { to, message });
    }

    /// Deducts a datagram of load reports with `payload` bytes, which is sent
    /// outside gossip; false if the rest of the allowance is reserved for gossip.
    #[must_use]
    pub fn charge_report(&mut self, payload: usize, now: ClockTime) -> bool {
        let bytes = payload + DATAGRAM_OVERHEAD_BYTES;
        let allowed = bytes <= self.allowance.available(SendPriority::Report, now);
        if !allowed {
            self.counts.reports_withheld += 1;
            return false;
        }
        self.allowance.take(bytes);
        self.counts.bytes_sent += u64::try_from(bytes).unwrap_or(u64::MAX);
        true
    }

    fn pack(&mut self, message: &mut GossipMessage, target: &SendTarget, room: usize) {
        let member_sends = self.settings.member_sends_at(self.fleet_size());
        let leave_sends = self.settings.leave_sends_at(self.fleet_size());
        let note_sends = self.settings.note_sends;
        let manifest_sends = self.settings.manifest_sends_at(self.fleet_size());
        let limit = |class| match class {
            RumourClass::Leaving => leave_sends,
            RumourClass::Member => member_sends,
            RumourClass::Note => note_sends,
            RumourClass::Manifest => manifest_sends,
        };
        let same_zone = target.zone.as_ref() == Some(&self.own.zone);
        let notes = &self.notes;
        let fits = |topic: &RumourTopic| match topic {
            RumourTopic::Note(key) => {
                let note = notes.find(key);
                same_zone || note.is_some_and(|note| !matches!(note.scope, NoteScope::Zone(_)))
            }
            RumourTopic::Member(_) | RumourTopic::Manifest(_) => true,
        };
        let topics = self.queue.pack(room, limit, fits);
        let rumours = topics.iter().filter_map(|topic| self.rumour(topic));
        message.rumours.extend(rumours);
    }

    /// Returns the current content of a topic.
    pub(super) fn rumour(&self, topic: &RumourTopic) -> Option<GossipRumour> {
        match topic {
            RumourTopic::Member(instance) if *instance == self.own.instance => {
                Some(GossipRumour::Member(self.own.clone()))
            }
            RumourTopic::Member(instance) => {
                let entry = self.directory.find(instance)?;
                Some(GossipRumour::Member((*entry.record).clone()))
            }
            RumourTopic::Note(key) => {
                let note = self.notes.find(key)?;
                Some(GossipRumour::Note((**note).clone()))
            }
            RumourTopic::Manifest(instance) => {
                let known = self.directory.find(instance);
                let record = known.map_or(&self.own, |entry| &entry.record);
                let matches = record.instance == *instance;
                matches.then(|| GossipRumour::Manifest {
                    instance: instance.clone(),
                    incarnation: record.incarnation,
                    manifest: record.manifest,
                })
            }
        }
    }

    /// Picks at most `count` different members that are not unreachable, mostly of
    /// this zone.
    pub(super) fn pick_targets(&mut self, count: usize) -> Vec<SendTarget> {
        let zone = &self.own.zone;
        let is_eligible =
            |entry: &&MemberEntry| entry.record.reachability != Reachability::Unreachable;
        let entries = self.directory.entries().iter().filter(is_eligible);
        let (mut in_zone, mut cross_zone): (Vec<_>, Vec<_>) =
            entries.partition(|entry| entry.record.zone == *zone);
        let mut targets = Vec::new();
        while targets.len() < count && !(in_zone.is_empty() && cross_zone.is_empty()) {
            let is_cross_zone = self.random.u8(0..100) < self.settings.cross_zone_percent;
            let pool = if (is_cross_zone && !cross_zone.is_empty()) || in_zone.is_empty() {
                &mut cross_zone
            } else {
                &mut in_zone
            };
            let index = self.random.usize(0..pool.len());
            targets.push(SendTarget::of(&pool.swap_remove(index).record));
        }
        targets
    }

    /// Sends this instance's leave announcement to many members at once.
    pub(super) fn send_leave_announcement(&mut self, now: ClockTime) {
        for target in self.pick_targets(self.settings.leave_fanout) {
            self.send(
                &target,
                MessageBody::News,
                Vec::new(),
                SendPriority::Urgent,
                now,
            );
        }
    }
}
