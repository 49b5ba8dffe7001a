//! How many bytes a request needs on the link.

use std::ops::Add;

use super::names::RecentNames;
use crate::number::fraction;

/// Bytes of one packet on the wire in addition to its content: Ethernet, IP and TCP
/// headers.
const PACKET_HEADER: u64 = 66;
/// Content of one packet, in bytes.
const PACKET_CONTENT: u64 = 1_448;
/// Weight of the latest response in what is expected of a route.
const LEARN_WEIGHT: f64 = 0.05;
/// Bytes of a response to a route that has not been answered yet.
const DEFAULT_RESPONSE: f64 = 2_000.0;
/// Routes whose responses are remembered; the one answered longest ago makes room.
const MAX_ROUTES: usize = 1_024;

/// The bytes on the wire for content that is read or written at once.
#[must_use]
pub const fn wire_bytes(content: u64) -> u64 {
    content + content.div_ceil(PACKET_CONTENT) * PACKET_HEADER
}

/// Bytes in both directions of the link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkBytes {
    /// From the network.
    pub received: f64,
    /// To the network.
    pub sent: f64,
}

impl LinkBytes {
    /// The same number of bytes in both directions, as of a message that is passed on.
    #[must_use]
    pub const fn passed_on(bytes: f64) -> Self {
        Self {
            received: bytes,
            sent: bytes,
        }
    }

    /// Applies a function to both directions.
    #[must_use]
    pub fn map(self, change: impl Fn(f64) -> f64) -> Self {
        Self {
            received: change(self.received),
            sent: change(self.sent),
        }
    }

    /// The larger of both directions.
    #[must_use]
    pub const fn fuller(self) -> f64 {
        self.received.max(self.sent)
    }
}

impl Add for LinkBytes {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            received: self.received + other.received,
            sent: self.sent + other.sent,
        }
    }
}

/// The expected size of the responses of each route, learned from past ones.
#[derive(Clone, Debug)]
pub struct RouteCosts {
    /// Mean bytes of a response.
    means: RecentNames<f64>,
}

impl Default for RouteCosts {
    fn default() -> Self {
        Self {
            means: RecentNames::new(MAX_ROUTES),
        }
    }
}

impl RouteCosts {
    /// The expected bytes of a response.
    #[must_use]
    pub fn response(&self, route: &str) -> f64 {
        self.means.get(route).copied().unwrap_or(DEFAULT_RESPONSE)
    }

    /// Records the size of a complete response.
    pub fn learn(&mut self, route: &str, bytes: u64) {
        let bytes = fraction(bytes);
        let learn = |mean: &mut f64| *mean += LEARN_WEIGHT * (bytes - *mean);
        self.means.change_or_insert(route, learn, bytes);
    }
}
