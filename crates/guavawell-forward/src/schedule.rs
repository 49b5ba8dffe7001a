//! The order in which the one thread runs its tasks.
//!
//! Load pattern: an instance with a tenth of a core gets more requests than it
//! can serve, and hundreds of tasks are ready at a time. A call to the platform
//! takes half a dozen steps; were each of them to wait behind all requests, an
//! instance would learn seconds late that a server leaves, and calls would run
//! into their time limits while the platform is well.

use std::future::Future;
use std::rc::Rc;

use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use smol::LocalExecutor;

/// Steps of requests between two looks at what arrived on connections. Fewer
/// cost a system call each; more delay what the first queue waits for.
const STEPS_PER_POLL: usize = 16;

/// Two queues of tasks on one thread.
#[derive(Clone, Debug, Default)]
pub struct TaskQueues {
    /// Calls to the platform, readiness and signals: few and short, and first.
    pub control: Rc<LocalExecutor<'static>>,
    /// Callers' requests.
    pub requests: Rc<LocalExecutor<'static>>,
}

impl TaskQueues {
    /// Runs the tasks of both queues until `main` is done.
    pub async fn run<T>(&self, main: impl Future<Output = T>) -> T {
        main.or(self.run_forever()).await
    }

    async fn run_forever<T>(&self) -> T {
        loop {
            if self.step() {
                yield_now().await;
            } else {
                self.control.tick().or(self.requests.tick()).await;
            }
        }
    }

    /// Runs a few requests' steps, each after all that is ready of the first
    /// queue; whether more is ready.
    fn step(&self) -> bool {
        for _ in 0..STEPS_PER_POLL {
            while self.control.try_tick() {}
            if !self.requests.try_tick() {
                return false;
            }
        }
        true
    }
}
