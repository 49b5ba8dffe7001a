//! What an experiment is given and what it gives.

use super::super::sample::LatencySamples;

/// How a router chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoicePolicy {
    RoundRobin,
    LeastReported,
    Guavawell,
}

/// What goes wrong with the first engine, or with its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorldFault {
    None,
    SlowServer,
    Leaving,
    /// The first engine is gone: connections to it time out.
    ServerLost,
    ZoneLost,
    /// Half of the routers vanish; the balancer sends to the others at once,
    /// and these know it after [`NOTICE_MS`].
    RoutersLost,
}

/// Time after which routers know that others are gone.
pub const NOTICE_MS: u64 = 5_000;

/// How unevenly zones are used, and what they know of each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpillSetup {
    /// Requests in a hundred that come to the first zone's routers; zero for
    /// an even spread over routers, with reports to all.
    pub hot_percent: u64,
    /// Whether zones tell each other of their use.
    pub told: bool,
}

/// What is run.
#[derive(Clone, Debug)]
pub struct WorldSetup {
    pub policy: ChoicePolicy,
    pub fault: WorldFault,
    pub engines: usize,
    pub zones: usize,
    pub routers: usize,
    /// Servers of a target that each router has at least; zero for no subsets.
    pub subset: usize,
    pub spill: SpillSetup,
    /// Requests a second offered, by organisation.
    pub rates: Vec<f64>,
}

/// What came out.
#[derive(Default)]
pub struct WorldResult {
    /// By organisation.
    pub first_token: Vec<LatencySamples>,
    pub between: LatencySamples,
    /// By organisation.
    pub refused: Vec<u64>,
    /// Requests that each engine was sent while measured.
    pub sent: Vec<u32>,
    /// New work at the leaving server 3 s after its mark.
    pub late_work: u64,
}
