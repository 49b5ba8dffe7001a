//! Carries a plan out over several client threads.
//!
//! Owns the threads and the run's clock. What is sent stands in `plan`, what is
//! counted in `measure`.

mod arrival;
mod shared;
mod worker;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use thiserror::Error;

use crate::hooks::LoadHooks;
use crate::plan::FindingList;
use crate::plan::LoadPlan;
use crate::report::LoadReport;

pub(crate) use shared::RunShared;
pub(crate) use worker::Worker;

/// Time between two calls of the progress listener.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two looks at whether the threads are done.
const WAIT_STEP: Duration = Duration::from_millis(5);

/// Why a run could not start or end.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The plan cannot be run.
    #[error("the plan cannot be run:\n{0}")]
    Plan(FindingList),
    /// A client thread could not be started.
    #[error("cannot start a client thread: {0}")]
    Thread(#[from] std::io::Error),
    /// A client thread ended early.
    #[error("a client thread panicked")]
    Panicked,
}

/// Carries a plan out and reports. Blocks the calling thread.
///
/// # Errors
///
/// The plan's findings, or a client thread that could not start or panicked.
pub fn run(plan: LoadPlan, hooks: LoadHooks) -> Result<LoadReport, LoadError> {
    let findings = plan.check();
    if !findings.is_empty() {
        return Err(LoadError::Plan(findings));
    }
    let threads = plan.threads;
    let shared = Arc::new(RunShared::new(plan, hooks));
    let mut handles = Vec::with_capacity(threads);
    for index in 0..threads {
        let shared = Arc::clone(&shared);
        let builder = thread::Builder::new().name(format!("load-{index}"));
        handles.push(builder.spawn(move || worker::run_worker(shared, index))?);
    }
    follow(&shared, || {
        handles.iter().all(thread::JoinHandle::is_finished)
    });
    let mut results = Vec::with_capacity(threads);
    for handle in handles {
        results.push(handle.join().map_err(|_| LoadError::Panicked)?);
    }
    Ok(LoadReport::build(&shared, &results))
}

/// Calls the progress listener until the run is done.
fn follow(shared: &RunShared, done: impl Fn() -> bool) {
    let mut next_call = PROGRESS_INTERVAL;
    while !done() {
        thread::sleep(WAIT_STEP);
        let Some(listener) = &shared.hooks.progress else {
            continue;
        };
        if shared.started.elapsed() >= next_call {
            next_call += PROGRESS_INTERVAL;
            listener(&shared.progress());
        }
    }
}
