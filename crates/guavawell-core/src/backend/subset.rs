//! Which of its zone's servers a router sends to.
//!
//! Each server picks its routers by rendezvous hashing, so that every server
//! has routers whatever the number of them, and a router that comes or goes
//! moves only its own part. The first router in a server's order polls it.

use crate::id::BackendId;
use crate::id::InstanceId;
use crate::id::ZoneId;
use crate::instance::owners;
use crate::instance::rank;

/// The routers of a zone, as one of them sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterSubset {
    own: InstanceId,
    zone: ZoneId,
    /// Sorted.
    routers: Vec<InstanceId>,
    /// Servers of a target that a router should have.
    size: usize,
    /// Least number of routers of a server.
    least: usize,
}

impl RouterSubset {
    /// The subset of the router `own` among the routable `routers` of `zone`.
    ///
    /// `size` is the number of a target's servers that a router should have at
    /// least, `least` the number of routers that a server should have at least.
    #[must_use]
    pub fn new(
        own: InstanceId,
        zone: ZoneId,
        mut routers: Vec<InstanceId>,
        size: usize,
        least: usize,
    ) -> Self {
        routers.sort_unstable();
        routers.dedup();
        Self {
            own,
            zone,
            routers,
            size: size.max(1),
            least: least.max(1),
        }
    }

    /// The routers of the zone, sorted.
    #[must_use]
    pub fn routers(&self) -> &[InstanceId] {
        &self.routers
    }

    /// The zone.
    #[must_use]
    pub fn zone(&self) -> &ZoneId {
        &self.zone
    }

    /// How many routers each of a target's `servers` in the zone has.
    #[must_use]
    pub fn sharers(&self, servers: usize) -> usize {
        let routers = self.routers.len();
        let wanted = (self.size * routers).div_ceil(servers.max(1));
        wanted.max(self.least).min(routers)
    }

    /// The first `count` routers in a server's order; the first polls it.
    #[must_use]
    pub fn first(&self, server: &BackendId, count: usize) -> Vec<&InstanceId> {
        let mut ranked = owners(&self.routers, server.as_str().as_bytes());
        ranked.truncate(count);
        ranked
    }

    /// This router's place in the server's order of routers; `None` where it
    /// is not routable itself, as while it leaves.
    #[must_use]
    pub fn rank(&self, server: &BackendId) -> Option<usize> {
        rank(&self.routers, &self.own, server.as_str().as_bytes())
    }
}
