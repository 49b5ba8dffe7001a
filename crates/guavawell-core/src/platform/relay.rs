//! Chooses peers that relay requests to the platform while this router cannot
//! reach it.
//!
//! A peer that declined is not asked again for an exponentially growing time.
//! After several requests that no peer relayed, a circuit breaker stops asking
//! any peer. An outage for the whole fleet therefore causes few calls between
//! routers, whatever the size of the fleet.

use super::backoff::BackoffPolicy;
use super::backoff::Jitter;
use super::circuit::CircuitDecision;
use super::circuit::CircuitPolicy;
use super::circuit::PlatformCircuit;
use crate::clock::ClockTime;
use crate::id::InstanceId;

/// Maximum number of peers that are asked to relay a request: one in this router's
/// zone and one in another.
pub const MAX_RELAYS: usize = 2;

/// A peer that may relay requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayPeer {
    /// The peer.
    pub instance: InstanceId,
    /// Whether it is in this router's zone.
    pub is_local: bool,
}

/// A peer that did not relay the last request it was asked to.
#[derive(Clone, Debug, PartialEq, Eq)]
struct DeclinedPeer {
    instance: InstanceId,
    failures: u32,
    blocked_until: ClockTime,
}

/// Chooses peers by how they responded to earlier relay requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelaySelector {
    policy: BackoffPolicy,
    /// Circuit breaker for relaying as a whole.
    circuit: PlatformCircuit,
    /// Sorted by instance.
    declined: Vec<DeclinedPeer>,
}

impl RelaySelector {
    /// Creates a selector with the backoff `policy` for each peer and the
    /// `circuit` policy for all of them together.
    #[must_use]
    pub const fn new(policy: BackoffPolicy, circuit: CircuitPolicy) -> Self {
        Self {
            policy,
            circuit: PlatformCircuit::new(circuit),
            declined: Vec::new(),
        }
    }

    /// Returns the peers to ask, in this order. The first is in the same zone
    /// and the second in another, where possible, since often a whole zone
    /// loses the platform. `draws` choose at random among the peers of each kind.
    /// After asking, the caller must call [`Self::record_outcome`].
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

    /// Records whether one of the chosen peers relayed the request.
    pub fn record_outcome(&mut self, is_relayed: bool, now: ClockTime, jitter: Jitter) {
        if is_relayed {
            self.circuit.record_response();
        } else {
            self.circuit.record_failure(now, jitter);
        }
    }

    /// Records that a peer relayed a request, whatever the platform responded.
    pub fn record_success(&mut self, instance: &InstanceId) {
        if let Ok(index) = self.find(instance) {
            self.declined.remove(index);
        }
    }

    /// Records that a peer did not relay a request or could not be reached.
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

    /// Removes peers that are not in `peers`.
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

/// Removes and returns the peer of `peers` that `draw` selects.
fn take_random<'a>(peers: &mut Vec<&'a RelayPeer>, draw: Jitter) -> Option<&'a RelayPeer> {
    if peers.is_empty() {
        return None;
    }
    let index = peers.len() * usize::from(draw.0) / (usize::from(u16::MAX) + 1);
    Some(peers.swap_remove(index))
}
