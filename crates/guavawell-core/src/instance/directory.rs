//! The members that an instance knows, and tombstones of forgotten ones.

use std::net::SocketAddr;
use std::sync::Arc;

use super::owner::FNV_OFFSET;
use super::owner::fnv1a;
use super::owner::mix;
use super::record::MemberRecord;
use super::record::Reachability;
use super::settings::MembershipSettings;
use crate::clock::ClockTime;
use crate::id::IncarnationId;
use crate::id::InstanceId;

/// Number of buckets into which a sync divides the members.
pub(super) const BUCKETS: usize = 64;

/// One known member.
#[derive(Clone, Debug)]
pub(super) struct MemberEntry {
    pub(super) record: Arc<MemberRecord>,
    /// When its reachability last changed in this directory.
    pub(super) reachability_changed_at: ClockTime,
    /// Whether the platform's latest list of instances contains it.
    pub(super) listed: bool,
}

/// What is kept of a forgotten member, so that peers that still have its record
/// do not add it again.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    hash: u64,
    incarnation: IncarnationId,
    refutation: u32,
    created_at: ClockTime,
}

/// What merging a record changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MergeOutcome {
    /// Nothing. A record that has a tombstone is ignored.
    Unchanged,
    /// Only the manifest version.
    Manifest,
    /// The member's incarnation, reachability, refutation count or leaving flag.
    Status,
    /// The member is new.
    Added,
}

/// The members other than this instance, sorted by id.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberDirectory {
    entries: Vec<MemberEntry>,
    /// Sorted by hash.
    tombstones: Vec<Tombstone>,
    list_received: bool,
}

impl MemberDirectory {
    /// Returns the members, sorted by id.
    pub(super) fn entries(&self) -> &[MemberEntry] {
        &self.entries
    }

    /// Returns the number of tombstones.
    pub(super) fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// Returns the member, if it is known.
    pub(super) fn find(&self, instance: &InstanceId) -> Option<&MemberEntry> {
        let index = self.position(instance).ok()?;
        Some(&self.entries[index])
    }

    /// Merges a record; adds the member unless it has a tombstone.
    pub(super) fn merge(&mut self, record: &MemberRecord, now: ClockTime) -> MergeOutcome {
        let index = match self.position(&record.instance) {
            Ok(index) => index,
            Err(_) if self.has_tombstone(record) => return MergeOutcome::Unchanged,
            Err(index) => {
                self.insert(index, record, now);
                return MergeOutcome::Added;
            }
        };
        let entry = &mut self.entries[index];
        if entry.record.is_outdated_by(record) {
            if entry.record.reachability != record.reachability {
                entry.reachability_changed_at = now;
            }
            Arc::make_mut(&mut entry.record).merge(record);
            return MergeOutcome::Status;
        }
        let same_incarnation = entry.record.incarnation == record.incarnation;
        if same_incarnation && record.manifest > entry.record.manifest {
            Arc::make_mut(&mut entry.record).manifest = record.manifest;
            return MergeOutcome::Manifest;
        }
        MergeOutcome::Unchanged
    }

    /// Returns the record that contradicts a sender's own: one in which it is not
    /// reachable, or one of a later incarnation. A tombstone counts as unreachable.
    pub(super) fn contradicting_record(&self, sender: &MemberRecord) -> Option<MemberRecord> {
        if let Some(entry) = self.find(&sender.instance) {
            let not_reachable = entry.record.reachability != Reachability::Reachable;
            let outdated = entry.record.incarnation > sender.incarnation;
            return (not_reachable || outdated).then(|| (*entry.record).clone());
        }
        let tombstone = self.tombstone(sender)?;
        Some(MemberRecord {
            incarnation: tombstone.incarnation,
            refutation: tombstone.refutation,
            reachability: Reachability::Unreachable,
            ..sender.clone()
        })
    }

    /// Marks the members that the platform's list contains.
    pub(super) fn mark_listed(&mut self, is_listed: impl Fn(&InstanceId) -> bool) {
        self.list_received = true;
        for entry in &mut self.entries {
            entry.listed = is_listed(&entry.record.instance);
        }
    }

    /// Restarts the time to refute for all suspected members.
    pub(super) fn restart_suspicions(&mut self, now: ClockTime) {
        for entry in &mut self.entries {
            if entry.record.reachability == Reachability::Suspected {
                entry.reachability_changed_at = now;
            }
        }
    }

    /// Removes members that were unreachable for too long, or exceed the limit
    /// of unreachable members; true if any was removed.
    pub(super) fn forget(&mut self, settings: &MembershipSettings, now: ClockTime) -> bool {
        let before = self.entries.len();
        let mut forgotten = self.expired(settings, now);
        forgotten.extend(self.surplus(settings, forgotten.len()));
        for instance in forgotten {
            self.replace_with_tombstone(&instance, settings.max_tombstones, now);
        }
        before != self.entries.len()
    }

    /// Returns one hash for each bucket, over `own` and the members.
    ///
    /// Unreachable members are left out: instances forget them at different
    /// times, and these differences need no sync.
    pub(super) fn digest(&self, own: &MemberRecord) -> Vec<u32> {
        let mut buckets = vec![0; BUCKETS];
        let members = self.entries.iter().map(|entry| &*entry.record);
        for record in members.chain([own]) {
            if record.reachability != Reachability::Unreachable {
                buckets[bucket_of(&record.instance)] ^= status_hash(record);
            }
        }
        buckets
    }

    /// Returns the records of the members in a bucket.
    pub(super) fn bucket(&self, bucket: usize) -> impl Iterator<Item = &MemberRecord> {
        let records = self.entries.iter().map(|entry| &*entry.record);
        records.filter(move |record| bucket_of(&record.instance) == bucket)
    }

    /// Whether a member receives gossip at `address` and is not unreachable.
    pub(super) fn is_in_use(&self, address: SocketAddr) -> bool {
        self.entries.iter().any(|entry| {
            entry.record.gossip_address == address
                && entry.record.reachability != Reachability::Unreachable
        })
    }

    fn position(&self, instance: &InstanceId) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.record.instance.cmp(instance))
    }

    fn insert(&mut self, index: usize, record: &MemberRecord, now: ClockTime) {
        let entry = MemberEntry {
            record: Arc::new(record.clone()),
            reachability_changed_at: now,
            listed: false,
        };
        self.entries.insert(index, entry);
    }

    fn expired(&self, settings: &MembershipSettings, now: ClockTime) -> Vec<InstanceId> {
        let is_expired = |entry: &&MemberEntry| {
            let delisted = self.list_received && !entry.listed;
            let span = if delisted {
                settings.forget_delisted_span
            } else {
                settings.forget_listed_span
            };
            entry.record.reachability == Reachability::Unreachable
                && now.since(entry.reachability_changed_at) >= span
        };
        let expired = self.entries.iter().filter(is_expired);
        expired.map(|entry| entry.record.instance.clone()).collect()
    }

    fn surplus(&self, settings: &MembershipSettings, already_forgotten: usize) -> Vec<InstanceId> {
        let unreachable =
            |entry: &&MemberEntry| entry.record.reachability == Reachability::Unreachable;
        let mut kept: Vec<_> = self.entries.iter().filter(unreachable).collect();
        let limit = settings.max_unreachable + already_forgotten;
        if kept.len() <= limit {
            return Vec::new();
        }
        kept.sort_by_key(|entry| entry.reachability_changed_at);
        let surplus = kept.len() - limit;
        let oldest = kept.into_iter().take(surplus);
        oldest.map(|entry| entry.record.instance.clone()).collect()
    }

    fn replace_with_tombstone(
        &mut self,
        instance: &InstanceId,
        max_tombstones: usize,
        now: ClockTime,
    ) {
        let Ok(index) = self.position(instance) else {
            return;
        };
        let entry = self.entries.remove(index);
        let tombstone = Tombstone {
            hash: instance_hash(instance),
            incarnation: entry.record.incarnation,
            refutation: entry.record.refutation,
            created_at: now,
        };
        self.tombstones.retain(|old| old.hash != tombstone.hash);
        let index = self
            .tombstones
            .partition_point(|old| old.hash < tombstone.hash);
        self.tombstones.insert(index, tombstone);
        if self.tombstones.len() > max_tombstones {
            self.drop_oldest_tombstone();
        }
    }

    fn drop_oldest_tombstone(&mut self) {
        let ages = self.tombstones.iter().enumerate();
        if let Some((index, _)) = ages.min_by_key(|(_, tombstone)| tombstone.created_at) {
            self.tombstones.remove(index);
        }
    }

    fn has_tombstone(&self, record: &MemberRecord) -> bool {
        self.tombstone(record).is_some()
    }

    /// Returns the instance's tombstone unless the record is newer, which means a
    /// later incarnation or a later refutation of the same one.
    fn tombstone(&self, record: &MemberRecord) -> Option<Tombstone> {
        let hash = instance_hash(&record.instance);
        let index = self
            .tombstones
            .binary_search_by_key(&hash, |tombstone| tombstone.hash)
            .ok()?;
        let tombstone = self.tombstones[index];
        let version = (record.incarnation, record.refutation);
        (version <= (tombstone.incarnation, tombstone.refutation)).then_some(tombstone)
    }
}

fn instance_hash(instance: &InstanceId) -> u64 {
    mix(fnv1a(FNV_OFFSET, instance.as_str().as_bytes()))
}

#[allow(clippy::cast_possible_truncation)] // the remainder is below BUCKETS
fn bucket_of(instance: &InstanceId) -> usize {
    (instance_hash(instance) % BUCKETS as u64) as usize
}

#[allow(clippy::cast_possible_truncation)] // all bits of a mixed hash are equally good
fn status_hash(record: &MemberRecord) -> u32 {
    let seed = instance_hash(&record.instance);
    let incarnation = fnv1a(seed, &record.incarnation.get().to_be_bytes());
    let refutation = fnv1a(incarnation, &record.refutation.to_be_bytes());
    let flags = [record.reachability as u8, u8::from(record.leaving)];
    mix(fnv1a(refutation, &flags)) as u32
}
