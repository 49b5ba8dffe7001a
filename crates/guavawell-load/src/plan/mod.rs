//! What a run does: targets, arrivals, bounds, retries and the mix.
//!
//! Owns the settings of a run and their findings. It sends nothing.

mod file;
mod finding;
mod profile;
mod table;

use std::net::SocketAddr;

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::BudgetId;
use guavawell_core::id::TokenCount;

pub use file::parse_plan;
pub use finding::FindingList;
pub use finding::PlanFinding;
pub use profile::CallKind;
pub use profile::ChatCall;
pub use profile::RequestProfile;
pub use profile::ServiceCall;
pub use profile::SizeRange;

/// What listens at the target addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// Routers, spoken to as a caller.
    Router,
    /// One or more model engines, spoken to as a router would.
    Engine,
}

/// How requests arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ArrivalMode {
    /// Arrivals at random intervals around a rate, whatever the answers do.
    Open {
        /// Mean arrivals a second.
        rate: f64,
    },
    /// A fixed number of connections, each sending back to back.
    Closed {
        /// The number of connections.
        connections: usize,
    },
}

/// How a caller retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Most tries of one request, the first included.
    pub max_tries: u32,
    /// Mean delay before the second try; it doubles with each further one.
    pub base_delay: ClockSpan,
    /// Longest delay, also when a router asks for more.
    pub max_delay: ClockSpan,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_tries: 4,
            base_delay: ClockSpan::from_millis(50),
            max_delay: ClockSpan::from_millis(5_000),
        }
    }
}

/// A prepaid budget that the run draws on, so that the report can set what
/// callers received against what was paid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetExpectation {
    /// The budget.
    pub budget: BudgetId,
    /// Tokens left in it when the run starts.
    pub left: TokenCount,
}

/// A whole run.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPlan {
    /// Where to send, in turn like a balancer.
    pub targets: Box<[SocketAddr]>,
    /// What listens there.
    pub target_kind: TargetKind,
    /// How requests arrive.
    pub arrival: ArrivalMode,
    /// Stop sending after this span, if set.
    pub duration: Option<ClockSpan>,
    /// Stop sending after this many requests, if set.
    pub requests: Option<u64>,
    /// Client threads.
    pub threads: usize,
    /// Most requests under way at once; an arrival past it is shed and counted.
    pub max_in_flight: usize,
    /// Seed of the mix, the sizes and the arrival times.
    pub seed: u64,
    /// Start of every request id; two runs against one fleet need two tags.
    pub tag: Box<str>,
    /// Longest silence on a connection before the try counts as incomplete.
    pub idle_timeout: ClockSpan,
    /// How callers retry.
    pub retry: RetryPolicy,
    /// The mix.
    pub profiles: Box<[RequestProfile]>,
    /// Budgets to set against what callers received.
    pub budgets: Box<[BudgetExpectation]>,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            targets: Box::default(),
            target_kind: TargetKind::Router,
            arrival: ArrivalMode::Open { rate: 10.0 },
            duration: Some(ClockSpan::from_millis(10_000)),
            requests: None,
            threads: 1,
            max_in_flight: 4_096,
            seed: 1,
            tag: "load".into(),
            idle_timeout: ClockSpan::from_millis(30_000),
            retry: RetryPolicy::default(),
            profiles: Box::new([RequestProfile::default()]),
            budgets: Box::default(),
        }
    }
}

impl LoadPlan {
    /// Everything that is wrong with the plan as a whole.
    #[must_use]
    pub fn check(&self) -> FindingList {
        let mut findings = FindingList::default();
        let mut require = |holds: bool, key: &str, message: &str| {
            if !holds {
                findings.push(PlanFinding::whole(key, message));
            }
        };
        require(
            !self.targets.is_empty(),
            "targets",
            "name at least one address, as IP:PORT",
        );
        require(
            self.duration.is_some() || self.requests.is_some(),
            "duration_ms",
            "set a duration, a request count or both",
        );
        require(self.threads > 0, "threads", "must be at least 1");
        require(
            self.max_in_flight > 0,
            "max_in_flight",
            "must be at least 1",
        );
        require(
            self.retry.max_tries > 0,
            "retry.max_tries",
            "must be at least 1",
        );
        let arrives = match self.arrival {
            ArrivalMode::Open { rate } => rate.is_finite() && rate > 0.0,
            ArrivalMode::Closed { connections } => connections > 0,
        };
        require(
            arrives,
            "rate",
            "the rate or the connections must be above 0",
        );
        let weight: u64 = self.profiles.iter().map(|p| u64::from(p.weight)).sum();
        require(
            weight > 0,
            "profile",
            "needs a profile with a weight above 0",
        );
        findings
    }
}
