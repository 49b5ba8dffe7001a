//! What is known of one instance, and which of two pieces of news wins.

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
/// This steers routing only. An unreachable instance may be running, may hold
/// slots and may spend: nothing here releases a grant or a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reachability {
    /// It answers probes.
    Reachable,
    /// It did not answer a probe and has not refuted that yet.
    Suspected,
    /// It did not refute the suspicion in time.
    Unreachable,
}

/// What the fleet knows of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The instance.
    pub instance: InstanceId,
    /// Its life; of two lives the higher is the later.
    pub incarnation: IncarnationId,
    /// How often this life has refuted a suspicion.
    pub refutation: u32,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where other routers reach it.
    pub peer_address: SocketAddr,
    /// Where gossip reaches it.
    pub gossip_address: SocketAddr,
    /// Whether it answers probes.
    pub reachability: Reachability,
    /// Whether this life has announced that it leaves; never taken back.
    pub leaving: bool,
    /// The manifest version that it has in force.
    pub manifest: ManifestVersion,
}

impl MemberRecord {
    /// Whether new work may be sent to it.
    #[must_use]
    pub fn is_routable(&self) -> bool {
        self.reachability == Reachability::Reachable && !self.leaving
    }

    /// Whether `other`, of the same instance, brings news beside the manifest version.
    #[must_use]
    pub fn is_outdated_by(&self, other: &Self) -> bool {
        if self.incarnation != other.incarnation {
            return other.incarnation > self.incarnation;
        }
        let newly_leaving = other.leaving && !self.leaving;
        newly_leaving || other.status() > self.status()
    }

    /// Takes over what `other`, of the same instance, knows better.
    ///
    /// The result does not depend on the order in which records arrive.
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

    /// Order of two records of one life: a refutation beats an earlier suspicion.
    fn status(&self) -> (u32, Reachability) {
        (self.refutation, self.reachability)
    }
}

/// Draws the incarnation of a life that starts `now`.
///
/// The start time fills the upper bits, so that a later life is higher unless
/// the clock was set back; peers then report [`super::MemberEffect::Superseded`].
#[must_use]
pub fn draw_incarnation(now: ClockTime, random: u64) -> IncarnationId {
    const RANDOM_BITS: u32 = 20;
    let random = random & ((1 << RANDOM_BITS) - 1);
    IncarnationId::new((now.as_millis() << RANDOM_BITS) | random)
}
