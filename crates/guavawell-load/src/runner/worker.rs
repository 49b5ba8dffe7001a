//! One client thread: its connections, its tasks and its measurements.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use smol::LocalExecutor;
use smol::future::FutureExt;
use smol::future::yield_now;

use super::arrival;
use super::shared::RunShared;
use crate::client::ConnectionPool;
use crate::client::Exchange;
use crate::history::RequestHistory;
use crate::measure::Measurement;
use crate::plan::ArrivalMode;
use crate::plan::RequestProfile;

/// Tasks that run between two looks at the sockets.
const TASKS_A_LOOK: usize = 4;

/// One client thread.
pub(crate) struct Worker {
    /// What all threads share.
    pub(crate) shared: Arc<RunShared>,
    /// This thread's connections.
    pub(crate) pool: ConnectionPool,
    measurement: RefCell<Measurement>,
}

/// Runs one client thread to its end and gives its measurements.
pub(super) fn run_worker(shared: Arc<RunShared>, index: usize) -> Measurement {
    let worker = Rc::new(Worker {
        pool: ConnectionPool::new(&shared.plan.targets),
        measurement: RefCell::new(Measurement::new(shared.plan.profiles.len())),
        shared,
    });
    let executor = Rc::new(LocalExecutor::new());
    let arrivals = async {
        match worker.shared.plan.arrival {
            ArrivalMode::Open { rate } => arrival::open(&worker, &executor, rate, index).await,
            ArrivalMode::Closed { connections } => {
                arrival::closed(&worker, &executor, connections, index).await;
            }
        }
    };
    smol::block_on(arrivals.or(drive(&executor)));
    worker.measurement.take()
}

/// Runs tasks, and looks at the sockets after every few of them.
///
/// The executor's own `run` looks only after 200 tasks, which lets a few quick
/// connections keep all others waiting for milliseconds.
async fn drive(executor: &LocalExecutor<'_>) {
    loop {
        executor.tick().await;
        for _ in 1..TASKS_A_LOOK {
            if !executor.try_tick() {
                break;
            }
        }
        yield_now().await;
    }
}

impl Worker {
    /// Counts a request in, with the most tokens that it can cost.
    pub(crate) fn begin(&self, profile: &RequestProfile, worst: u64) {
        self.shared.count_begun();
        self.shared.budgets.begin(profile.budget.as_ref(), worst);
    }

    /// Measures one try, its latencies counted from `from`.
    pub(crate) fn record_try(&self, from: Instant, answer: &Exchange) {
        self.measurement.borrow_mut().record_try(from, answer);
    }

    /// Measures a finished request and tells the history listener.
    pub(crate) fn finish(&self, profile: usize, due: Instant, history: &RequestHistory) {
        let second = self.shared.started.elapsed().as_secs();
        self.measurement
            .borrow_mut()
            .record_end(profile, due, second, history);
        self.shared.count_finished(&history.end);
        if let Some(listener) = &self.shared.hooks.history {
            listener(history);
        }
    }

    /// Measures an arrival that was never sent.
    pub(crate) fn shed(&self, profile: usize) {
        self.measurement.borrow_mut().record_shed(profile);
    }
}
