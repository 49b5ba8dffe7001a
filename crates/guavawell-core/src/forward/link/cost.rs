//! How many bytes a request needs on the link.

use std::ops::Add;

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

/// The expected size of the responses of a route.
#[derive(Clone, Debug)]
struct RouteCost {
    route: Box<str>,
    /// Mean bytes of a response.
    mean: f64,
    /// Number of the latest response, counted over all routes.
    latest: u64,
}

/// The expected size of the responses of each route, learned from past ones.
#[derive(Clone, Debug, Default)]
pub struct RouteCosts {
    /// Sorted by the route's name.
    routes: Vec<RouteCost>,
    /// Responses so far.
    responses: u64,
}

impl RouteCosts {
    /// The expected bytes of a response.
    #[must_use]
    pub fn response(&self, route: &str) -> f64 {
        let index = self.find(route);
        index.map_or(DEFAULT_RESPONSE, |index| self.routes[index].mean)
    }

    /// Records the size of a complete response.
    pub fn learn(&mut self, route: &str, bytes: u64) {
        let bytes = fraction(bytes);
        self.responses += 1;
        let latest = self.responses;
        if let Ok(index) = self.find(route) {
            let cost = &mut self.routes[index];
            cost.mean += LEARN_WEIGHT * (bytes - cost.mean);
            cost.latest = latest;
            return;
        }
        if self.routes.len() >= MAX_ROUTES {
            self.forget_oldest();
        }
        let cost = RouteCost {
            route: route.into(),
            mean: bytes,
            latest,
        };
        let index = self.find(route).unwrap_or_else(|index| index);
        self.routes.insert(index, cost);
    }

    fn forget_oldest(&mut self) {
        let costs = self.routes.iter().enumerate();
        if let Some((index, _)) = costs.min_by_key(|(_, cost)| cost.latest) {
            self.routes.remove(index);
        }
    }

    fn find(&self, route: &str) -> Result<usize, usize> {
        self.routes
            .binary_search_by(|cost| cost.route.as_ref().cmp(route))
    }
}
