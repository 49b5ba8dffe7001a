//! State sync between two instances: compares hashes, then exchanges what differs.

use std::net::SocketAddr;

use super::Membership;
use super::send::SendTarget;
use crate::clock::ClockTime;
use crate::instance::allowance::SendPriority;
use crate::instance::directory::BUCKETS;
use crate::instance::message::GossipMessage;
use crate::instance::message::GossipRumour;
use crate::instance::message::MessageBody;
use crate::instance::owner::FNV_OFFSET;
use crate::instance::owner::fnv1a;
use crate::instance::record::Reachability;
use crate::instance::settings::MAX_MESSAGE_BYTES;

/// Number of addresses contacted at once while all known members are unreachable.
const ISOLATED_RECONNECT_TARGETS: usize = 3;

/// Bytes of a page left free for the number of rumours and the message body.
const PAGE_RESERVED_BYTES: usize = 2 * BUCKETS;

impl Membership {
    /// Syncs with the peer that the last sync left differences with, or else with
    /// a random member.
    pub(super) fn sync_next(&mut self, now: ClockTime) {
        let target = match self.sync_peer.take() {
            Some(address) => Some(SendTarget::at(address)),
            None => self.pick_targets(1).pop(),
        };
        if let Some(target) = target {
            self.send_digest(&target, now);
        }
    }

    /// Schedules another sync soon, with the same peer or a random one: if many
    /// new instances stayed with one seed, all would wait for its send allowance.
    pub(super) fn retry_sync(&mut self, address: SocketAddr, now: ClockTime) {
        self.sync_peer = self.random.bool().then_some(address);
        self.times.sync = now + self.settings.sync_retry;
    }

    /// Contacts an unreachable member or an unknown instance from the list or the
    /// seeds, and several at once while all known members are unreachable.
    pub(super) fn reconnect(&mut self, now: ClockTime) {
        let mut addresses = self.reconnect_addresses();
        let entries = self.directory.entries().iter();
        let isolated = !entries
            .into_iter()
            .any(|entry| entry.record.reachability != Reachability::Unreachable);
        let count = if isolated {
            ISOLATED_RECONNECT_TARGETS
        } else {
            1
        };
        self.random.shuffle(&mut addresses);
        for address in addresses.into_iter().take(count) {
            self.send_digest(&SendTarget::at(address), now);
        }
    }

    fn reconnect_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.directory.entries().iter();
        let unreachable = entries.filter(|entry| {
            entry.record.reachability == Reachability::Unreachable && !entry.record.leaving
        });
        let mut addresses: Vec<_> = unreachable
            .map(|entry| entry.record.gossip_address)
            .collect();
        let unknown = self
            .candidates
            .iter()
            .filter(|candidate| self.directory.find(&candidate.instance).is_none());
        let listed = unknown.map(|candidate| candidate.gossip_address);
        let contactable = listed.chain(self.seeds.iter().copied());
        addresses.extend(contactable.filter(|address| !self.directory.is_in_use(*address)));
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    fn send_digest(&mut self, target: &SendTarget, now: ClockTime) {
        let body = MessageBody::Digest {
            buckets: self.directory.digest(&self.own),
            notes: self.notes_hash(),
        };
        self.send(target, body, Vec::new(), SendPriority::Sync, now);
    }

    /// Answers a digest with the local records of as many differing buckets as
    /// the pages hold.
    pub(super) fn handle_digest(
        &mut self,
        target: &SendTarget,
        buckets: &[u32],
        notes: u32,
        now: ClockTime,
    ) {
        if buckets.len() != BUCKETS {
            return;
        }
        let differing_buckets = self.differing_buckets(buckets);
        let notes_differ = notes != self.notes_hash();
        if differing_buckets.is_empty() && !notes_differ {
            return;
        }
        let answered_buckets = self.answered_buckets(&differing_buckets);
        let more = answered_buckets.len() < differing_buckets.len();
        let body = MessageBody::Difference {
            buckets: answered_buckets.clone(),
            notes: notes_differ,
            more,
        };
        if self.send(target, body, Vec::new(), SendPriority::Sync, now) {
            self.send_pages(target, &answered_buckets, notes_differ, now);
        }
    }

    /// Sends the records of `buckets`, and the fleet's notes if `notes`, in at
    /// most [`sync_pages`](crate::instance::MembershipSettings::sync_pages) pages.
    pub(super) fn send_pages(
        &mut self,
        target: &SendTarget,
        buckets: &[u8],
        notes: bool,
        now: ClockTime,
    ) {
        let mut rumours = Vec::new();
        for bucket in buckets {
            let records = self.directory.bucket(usize::from(*bucket));
            rumours.extend(records.cloned().map(GossipRumour::Member));
        }
        if notes {
            let notes = self.notes.fleet_notes();
            rumours.extend(notes.map(|note| GossipRumour::Note((**note).clone())));
        }
        let pages = self.paginate(rumours);
        for page in pages.into_iter().take(self.settings.sync_pages) {
            self.send(target, MessageBody::Page, page, SendPriority::Sync, now);
        }
    }

    fn paginate(&self, rumours: Vec<GossipRumour>) -> Vec<Vec<GossipRumour>> {
        let room = self.page_room();
        let mut pages = Vec::new();
        let mut page = Vec::new();
        let mut bytes = 0;
        for rumour in rumours {
            let size = rumour.encoded_len();
            if bytes + size > room && !page.is_empty() {
                pages.push(std::mem::take(&mut page));
                bytes = 0;
            }
            bytes += size;
            page.push(rumour);
        }
        if !page.is_empty() {
            pages.push(page);
        }
        pages
    }

    fn page_room(&self) -> usize {
        let empty = GossipMessage {
            sender: self.own.clone(),
            body: MessageBody::Page,
            rumours: Vec::new(),
        };
        MAX_MESSAGE_BYTES.saturating_sub(empty.encoded_len() + PAGE_RESERVED_BYTES)
    }

    /// Returns the buckets that differ, starting at a random one so that none is
    /// always left for the next sync.
    fn differing_buckets(&mut self, remote: &[u32]) -> Vec<u8> {
        let local = self.directory.digest(&self.own);
        let start = self.random.usize(0..BUCKETS);
        let order = (0..BUCKETS).map(|step| (start + step) % BUCKETS);
        let differing_buckets = order.filter(|bucket| local[*bucket] != remote[*bucket]);
        differing_buckets
            .filter_map(|bucket| u8::try_from(bucket).ok())
            .collect()
    }

    /// Returns the first of `differing_buckets` whose records fit in the pages,
    /// at least one.
    fn answered_buckets(&self, differing_buckets: &[u8]) -> Vec<u8> {
        let mut room = self.page_room() * self.settings.sync_pages;
        let mut answered_buckets = Vec::new();
        for bucket in differing_buckets {
            let records = self.directory.bucket(usize::from(*bucket));
            let bytes: usize = records
                .map(|record| GossipRumour::Member(record.clone()).encoded_len())
                .sum();
            if bytes > room && !answered_buckets.is_empty() {
                break;
            }
            room = room.saturating_sub(bytes);
            answered_buckets.push(*bucket);
        }
        answered_buckets
    }

    #[allow(clippy::cast_possible_truncation)] // half of the hash suffices
    fn notes_hash(&self) -> u32 {
        let notes = self.notes.fleet_notes();
        notes.fold(0, |hash, note| {
            let key = fnv1a(FNV_OFFSET, note.key.as_bytes());
            hash ^ fnv1a(key, &note.version.to_be_bytes()) as u32
        })
    }
}
