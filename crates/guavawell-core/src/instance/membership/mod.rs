//! The membership's state machine: events and a time in, effects out.
//!
//! It sends nothing and reads no clock; datagrams and timers are the fleet's.

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

/// What the driver carries out, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEffect {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: Box<GossipMessage>,
    },
    /// A member's standing changed, for the event log.
    Changed {
        /// The member.
        instance: InstanceId,
        /// Its life.
        incarnation: IncarnationId,
        /// Whether it answers.
        reachability: Reachability,
        /// Whether it has announced that it leaves.
        leaving: bool,
    },
    /// A later life of this instance exists: take no more traffic, and end or
    /// start again with an incarnation above `by`.
    Superseded {
        /// The later life.
        by: IncarnationId,
    },
}

/// One entry of the platform's lagging list of instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// The instance.
    pub instance: InstanceId,
    /// Where it should receive gossip.
    pub gossip_address: SocketAddr,
    /// Whether the platform is ending it.
    pub terminating: bool,
}

/// Counters and sizes, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipCounts {
    /// Suspicions of this instance that it refuted.
    pub refutations: u64,
    /// Datagrams not sent because the allowance was used up.
    pub withheld: u64,
    /// The same, of load reports.
    pub reports_withheld: u64,
    /// Bytes given to the network, headers included.
    pub bytes_sent: u64,
    /// Notes that were not taken.
    pub notes_refused: u64,
    /// Pauses of this process that were noticed.
    pub pauses: u64,
    /// News waiting to be passed on.
    pub queued: usize,
    /// Forgotten lives that are remembered.
    pub tombstones: usize,
}

/// Times that a change learned from a comparison is still passed on.
const SENDS_AFTER_SYNC: u32 = 2;

/// How a piece of news came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RumourOrigin {
    /// It was passed on, or noticed here.
    Gossip,
    /// It came on a page of a comparison.
    Sync,
}

/// When each periodic task is due.
#[derive(Clone, Debug)]
struct TaskTimes {
    probe: ClockTime,
    gossip: ClockTime,
    sync: ClockTime,
    reconnect: ClockTime,
    last_tick: ClockTime,
}

/// The membership as one instance knows it.
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
    /// Peer with which the last comparison left a difference.
    sync_peer: Option<SocketAddr>,
    times: TaskTimes,
    /// The newest version that was passed on.
    newest_manifest: ManifestVersion,
    /// The last probe into another zone was left unanswered.
    cross_zone_unanswered: bool,
    superseded: bool,
    counts: GossipCounts,
    revision: u64,
    effects: Vec<MemberEffect>,
}

impl Membership {
    /// A membership that knows only this instance.
    ///
    /// `own` is taken as reachable and not leaving. `seed` drives every random
    /// choice; the fleet draws it, tests fix it.
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

    /// Sets fixed gossip addresses, tried while no member is known there.
    pub fn set_seeds(&mut self, addresses: &[SocketAddr]) {
        let own = self.own.gossip_address;
        let others = addresses.iter().filter(|address| **address != own);
        self.seeds = others.copied().collect();
    }

    /// Takes the platform's list as candidates to contact.
    ///
    /// An entry that is absent removes nobody; it only lets a member that is
    /// unreachable for long be forgotten.
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

    /// Announces that this instance leaves; it is never taken back in this life.
    pub fn leave(&mut self, now: ClockTime) -> Vec<MemberEffect> {
        if !self.own.leaving {
            self.own.leaving = true;
            self.revision += 1;
            self.queue_own();
            self.send_leave_announcement(now);
        }
        std::mem::take(&mut self.effects)
    }

    /// Notes the manifest version that this instance has in force; it never falls.
    pub fn set_manifest(&mut self, manifest: ManifestVersion) {
        if manifest > self.own.manifest {
            self.own.manifest = manifest;
            self.revision += 1;
            self.queue_manifest(self.own.instance.clone(), manifest);
        }
    }

    /// Publishes a note.
    ///
    /// # Errors
    ///
    /// Returns an error if the note is too large, of another zone, or one too many.
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

    /// The fleet as it is known now.
    #[must_use]
    pub fn view(&self) -> MemberView {
        let members = self.directory.entries().iter();
        let others = members.map(|entry| Arc::clone(&entry.record));
        MemberView::new(&self.own, others, self.notes.all().map(Arc::clone))
    }

    /// Rises with every change of [`Self::view`].
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Counters and sizes.
    #[must_use]
    pub fn counts(&self) -> GossipCounts {
        GossipCounts {
            queued: self.queue.len(),
            tombstones: self.directory.tombstone_count(),
            ..self.counts
        }
    }

    /// Known members with this instance.
    fn fleet_size(&self) -> usize {
        self.directory.entries().len() + 1
    }

    /// Takes a record in and passes it on if it is news.
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
            // Whoever is new in the fleet learns all members by comparison;
            // passing them on would only repeat what the others know.
            MergeOutcome::Added if origin == RumourOrigin::Sync => {
                self.emit_change(&record.instance);
            }
            MergeOutcome::Status | MergeOutcome::Added => {
                self.queue_change(&record.instance, origin);
            }
        }
    }

    /// Defends this instance against what others say of it.
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

    /// Records that a member's standing changed, and passes it on.
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

    /// Passes on that an instance has a version in force, if that is news of
    /// the version; who else has it shows in the messages that it sends.
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
