//! Spawns tasks on a thread's executor without keeping the executor alive.

use std::future::Future;
use std::rc::Rc;
use std::rc::Weak;

use smol::LocalExecutor;

/// Spawns tasks on a thread's executor.
///
/// Tasks hold spawners, and the executor holds tasks: were the spawner to own
/// the executor, neither would ever be freed.
#[derive(Clone, Debug)]
pub struct TaskSpawner {
    executor: Weak<LocalExecutor<'static>>,
}

impl TaskSpawner {
    /// A spawner on `executor`.
    pub fn new(executor: &Rc<LocalExecutor<'static>>) -> Self {
        Self {
            executor: Rc::downgrade(executor),
        }
    }

    /// Runs `task` beside the others; drops it if the thread is ending.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }
}
