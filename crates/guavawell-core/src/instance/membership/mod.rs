//! State machine of gossip membership: takes events and the time, returns effects.
//!
//! It does no I/O and reads no clock; its driver sends the datagrams and calls
//! [`Membership::tick`].

mod receive;
mod send;
mod sync;
mod tick;

use std::net::SocketAddr;
use std::sync::Arc;

use super::allowance::SendAllowance;
use super::directory::MemberDirectory;
use super::directory::MergeOutcome;
use super::message::GossipMessage;
use super::message::GossipRumour;
use super::note::GossipNote;
use super::note::NoteError;
use super::note::NoteStore;
use super::probe::ProbeTracker;
use super::queue::QueuedRumour;
use super::queue::RumourClass;
use super::queue::RumourQueue;
use super::queue::RumourTopic;
use super::record::MemberRecord;
use super::record::Reachability;
use super::settings::MembershipSettings;
use super::view::MemberView;
use crate::clock::ClockTime;
use crate::id::IncarnationId;
use crate::id::InstanceId;
use crate::id::ManifestVersion;

/// An effect for the driver to carry out, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEffect {
    /// Send a datagram.
    Send {
        /// The receiver's gossip address.
        to: SocketAddr,
        /// The message.
        message: Box<GossipMessage>,
    },
    /// A member was added or its status changed; goes to the event log.
    Changed {
        /// The member.
        instance: InstanceId,
        /// Its incarnation.
        incarnation: IncarnationId,
        /// Whether it answers probes.
        reachability: Reachability,
        /// Whether it has announced that it leaves.
        leaving: bool,
    },
    /// A higher incarnation of this instance exists: accept no more traffic, and
    /// exit or restart with an incarnation above `by`.
    Superseded {
        /// The higher incarnation.
        by: IncarnationId,
    },
}

/// One entry of the platform's list of instances, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// The instance.
    pub instance: InstanceId,
    /// Its expected gossip address.
    pub gossip_address: SocketAddr,
    /// Whether the platform is terminating it.
    pub terminating: bool,
}

/// Counters and sizes, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipCounts {
    /// Suspicions of this instance that it refuted.
    pub refutations: u64,
    /// Datagrams not sent because the allowance was used up.
    pub withheld: u64,
    /// Load reports not sent because the allowance was used up.
    pub reports_withheld: u64,
    /// Bytes of all datagrams sent, including headers.
    pub bytes_sent: u64,
    /// Received notes that were rejected.
    pub notes_refused: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
    /// Rumours queued to be passed on.
    pub queued: usize,
    /// Tombstones of forgotten members.
    pub tombstones: usize,
}

/// How often a change learned from a sync is passed on.
const SENDS_AFTER_SYNC: u32 = 2;

/// How a rumour was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RumourOrigin {
    /// By gossip, or detected by this instance.
    Gossip,
    /// By a sync.
    Sync,
}

/// When each periodic task is due, and when the last tick was.
#[derive(Clone, Debug)]
struct TaskTimes {
    probe: ClockTime,
    gossip: ClockTime,
    sync: ClockTime,
    reconnect: ClockTime,
    last_tick: ClockTime,
}

/// The gossip membership of one instance.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipSettings,
    own: MemberRecord,
    directory: MemberDirectory,
    notes: NoteStore,
    queue: RumourQueue,
    probes: ProbeTracker,
    allowance: SendAllowance,
    random: fastrand::Rng,
    candidates: Vec<ListedInstance>,
    seeds: Vec<SocketAddr>,
    /// Peer with which the next sync continues, as the last one left differences.
    sync_peer: Option<SocketAddr>,
    times: TaskTimes,
    /// The newest manifest version that was passed on.
    newest_manifest: ManifestVersion,
    /// A probe into another zone was not answered, and no other zone has
    /// answered one since.
    cross_zone_unanswered: bool,
    superseded: bool,
    counts: GossipCounts,
    revision: u64,
    effects: Vec<MemberEffect>,
}

impl Membership {
    /// Creates a membership that knows only this instance.
    ///
    /// `own` is set to reachable and not leaving. `seed` is the seed of the
    /// random number generator.
    #[must_use]
    pub fn start(
        settings: MembershipSettings,
        own: MemberRecord,
        seed: u64,
        now: ClockTime,
    ) -> Self {
        let allowance = SendAllowance::new(settings.bytes_per_second, settings.burst_bytes, now);
        let own = MemberRecord {
            reachability: Reachability::Reachable,
            leaving: false,
            ..own
        };
        let mut membership = Self {
            settings,
            own,
            directory: MemberDirectory::default(),
            notes: NoteStore::default(),
            queue: RumourQueue::default(),
            probes: ProbeTracker::default(),
            allowance,
            random: fastrand::Rng::with_seed(seed),
            candidates: Vec::new(),
            seeds: Vec::new(),
            sync_peer: None,
            times: TaskTimes {
                probe: now,
                gossip: now,
                sync: now,
                reconnect: now,
                last_tick: now,
            },
            newest_manifest: ManifestVersion::default(),
            cross_zone_unanswered: false,
            superseded: false,
            counts: GossipCounts::default(),
            revision: 1,
            effects: Vec::new(),
        };
        membership.stagger_first_tasks(now);
        membership.queue_own();
        membership
    }

    /// Sets fixed gossip addresses, which are contacted while no reachable or
    /// suspected member is known there.
    pub fn set_seeds(&mut self, addresses: &[SocketAddr]) {
        let own = self.own.gossip_address;
        let others = addresses.iter().filter(|address| **address != own);
        self.seeds = others.copied().collect();
    }

    /// Sets the platform's list of instances, whose unknown ones are contacted.
    ///
    /// A member that is missing from the list is not removed; it is only
    /// forgotten sooner once it is unreachable.
    pub fn set_listed(&mut self, listed: &[ListedInstance]) {
        let mut names: Vec<_> = listed.iter().map(|entry| &entry.instance).collect();
        names.sort_unstable();
        self.directory
            .mark_listed(|instance| names.binary_search(&instance).is_ok());
        let own = &self.own.instance;
        let candidates = listed
            .iter()
            .filter(|entry| entry.instance != *own && !entry.terminating);
        self.candidates = candidates.cloned().collect();
    }

    /// Announces that this instance leaves; this incarnation cannot undo it.
    pub fn leave(&mut self, now: ClockTime) -> Vec<MemberEffect> {
        if !self.own.leaving {
            self.own.leaving = true;
            self.revision += 1;
            self.queue_own();
            self.send_leave_announcement(now);
        }
        std::mem::take(&mut self.effects)
    }

    /// Sets the manifest version that this instance has applied; lower versions
    /// are ignored.
    pub fn set_manifest(&mut self, manifest: ManifestVersion) {
        if manifest > self.own.manifest {
            self.own.manifest = manifest;
            self.revision += 1;
            self.queue_manifest(self.own.instance.clone(), manifest);
        }
    }

    /// Stores a note and passes it on if it is new.
    ///
    /// # Errors
    ///
    /// Returns an error if the key or value is too large, the note is for another
    /// zone, or too many notes are stored.
    pub fn publish(&mut self, note: &GossipNote, now: ClockTime) -> Result<(), NoteError> {
        let is_new = self
            .notes
            .apply(note, &self.own.zone, &self.settings, now)?;
        if is_new {
            self.revision += 1;
            self.queue_note(note);
        }
        Ok(())
    }

    /// Returns a snapshot of the members and notes.
    #[must_use]
    pub fn view(&self) -> MemberView {
        let members = self.directory.entries().iter();
        let others = members.map(|entry| Arc::clone(&entry.record));
        MemberView::new(&self.own, others, self.notes.all().map(Arc::clone))
    }

    /// Returns a number that rises with every change of [`Self::view`].
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns counters and sizes.
    #[must_use]
    pub fn counts(&self) -> GossipCounts {
        GossipCounts {
            queued: self.queue.len(),
            tombstones: self.directory.tombstone_count(),
            ..self.counts
        }
    }

    /// Number of known members, including this instance.
    fn fleet_size(&self) -> usize {
        self.directory.entries().len() + 1
    }

    /// Merges a record and passes it on if it changed anything.
    fn merge(&mut self, record: &MemberRecord, origin: RumourOrigin, now: ClockTime) {
        if record.instance == self.own.instance {
            self.merge_own(record);
            return;
        }
        match self.directory.merge(record, now) {
            MergeOutcome::Unchanged => {}
            MergeOutcome::Manifest => {
                self.revision += 1;
                self.queue_manifest(record.instance.clone(), record.manifest);
            }
            // A new instance learns all members by sync. The others know them
            // already, so it does not pass them on.
            MergeOutcome::Added if origin == RumourOrigin::Sync => {
                self.emit_change(&record.instance);
            }
            MergeOutcome::Status | MergeOutcome::Added => {
                self.queue_change(&record.instance, origin);
            }
        }
    }

    /// Handles a record of this instance that came from another: a higher
    /// incarnation supersedes this one, and a suspicion of this one is refuted.
    fn merge_own(&mut self, record: &MemberRecord) {
        if record.incarnation > self.own.incarnation {
            self.superseded = true;
            let by = record.incarnation;
            self.effects.push(MemberEffect::Superseded { by });
            return;
        }
        let same_incarnation = record.incarnation == self.own.incarnation;
        let not_reachable = record.reachability != Reachability::Reachable;
        if same_incarnation && not_reachable && record.refutation >= self.own.refutation {
            self.own.refutation = record.refutation.saturating_add(1);
            self.counts.refutations += 1;
            self.revision += 1;
            self.queue_own();
        }
    }

    /// Reports a member's change as an effect and queues it to be passed on.
    fn queue_change(&mut self, instance: &InstanceId, origin: RumourOrigin) {
        let Some(record) = self.emit_change(instance) else {
            return;
        };
        let sends = match origin {
            RumourOrigin::Gossip => 0,
            RumourOrigin::Sync => {
                let limit = self.settings.member_sends_at(self.fleet_size());
                limit.saturating_sub(SENDS_AFTER_SYNC)
            }
        };
        self.queue_member(&record, sends);
    }

    fn emit_change(&mut self, instance: &InstanceId) -> Option<Arc<MemberRecord>> {
        let record = Arc::clone(&self.directory.find(instance)?.record);
        self.revision += 1;
        self.effects.push(MemberEffect::Changed {
            instance: record.instance.clone(),
            incarnation: record.incarnation,
            reachability: record.reachability,
            leaving: record.leaving,
        });
        Some(record)
    }

    fn queue_own(&mut self) {
        let own = self.own.clone();
        self.queue_member(&own, 0);
    }

    fn queue_member(&mut self, record: &MemberRecord, sends: u32) {
        let class = if record.leaving && record.reachability == Reachability::Reachable {
            RumourClass::Leaving
        } else {
            RumourClass::Member
        };
        self.queue.push(QueuedRumour {
            topic: RumourTopic::Member(record.instance.clone()),
            class,
            bytes: GossipRumour::Member(record.clone()).encoded_len(),
            sends,
        });
    }

    fn queue_note(&mut self, note: &GossipNote) {
        self.queue.push(QueuedRumour {
            topic: RumourTopic::Note(note.key.clone()),
            class: RumourClass::Note,
            bytes: GossipRumour::Note(note.clone()).encoded_len(),
            sends: 0,
        });
    }

    /// Passes on that an instance has applied a manifest version, if it is newer
    /// than all versions passed on before. Further instances with the same version
    /// need no rumour: each message carries the version of its sender.
    fn queue_manifest(&mut self, instance: InstanceId, manifest: ManifestVersion) {
        if manifest <= self.newest_manifest {
            return;
        }
        self.newest_manifest = manifest;
        let topic = RumourTopic::Manifest(instance);
        let bytes = self.rumour(&topic).map_or(0, |rumour| rumour.encoded_len());
        self.queue.push(QueuedRumour {
            topic,
            class: RumourClass::Manifest,
            bytes,
            sends: 0,
        });
    }
}
