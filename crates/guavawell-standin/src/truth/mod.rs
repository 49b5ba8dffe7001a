//! The truth log: every attempt that a backend server really ran.
//!
//! It outlasts crashes. It holds what ran here, never what a router believes.

use std::sync::Arc;
use std::sync::Mutex;

use guavawell_core::id::AttemptId;
use serde::Deserialize;
use serde::Serialize;

use crate::attempt::AttemptEntry;
pub use crate::attempt::AttemptPhase;
use crate::lock::lock;

/// One run, in the order in which the runs began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TruthRun {
    /// The attempt that ran.
    pub attempt: AttemptId,
    /// The request, if the router named it in `X-Guavawell-Request`.
    pub request: Option<Box<str>>,
    /// The organisation, if the router named it in `X-Guavawell-Organisation`.
    pub organisation: Option<Box<str>>,
    /// The model, or the path of a plain service.
    pub target: Box<str>,
    /// Where the run stands.
    pub state: AttemptPhase,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated so far.
    pub completion_tokens: u64,
}

/// The answer to `GET /truth`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TruthReport {
    /// Number of runs since the start, those dropped included.
    pub total: u64,
    /// Runs that the log had no room for; a history check needs zero here.
    pub dropped: u64,
    /// The runs kept.
    pub runs: Vec<TruthRun>,
}

/// Runs since the start of the process; a crash fault does not clear it.
#[derive(Debug)]
pub(crate) struct TruthLog {
    limit: usize,
    state: Mutex<TruthState>,
}

#[derive(Debug, Default)]
struct TruthState {
    runs: Vec<Arc<AttemptEntry>>,
    dropped: u64,
}

impl TruthLog {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            state: Mutex::default(),
        }
    }

    pub(crate) fn add(&self, entry: &Arc<AttemptEntry>) {
        let mut state = lock(&self.state);
        if state.runs.len() < self.limit {
            state.runs.push(Arc::clone(entry));
        } else {
            state.dropped += 1;
        }
    }

    pub(crate) fn total(&self) -> u64 {
        let state = lock(&self.state);
        u64::try_from(state.runs.len()).unwrap_or(u64::MAX) + state.dropped
    }

    pub(crate) fn report(&self) -> TruthReport {
        let total = self.total();
        let state = lock(&self.state);
        TruthReport {
            total,
            dropped: state.dropped,
            runs: state.runs.iter().map(|entry| truth_run(entry)).collect(),
        }
    }
}

fn truth_run(entry: &AttemptEntry) -> TruthRun {
    let record = entry.record();
    TruthRun {
        attempt: record.attempt,
        request: entry.source.request.clone(),
        organisation: entry.source.organisation.clone(),
        target: entry.target.clone(),
        state: record.state,
        prompt_tokens: record.prompt_tokens,
        completion_tokens: record.completion_tokens,
    }
}
