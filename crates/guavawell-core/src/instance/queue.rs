//! News waiting to be passed on, the least often sent first.

use crate::id::InstanceId;

/// What a queued piece of news is about; later news replaces earlier.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RumourTopic {
    /// An instance's standing.
    Member(InstanceId),
    /// A note.
    Note(Box<str>),
    /// The manifest version that an instance has in force.
    Manifest(InstanceId),
}

/// Order of kinds of news when room is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RumourClass {
    /// An instance leaves.
    Leaving,
    /// An instance's standing changed.
    Member,
    /// A note.
    Note,
    /// A manifest version in force.
    Manifest,
}

/// One queued piece of news.
#[derive(Clone, Debug)]
pub(super) struct QueuedRumour {
    pub(super) topic: RumourTopic,
    pub(super) class: RumourClass,
    /// Size of its encoding, in bytes.
    pub(super) bytes: usize,
    /// How often it was sent.
    pub(super) sends: u32,
}

/// The queue; at most one entry for each topic.
#[derive(Clone, Debug, Default)]
pub(super) struct RumourQueue {
    /// Sorted by class, then by times sent.
    rumours: Vec<QueuedRumour>,
}

impl RumourQueue {
    /// Queues news, in place of earlier news on the topic.
    pub(super) fn push(&mut self, rumour: QueuedRumour) {
        self.rumours.retain(|queued| queued.topic != rumour.topic);
        self.insert(rumour);
    }

    /// Whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.rumours.is_empty()
    }

    /// Whether a leaving mark waits; it is first in the order.
    pub(super) fn has_leave_announcement(&self) -> bool {
        let first = self.rumours.first();
        first.is_some_and(|queued| queued.class == RumourClass::Leaving)
    }

    /// How many pieces of news wait.
    pub(super) fn len(&self) -> usize {
        self.rumours.len()
    }

    /// Takes topics worth at most `room` bytes and counts them as sent.
    ///
    /// `limit` gives how often news of a class is sent before it is dropped;
    /// `fits` says whether the receiver wants the topic.
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
