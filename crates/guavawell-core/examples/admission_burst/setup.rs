//! What an experiment is given and what it gives.

use super::sample::LatencySamples;

/// Model engines of an experiment.
#[derive(Clone, Debug)]
pub struct EngineSetup {
    pub count: usize,
    /// Requests that one engine runs at a time.
    pub slots: usize,
    /// Whether they report their load.
    pub reports: bool,
    /// How many times slower than the others the first one is.
    pub slowness: u64,
}

/// Callers of one organisation that arrive at random.
#[derive(Clone, Debug)]
pub struct SteadyCallers {
    /// Requests a second.
    pub rate: f64,
    /// Tries of a refused request, the first included.
    pub tries: usize,
}

/// What is run.
#[derive(Clone, Debug)]
pub struct BurstSetup {
    pub routers: usize,
    pub engines: EngineSetup,
    /// By organisation; the burst is of one organisation more.
    pub steady: Vec<SteadyCallers>,
    /// Streams begun at once at [`BURST_MS`](super::world::BURST_MS).
    pub burst: usize,
    /// Mean tokens of an answer; those of the burst are all as long.
    pub tokens: u64,
    /// Milliseconds for which steady callers arrive.
    pub span: u64,
    /// Milliseconds that a caller waits for its first token before it goes.
    pub patience: u64,
}

/// What one organisation got.
#[derive(Clone, Debug, Default)]
pub struct OrganisationResult {
    /// Requests of which a first try was made while measuring.
    pub offered: u64,
    /// Time from the first try to the first token, of those answered.
    pub first_token: LatencySamples,
    pub answered: u64,
    /// Refusals, of each try.
    pub refusals: u64,
    /// Refusals while engines had more free slots than were refused at that
    /// moment.
    pub false_refusals: u64,
    /// Requests that were refused for good.
    pub given_up: u64,
    /// Requests whose caller lost its patience.
    pub left: u64,
}

/// What came out.
#[derive(Clone, Debug, Default)]
pub struct BurstResult {
    /// By organisation, the burst last.
    pub organisations: Vec<OrganisationResult>,
    /// The most requests that waited at one engine.
    pub engine_queue: usize,
    /// Requests that an engine refused.
    pub engine_refusals: u64,
    /// Milliseconds of engine slots used for answers, and for nothing.
    pub useful: u64,
    pub wasted: u64,
}
