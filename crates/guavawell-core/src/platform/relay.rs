//! Which peers may carry an exchange while the own link to the platform is out.
//!
//! Peers that declined are left alone for a growing while, and after some
//! exchanges that nobody carried all of them are, so that an outage for
//! everybody costs few calls in a fleet of any size.

use super::backoff::BackoffPolicy;
use super::backoff::Jitter;
use super::circuit::CircuitDecision;
use super::circuit::CircuitPolicy;
use super::circuit::PlatformCircuit;
use crate::clock::ClockTime;
use crate::id::InstanceId;

/// Peers that an exchange is offered to, at most: one near, one elsewhere.
pub const MAX_RELAYS: usize = 2;

/// A peer that could carry an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayPeer {
    /// The peer.
    pub instance: InstanceId,
    /// Whether it stands in this router's zone.
    pub is_local: bool,
}

/// A peer that did not carry when asked last.
#[derive(Clone, Debug, PartialEq, Eq)]
struct DeclinedPeer {
    instance: InstanceId,
    failures: u32,
    blocked_until: ClockTime,
}

/// What peers answered when they were asked to carry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelaySelector {
    policy: BackoffPolicy,
    /// The way by peers as a whole.
    circuit: PlatformCircuit,
    /// Sorted by instance.
    declined: Vec<DeclinedPeer>,
}

impl RelaySelector {
    /// A book that leaves a peer alone as `policy` says, and all of them as
    /// `circuit` says.
    #[must_use]
    pub const fn new(policy: BackoffPolicy, circuit: CircuitPolicy) -> Self {
        Self {
            policy,
            circuit: PlatformCircuit::new(circuit),
            declined: Vec::new(),
        }
    }

    /// The peers to offer an exchange to, in this order. The first is a near
    /// one if any may be asked; the second stands elsewhere if any may be
    /// asked there, since a zone often loses the platform as a whole. `draws`
    /// spread the choice within each. Whoever asks them tells [`Self::record_outcome`].
    pub fn choose(
        &mut self,
        peers: &[RelayPeer],
        now: ClockTime,
        draws: [Jitter; MAX_RELAYS],
    ) -> Vec<InstanceId> {
        let eligible = peers.iter().filter(|peer| self.is_eligible(peer, now));
        let (mut local, mut remote): (Vec<_>, Vec<_>) = eligible.partition(|peer| peer.is_local);
        let [first_draw, second_draw] = draws;
        let first =
            take_random(&mut local, first_draw).or_else(|| take_random(&mut remote, first_draw));
        let second =
            take_random(&mut remote, second_draw).or_else(|| take_random(&mut local, second_draw));
        let chosen = first.into_iter().chain(second);
        let chosen: Vec<InstanceId> = chosen.map(|peer| peer.instance.clone()).collect();
        let is_open =
            |circuit: &mut PlatformCircuit| matches!(circuit.admit(now), CircuitDecision::Open(_));
        if chosen.is_empty() || is_open(&mut self.circuit) {
            return Vec::new();
        }
        chosen
    }

    /// An exchange was offered to all that were chosen, or carried by one.
    pub fn record_outcome(&mut self, is_relayed: bool, now: ClockTime, jitter: Jitter) {
        if is_relayed {
            self.circuit.record_response();
        } else {
            self.circuit.record_failure(now, jitter);
        }
    }

    /// A peer carried an exchange, however the platform answered it.
    pub fn record_success(&mut self, instance: &InstanceId) {
        if let Ok(index) = self.find(instance) {
            self.declined.remove(index);
        }
    }

    /// A peer did not carry, or could not be reached.
    pub fn record_decline(&mut self, instance: &InstanceId, now: ClockTime, jitter: Jitter) {
        let index = match self.find(instance) {
            Ok(index) => index,
            Err(index) => {
                let peer = DeclinedPeer {
                    instance: instance.clone(),
                    failures: 0,
                    blocked_until: now,
                };
                self.declined.insert(index, peer);
                index
            }
        };
        let peer = &mut self.declined[index];
        peer.failures = peer.failures.saturating_add(1);
        peer.blocked_until = now + self.policy.wait(peer.failures, jitter);
    }

    /// Forgets peers that are no longer there.
    pub fn retain_peers(&mut self, peers: &[RelayPeer]) {
        let is_present = |peer: &DeclinedPeer| peers.iter().any(|p| p.instance == peer.instance);
        self.declined.retain(is_present);
    }

    fn is_eligible(&self, peer: &RelayPeer, now: ClockTime) -> bool {
        let index = self.find(&peer.instance);
        index.map_or(true, |index| self.declined[index].blocked_until <= now)
    }

    fn find(&self, instance: &InstanceId) -> Result<usize, usize> {
        self.declined
            .binary_search_by(|peer| peer.instance.cmp(instance))
    }
}

/// Takes one of `peers` by a draw.
fn take_random<'a>(peers: &mut Vec<&'a RelayPeer>, draw: Jitter) -> Option<&'a RelayPeer> {
    if peers.is_empty() {
        return None;
    }
    let index = peers.len() * usize::from(draw.0) / (usize::from(u16::MAX) + 1);
    Some(peers.swap_remove(index))
}
