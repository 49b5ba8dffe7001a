//! Member records and the rules by which they are merged.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockTime;
use crate::id::IncarnationId;
use crate::id::InstanceId;
use crate::id::ManifestVersion;
use crate::id::ZoneId;

/// Whether an instance answers probes, as far as gossip knows.
///
/// This only affects routing. An unreachable instance may still be running,
/// hold slots and spend tokens, so no grant or claim is released because of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reachability {
    /// It answers probes.
    Reachable,
    /// It did not answer a probe and has not refuted the suspicion yet.
    Suspected,
    /// It did not refute the suspicion in time.
    Unreachable,
}

/// What the fleet knows about one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The instance.
    pub instance: InstanceId,
    /// Its incarnation, which is higher after each restart.
    pub incarnation: IncarnationId,
    /// How often this incarnation has refuted a suspicion.
    pub refutation: u32,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other routers.
    pub peer_address: SocketAddr,
    /// Address for gossip datagrams.
    pub gossip_address: SocketAddr,
    /// Whether it answers probes.
    pub reachability: Reachability,
    /// Whether this incarnation has announced that it leaves; never reset.
    pub leaving: bool,
    /// The manifest version that it has applied.
    pub manifest: ManifestVersion,
}

impl MemberRecord {
    /// Whether new work may be sent to the instance.
    #[must_use]
    pub fn is_routable(&self) -> bool {
        self.reachability == Reachability::Reachable && !self.leaving
    }

    /// Whether `other`, a record of the same instance, is newer in anything but
    /// the manifest version.
    #[must_use]
    pub fn is_outdated_by(&self, other: &Self) -> bool {
        if self.incarnation != other.incarnation {
            return other.incarnation > self.incarnation;
        }
        let newly_leaving = other.leaving && !self.leaving;
        newly_leaving || other.status() > self.status()
    }

    /// Merges whatever is newer in `other`, a record of the same instance.
    ///
    /// The result does not depend on the order in which records are merged.
    pub fn merge(&mut self, other: &Self) {
        if other.incarnation > self.incarnation {
            *self = other.clone();
            return;
        }
        if other.incarnation < self.incarnation {
            return;
        }
        if other.status() > self.status() {
            self.refutation = other.refutation;
            self.reachability = other.reachability;
        }
        self.leaving |= other.leaving;
        self.manifest = self.manifest.max(other.manifest);
    }

    /// Sort key of records of one incarnation: a refutation overrides the
    /// suspicions before it, and a worse reachability overrides a better one.
    fn status(&self) -> (u32, Reachability) {
        (self.refutation, self.reachability)
    }
}

/// Generates the incarnation of a process that starts `now`.
///
/// The start time fills the upper bits, so that an incarnation is higher than
/// those before it unless the clock was set back. In that case the process
/// learns of the higher one and reports [`super::MemberEffect::Superseded`].
#[must_use]
pub fn draw_incarnation(now: ClockTime, random: u64) -> IncarnationId {
    const RANDOM_BITS: u32 = 20;
    let random = random & ((1 << RANDOM_BITS) - 1);
    IncarnationId::new((now.as_millis() << RANDOM_BITS) | random)
}
