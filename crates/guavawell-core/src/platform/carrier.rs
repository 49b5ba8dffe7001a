//! Which peers may carry an exchange while the own link to the platform is out.
//!
//! Peers that declined are left alone for a growing while, so that an outage
//! for everybody costs few calls.

use super::backoff::BackoffPolicy;
use super::backoff::Jitter;
use crate::clock::ClockTime;
use crate::id::InstanceId;

/// Peers that an exchange is offered to, at most: one near, one elsewhere.
pub const MAX_CARRIERS: usize = 2;

/// A peer that could carry an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CarrierPeer {
    /// The peer.
    pub instance: InstanceId,
    /// Whether it stands in this router's zone.
    pub is_near: bool,
}

/// A peer that did not carry when asked last.
#[derive(Clone, Debug, PartialEq, Eq)]
struct DeclinedPeer {
    instance: InstanceId,
    failures: u32,
    until: ClockTime,
}

/// What peers answered when they were asked to carry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CarrierBook {
    policy: BackoffPolicy,
    /// Sorted by instance.
    declined: Vec<DeclinedPeer>,
}

impl CarrierBook {
    /// A book that leaves peers alone as `policy` says.
    #[must_use]
    pub const fn new(policy: BackoffPolicy) -> Self {
        Self {
            policy,
            declined: Vec::new(),
        }
    }

    /// The peers to offer an exchange to, in this order. The first is a near
    /// one if any may be asked; the second stands elsewhere if any may be
    /// asked there, since a zone often loses the platform as a whole. `draws`
    /// spread the choice within each.
    #[must_use]
    pub fn choose(
        &self,
        peers: &[CarrierPeer],
        now: ClockTime,
        draws: [Jitter; MAX_CARRIERS],
    ) -> Vec<InstanceId> {
        let asked = peers.iter().filter(|peer| self.may_ask(peer, now));
        let (mut near, mut far): (Vec<_>, Vec<_>) = asked.partition(|peer| peer.is_near);
        let [first_draw, second_draw] = draws;
        let first = take_drawn(&mut near, first_draw).or_else(|| take_drawn(&mut far, first_draw));
        let second =
            take_drawn(&mut far, second_draw).or_else(|| take_drawn(&mut near, second_draw));
        let chosen = first.into_iter().chain(second);
        chosen.map(|peer| peer.instance.clone()).collect()
    }

    /// A peer carried an exchange, however the platform answered it.
    pub fn carried(&mut self, instance: &InstanceId) {
        if let Ok(place) = self.place(instance) {
            self.declined.remove(place);
        }
    }

    /// A peer did not carry, or could not be reached.
    pub fn declined(&mut self, instance: &InstanceId, now: ClockTime, jitter: Jitter) {
        let place = match self.place(instance) {
            Ok(place) => place,
            Err(place) => {
                let peer = DeclinedPeer {
                    instance: instance.clone(),
                    failures: 0,
                    until: now,
                };
                self.declined.insert(place, peer);
                place
            }
        };
        let peer = &mut self.declined[place];
        peer.failures = peer.failures.saturating_add(1);
        peer.until = now + self.policy.wait(peer.failures, jitter);
    }

    /// Forgets peers that are no longer there.
    pub fn keep(&mut self, peers: &[CarrierPeer]) {
        let is_there = |peer: &DeclinedPeer| peers.iter().any(|p| p.instance == peer.instance);
        self.declined.retain(is_there);
    }

    fn may_ask(&self, peer: &CarrierPeer, now: ClockTime) -> bool {
        let place = self.place(&peer.instance);
        place.map_or(true, |place| self.declined[place].until <= now)
    }

    fn place(&self, instance: &InstanceId) -> Result<usize, usize> {
        self.declined
            .binary_search_by(|peer| peer.instance.cmp(instance))
    }
}

/// Takes one of `peers` by a draw.
fn take_drawn<'a>(peers: &mut Vec<&'a CarrierPeer>, draw: Jitter) -> Option<&'a CarrierPeer> {
    if peers.is_empty() {
        return None;
    }
    let place = peers.len() * usize::from(draw.0) / (usize::from(u16::MAX) + 1);
    Some(peers.swap_remove(place))
}
