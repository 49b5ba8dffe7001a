//! Queue of rumours to pass on, ordered by class and number of sends.

use crate::id::InstanceId;

/// The subject of a queued rumour; a newer rumour replaces an older one on the
/// same topic.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RumourTopic {
    /// An instance's record.
    Member(InstanceId),
    /// The note under a key.
    Note(Box<str>),
    /// The manifest version that an instance has applied.
    Manifest(InstanceId),
}

/// Class of a rumour; an earlier class goes first when a datagram has little room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RumourClass {
    /// A leave announcement.
    Leaving,
    /// Another change of an instance's record.
    Member,
    /// A note.
    Note,
    /// An applied manifest version.
    Manifest,
}

/// A queued rumour; its content is looked up when it is sent.
#[derive(Clone, Debug)]
pub(super) struct QueuedRumour {
    pub(super) topic: RumourTopic,
    pub(super) class: RumourClass,
    /// Size of its encoding when it was queued, in bytes.
    pub(super) bytes: usize,
    /// How often it has been sent.
    pub(super) sends: u32,
}

/// The queue, with at most one entry for each topic.
#[derive(Clone, Debug, Default)]
pub(super) struct RumourQueue {
    /// Sorted by class, then by number of sends.
    rumours: Vec<QueuedRumour>,
}

impl RumourQueue {
    /// Queues a rumour, replacing any on the same topic.
    pub(super) fn push(&mut self, rumour: QueuedRumour) {
        self.rumours.retain(|queued| queued.topic != rumour.topic);
        self.insert(rumour);
    }

    /// Whether the queue is empty.
    pub(super) fn is_empty(&self) -> bool {
        self.rumours.is_empty()
    }

    /// Whether a leave announcement is queued; these are sorted first.
    pub(super) fn has_leave_announcement(&self) -> bool {
        let first = self.rumours.first();
        first.is_some_and(|queued| queued.class == RumourClass::Leaving)
    }

    /// Returns the number of queued rumours.
    pub(super) fn len(&self) -> usize {
        self.rumours.len()
    }

    /// Picks topics that fit in `room` bytes and counts them as sent.
    ///
    /// `limit` gives how often rumours of a class are sent before they are
    /// dropped; `fits` says whether a topic may be sent to the receiver.
    pub(super) fn pack(
        &mut self,
        mut room: usize,
        limit: impl Fn(RumourClass) -> u32,
        fits: impl Fn(&RumourTopic) -> bool,
    ) -> Vec<RumourTopic> {
        let mut sent = Vec::new();
        self.rumours.retain(|queued| {
            let chosen = queued.bytes <= room && fits(&queued.topic);
            if chosen {
                room -= queued.bytes;
                sent.push(queued.clone());
            }
            !chosen
        });
        let topics = sent.iter().map(|rumour| rumour.topic.clone()).collect();
        for mut rumour in sent {
            rumour.sends += 1;
            if rumour.sends < limit(rumour.class) {
                self.insert(rumour);
            }
        }
        topics
    }

    fn insert(&mut self, rumour: QueuedRumour) {
        let rank = (rumour.class, rumour.sends);
        let index = self
            .rumours
            .partition_point(|queued| (queued.class, queued.sends) < rank);
        self.rumours.insert(index, rumour);
    }
}
