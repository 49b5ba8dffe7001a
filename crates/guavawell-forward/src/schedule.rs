//! Schedules the tasks of the process on its single thread.
//!
//! An instance with a tenth of a core can receive more requests than it can
//! serve, so that hundreds of tasks are ready. A call to the platform takes
//! about six steps. If each step waited for all requests, the instance would
//! learn seconds late that a server leaves, and calls would time out although
//! the platform responds. Control tasks therefore run first.
//!
//! Whoever reaches the ports of readiness and of other instances can make their tasks ready
//! without end. These run one step before each step of a request: neither can hold up
//! the other, nor control tasks.

use std::future::Future;
use std::rc::Rc;

use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use smol::LocalExecutor;

/// Request steps between two polls for I/O events. Each poll is a system call;
/// with more steps, control tasks wait longer for their I/O.
const STEPS_PER_POLL: usize = 16;

/// Three task queues that run on one thread.
#[derive(Clone, Debug, Default)]
pub struct TaskQueues {
    /// Calls to the platform and between instances, and signals. They are few and
    /// short, and run first.
    pub control: Rc<LocalExecutor<'static>>,
    /// Health checks, and clients that have not proved that they are instances.
    pub probes: Rc<LocalExecutor<'static>>,
    /// Callers' requests.
    pub requests: Rc<LocalExecutor<'static>>,
}

impl TaskQueues {
    /// Runs the tasks of both queues until `main` has finished.
    pub async fn run<T>(&self, main: impl Future<Output = T>) -> T {
        main.or(self.run_forever()).await
    }

    async fn run_forever<T>(&self) -> T {
        loop {
            if self.run_steps() {
                yield_now().await;
            } else {
                let others = self.probes.tick().or(self.requests.tick());
                self.control.tick().or(others).await;
            }
        }
    }

    /// Runs up to [`STEPS_PER_POLL`] request steps, and before each one all control tasks
    /// that are ready and one step of a probe. Returns whether more may be ready.
    fn run_steps(&self) -> bool {
        for _ in 0..STEPS_PER_POLL {
            while self.control.try_tick() {}
            let has_probed = self.probes.try_tick();
            if !self.requests.try_tick() && !has_probed {
                return false;
            }
        }
        true
    }
}
