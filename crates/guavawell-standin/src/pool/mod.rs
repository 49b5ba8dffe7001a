//! The threads that all stand-ins of a process share.
//!
//! Owns the executor, which lasts as long as the process. It knows nothing of
//! what runs there.

use std::future::Future;
use std::future::pending;
use std::sync::LazyLock;
use std::thread;

use smol::Executor;
use smol::Task;

/// Most threads of the pool; the load tool and the routers need the others.
const MAX_THREADS: usize = 4;

static EXECUTOR: LazyLock<&'static Executor<'static>> = LazyLock::new(start_threads);

/// Runs a future on the pool; dropping the task cancels the future.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(future)
}

fn start_threads() -> &'static Executor<'static> {
    let executor: &'static Executor<'static> = Box::leak(Box::new(Executor::new()));
    for number in 0..thread_count() {
        thread::Builder::new()
            .name(format!("standin-{number}"))
            .spawn(|| smol::block_on(executor.run(pending::<()>())))
            .expect("the system refuses a thread for the stand-ins");
    }
    executor
}

fn thread_count() -> usize {
    let available = thread::available_parallelism().map_or(1, usize::from);
    available.min(MAX_THREADS)
}
