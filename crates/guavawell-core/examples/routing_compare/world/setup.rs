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
    ZoneLost,
}

/// What is run.
#[derive(Clone, Debug)]
pub struct WorldSetup {
    pub policy: ChoicePolicy,
    pub fault: WorldFault,
    pub engines: usize,
    pub zones: usize,
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
    /// New work at the leaving server 3 s after its mark.
    pub late_work: u64,
}
