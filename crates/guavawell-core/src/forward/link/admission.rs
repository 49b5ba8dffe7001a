//! Decides which requests an instance accepts while its link is nearly full.
//!
//! Each request is charged to both directions of the link when it is accepted, with its
//! body and the response expected of its route, although most of these bytes are
//! transferred later. The charges fall at the rate of the link. What remains of them is
//! outstanding; a request is accepted if that is little enough for its priority. So a
//! burst hardly exceeds the link, as far as the expected responses are right.

use super::LinkBytes;
use super::RouteCosts;
use super::names::RecentNames;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::forward::LinkRate;
use crate::number::fraction;
use crate::number::whole;

/// Milliseconds of a second.
const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Span over which the demand is averaged, in milliseconds: longer than the gaps of a
/// steady load, and short beside the seconds that the load balancer needs.
const DEMAND_SPAN: f64 = 400.0;
/// Part of the link that accepted requests get at least, however many are refused:
/// refusals alone must not keep the link closed.
const MIN_PART: f64 = 0.3;
/// Bytes of a refusal on the wire, with its acknowledgements.
const REFUSAL_BYTES: f64 = 400.0;
/// Routes, and organisations, whose refusals are counted; the one refused longest ago
/// makes room.
const MAX_COUNTED: usize = 256;
/// A request that needs this many times the mean is large: it takes the place of several
/// that could be accepted instead.
const LARGE_FACTOR: f64 = 3.0;
/// Weight of the latest request in the mean.
const MEAN_WEIGHT: f64 = 0.02;

/// Thresholds of admission by the link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkSettings {
    /// Part of the link that is used. The rest carries what is not counted, such as
    /// messages to the store, and keeps queues short. The demand is in parts of this part.
    pub usable: f64,
    /// Work that may be outstanding when a request of the most urgent priority is
    /// accepted, as the time in which the link carries it.
    pub outstanding: ClockSpan,
    /// By how much less may be outstanding for each less urgent priority.
    pub step: ClockSpan,
    /// Number of priorities that are told apart.
    pub ranks: u8,
    /// Refusals in a row after which a route or a large request is accepted as if it were
    /// most urgent.
    pub refused_in_row: u32,
    /// Refusals in a row after which an organisation other than the one that sends most
    /// is accepted as if it were most urgent.
    pub organisation_in_row: u32,
    /// Largest lead, in requests, of the organisation that seems to send most (the vote
    /// of Boyer and Moore). Another one takes its place after about as many requests.
    pub max_lead: u32,
    /// Shortest time after which a refused caller comes back while the demand exceeds
    /// the link: the load balancer needs two checks to move connections.
    pub retry: ClockSpan,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            usable: 0.95,
            outstanding: ClockSpan::from_millis(800),
            step: ClockSpan::from_millis(150),
            ranks: 4,
            refused_in_row: 8,
            organisation_in_row: 2,
            max_lead: 64,
            retry: ClockSpan::from_millis(1_000),
        }
    }
}

/// A request that may be accepted.
#[derive(Clone, Copy, Debug)]
pub struct LinkRequest<'a> {
    /// Name of its route.
    pub route: &'a str,
    /// The organisation that sent it.
    pub organisation: &'a str,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Its bytes on the wire.
    pub bytes: u64,
}

/// Refusals in a row of each route or organisation.
#[derive(Clone, Debug)]
struct RefusalCounts {
    counts: RecentNames<u32>,
}

impl RefusalCounts {
    const fn new() -> Self {
        Self {
            counts: RecentNames::new(MAX_COUNTED),
        }
    }

    fn get(&self, name: &str) -> u32 {
        self.counts.get(name).copied().unwrap_or(0)
    }

    fn note(&mut self, name: &str, is_refused: bool) {
        if is_refused {
            let add = |count: &mut u32| *count = count.saturating_add(1);
            self.counts.change_or_insert(name, add, 1);
        } else {
            self.counts.remove(name);
        }
    }
}

/// Which requests the link of an instance carries.
#[derive(Clone, Debug)]
pub struct LinkAdmission {
    settings: LinkSettings,
    /// Usable bytes in a millisecond.
    rate: f64,
    /// Bytes of accepted requests that the link has still to carry.
    outstanding: LinkBytes,
    /// Average demand in a millisecond, with that of refused requests.
    demand: LinkBytes,
    /// What refused requests take of the link in a millisecond, on average.
    refused: LinkBytes,
    updated_at: ClockTime,
    costs: RouteCosts,
    /// Average cost of a request.
    mean_cost: f64,
    refused_routes: RefusalCounts,
    refused_organisations: RefusalCounts,
    refused_large: u32,
    /// The organisation that sends most, by majority vote, and its votes.
    largest: (Box<str>, u32),
    /// When a request was refused last.
    refused_at: Option<ClockTime>,
}

impl LinkAdmission {
    /// A link that carries `rate`, unused.
    #[must_use]
    pub fn new(settings: LinkSettings, rate: LinkRate) -> Self {
        Self {
            rate: rate.bytes_per_second() * settings.usable / MILLIS_PER_SECOND,
            settings,
            outstanding: LinkBytes::default(),
            demand: LinkBytes::default(),
            refused: LinkBytes::default(),
            updated_at: ClockTime::from_millis(0),
            costs: RouteCosts::default(),
            mean_cost: 0.0,
            refused_routes: RefusalCounts::new(),
            refused_organisations: RefusalCounts::new(),
            refused_large: 0,
            largest: (Box::default(), 0),
            refused_at: None,
        }
    }

    /// Charges bytes that are of no request: messages between instances.
    pub fn charge(&mut self, bytes: LinkBytes, now: ClockTime) {
        self.advance(now);
        self.add_outstanding(bytes);
        self.demand = self.demand + bytes.map(|bytes| bytes / DEMAND_SPAN);
    }

    /// Decides whether a request is accepted, and returns the response that it is
    /// charged for.
    ///
    /// # Errors
    ///
    /// The time after which there may be room again. `draw` spreads it: a random number
    /// from 0 to 1.
    pub fn admit(
        &mut self,
        request: &LinkRequest<'_>,
        draw: f64,
        now: ClockTime,
    ) -> Result<f64, ClockSpan> {
        self.advance(now);
        let response = self.costs.response(request.route);
        let cost = fraction(request.bytes) + response;
        let is_large = self.mean_cost > 0.0 && cost > LARGE_FACTOR * self.mean_cost;
        self.mean_cost += MEAN_WEIGHT * (cost - self.mean_cost);
        self.vote(request.organisation);
        let needed = LinkBytes::passed_on(cost);
        self.demand = self.demand + needed.map(|bytes| bytes / DEMAND_SPAN);
        let limit = self.limit(request, is_large);
        let is_refused = self.outstanding.fuller() > limit;
        self.refused_routes.note(request.route, is_refused);
        self.refused_organisations
            .note(request.organisation, is_refused);
        if is_large {
            self.refused_large = if is_refused {
                self.refused_large + 1
            } else {
                0
            };
        }
        if !is_refused {
            self.add_outstanding(needed);
            return Ok(response);
        }
        self.refused_at = Some(now);
        let spent = LinkBytes {
            received: fraction(request.bytes),
            sent: REFUSAL_BYTES,
        };
        self.refused = self.refused + spent.map(|bytes| bytes / DEMAND_SPAN);
        Err(self.retry_after(limit, draw))
    }

    /// Corrects the charge of a request that has ended: its response had `actual` bytes
    /// instead of `expected`. One that was complete tells what to expect of its route.
    pub fn settle(&mut self, route: &str, expected: f64, actual: u64, is_complete: bool) {
        if is_complete {
            self.costs.learn(route, actual);
        }
        let difference = fraction(actual) - expected;
        self.add_outstanding(LinkBytes::passed_on(difference));
    }

    /// The demand in the fuller direction in parts of what the link carries, with that of
    /// refused requests.
    #[must_use]
    pub fn demand(&mut self, now: ClockTime) -> f64 {
        self.advance(now);
        self.demand.fuller() / self.rate
    }

    /// Work that is outstanding, as the time in which the link carries it.
    #[must_use]
    pub fn outstanding(&self) -> ClockSpan {
        ClockSpan::from_millis(whole(self.outstanding.fuller() / self.rate))
    }

    /// Whether a request was refused within `span`.
    #[must_use]
    pub fn refuses(&self, span: ClockSpan, now: ClockTime) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < span)
    }

    /// The outstanding bytes up to which a request is accepted.
    fn limit(&self, request: &LinkRequest<'_>, is_large: bool) -> f64 {
        let settings = &self.settings;
        let in_row = settings.refused_in_row;
        let is_largest = self.largest.1 > 0 && *self.largest.0 == *request.organisation;
        let is_due = self.refused_routes.get(request.route) >= in_row
            || (is_large && self.refused_large >= in_row)
            || (!is_largest
                && self.refused_organisations.get(request.organisation)
                    >= settings.organisation_in_row);
        let rank = if is_due {
            0
        } else {
            request.priority.min(settings.ranks.saturating_sub(1)) + u8::from(is_large)
        };
        let less = settings.step.as_millis() * u64::from(rank);
        let span = settings.outstanding.as_millis().saturating_sub(less);
        fraction(span) * self.rate
    }

    /// Majority vote on the organisation that sends most.
    fn vote(&mut self, organisation: &str) {
        let max_lead = self.settings.max_lead;
        let (largest, votes) = &mut self.largest;
        if **largest == *organisation {
            *votes = (*votes + 1).min(max_lead);
        } else if *votes == 0 {
            self.largest = (organisation.into(), 1);
        } else {
            *votes -= 1;
        }
    }

    /// When there may be room: once the outstanding work is carried, and while the demand
    /// exceeds the link, once other instances get some of it. Spread over the same time
    /// again, so that callers do not come back together.
    fn retry_after(&self, limit: f64, draw: f64) -> ClockSpan {
        let excess = (self.outstanding.fuller() - limit).max(0.0) / self.rate;
        let is_lasting = self.demand.fuller() > self.rate;
        let least = if is_lasting {
            fraction(self.settings.retry.as_millis())
        } else {
            fraction(self.settings.step.as_millis())
        };
        let base = least.max(excess);
        ClockSpan::from_millis(whole(base * (1.0 + draw)))
    }

    /// Adds outstanding work, or takes it back.
    fn add_outstanding(&mut self, bytes: LinkBytes) {
        let sum = self.outstanding + bytes;
        self.outstanding = sum.map(|bytes| bytes.max(0.0));
    }

    fn advance(&mut self, now: ClockTime) {
        let passed = fraction(now.since(self.updated_at).as_millis());
        self.updated_at = now;
        let carried = self
            .refused
            .map(|taken| passed * (self.rate - taken).max(self.rate * MIN_PART));
        self.outstanding = LinkBytes {
            received: (self.outstanding.received - carried.received).max(0.0),
            sent: (self.outstanding.sent - carried.sent).max(0.0),
        };
        let rest = (-passed / DEMAND_SPAN).exp();
        self.demand = self.demand.map(|bytes| bytes * rest);
        self.refused = self.refused.map(|bytes| bytes * rest);
    }
}
