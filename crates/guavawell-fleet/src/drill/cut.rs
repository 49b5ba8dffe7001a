//! Which links are cut.

use std::net::SocketAddr;

use guavawell_core::id::InstanceId;

/// Which links of a router are cut; nothing by default.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkCuts {
    /// Instances that calls neither reach nor come from, sorted.
    peers: Vec<InstanceId>,
    /// Gossip addresses that datagrams neither reach nor come from, sorted.
    gossip: Vec<SocketAddr>,
    /// Whether the platform cannot be reached.
    platform: bool,
}

impl LinkCuts {
    /// Cuts an instance off, with its gossip address.
    #[must_use]
    pub fn without_peer(mut self, instance: &InstanceId, gossip: SocketAddr) -> Self {
        if let Err(place) = self.peers.binary_search(instance) {
            self.peers.insert(place, instance.clone());
        }
        if let Err(place) = self.gossip.binary_search(&gossip) {
            self.gossip.insert(place, gossip);
        }
        self
    }

    /// Cuts the platform off.
    #[must_use]
    pub const fn without_platform(mut self) -> Self {
        self.platform = true;
        self
    }

    /// Whether calls to and from an instance are cut.
    #[must_use]
    pub fn cuts_peer(&self, instance: &InstanceId) -> bool {
        self.peers.binary_search(instance).is_ok()
    }

    /// Whether datagrams to and from an address are cut.
    #[must_use]
    pub fn cuts_gossip(&self, address: SocketAddr) -> bool {
        self.gossip.binary_search(&address).is_ok()
    }

    /// Whether the platform is cut off.
    #[must_use]
    pub const fn cuts_platform(&self) -> bool {
        self.platform
    }

    /// Whether nothing is cut.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.peers.is_empty() && self.gossip.is_empty() && !self.platform
    }
}
