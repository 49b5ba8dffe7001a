//! The instances of the fleet as one of them knows them, and which of them may
//! use a limit that holds for all instances together.
//!
//! All instances rank each other alike for each server, and the first few share
//! the limit. No message is exchanged for it. Instances whose views of the fleet
//! differ may rank differently, so limits leave room for a few more senders.

use crate::id::BackendId;
use crate::id::InstanceId;
use crate::instance::rank;

/// The instances of the fleet, as one of them knows them.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// This instance.
    pub own: &'a InstanceId,
    /// All instances including this one; empty while they are unknown.
    pub members: &'a [InstanceId],
    /// Whether the view is recent, and this process has run for longer than the
    /// effects of a previous one last.
    pub is_recent: bool,
}

impl FleetView<'_> {
    /// This instance's rank among all instances for a server, from 0; `None` while
    /// they are unknown.
    #[must_use]
    pub fn rank_for(&self, server: &BackendId) -> Option<u32> {
        let own_rank = rank(self.members, self.own, server.as_str().as_bytes())?;
        u32::try_from(own_rank).ok()
    }

    /// This instance's rank for a server, if it is one of the instances that share a
    /// limit which `most` may share.
    #[must_use]
    pub fn sender_rank(&self, server: &BackendId, most: u32) -> Option<u32> {
        let senders = self.senders(most);
        self.rank_for(server).filter(|rank| *rank < senders)
    }

    /// Number of instances that share a limit which `most` may share.
    #[must_use]
    pub fn senders(&self, most: u32) -> u32 {
        let members = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        most.min(members)
    }
}
