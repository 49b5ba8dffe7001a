//! Where a router's tasks run: a few threads on one executor.
//!
//! Tasks hold only weak handles to the executor. When the router stops, the
//! executor and with it every task and every open connection is dropped, just
//! as at a crash.

use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::Weak;
use std::thread::JoinHandle;

use smol::Executor;
use smol::channel;
use smol::channel::Sender;
use smol::future::FutureExt;
use smol::future::yield_now;

use crate::drill::LinkGate;

/// Spawns tasks; clones spawn on the same threads.
#[derive(Clone, Debug)]
pub struct TaskSpawner(Weak<Executor<'static>>);

/// The threads that run a router's tasks.
#[derive(Debug)]
pub struct TaskThreads {
    executor: Mutex<Option<Arc<Executor<'static>>>>,
    stop: Sender<()>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

/// Tasks run between two looks at the sockets.
///
/// The executor's own `run` looks only after 200 tasks, which lets a few quick
/// connections keep all others waiting for milliseconds.
const TASKS_A_LOOK: usize = 16;

async fn drive<T>(executor: &Executor<'static>) -> T {
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

impl TaskSpawner {
    /// Runs `task` on the threads; after their stop it is dropped at once.
    pub fn spawn(&self, task: impl Future<Output: Send> + Send + 'static) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(task).detach();
        }
    }
}

impl TaskThreads {
    /// Starts `count` threads, one at least; `gate` can freeze them.
    ///
    /// # Errors
    ///
    /// No thread can be started.
    pub fn start(name: &str, count: usize, gate: &LinkGate) -> io::Result<Self> {
        let executor: Arc<Executor<'static>> = Arc::default();
        let (stop, stopped) = channel::bounded::<()>(1);
        let mut threads = Vec::new();
        for index in 0..count.max(1) {
            let executor = Arc::clone(&executor);
            let stopped = stopped.clone();
            let gate = gate.clone();
            let builder = std::thread::Builder::new().name(format!("{name}-{index}"));
            threads.push(builder.spawn(move || {
                // Ends when the channel is closed; nothing is ever sent.
                let run = drive(&executor).or(stopped.recv());
                let mut run = pin!(run);
                let _ = smol::block_on(poll_fn(|context| {
                    gate.wait_while_paused();
                    run.as_mut().poll(context)
                }));
            })?);
        }
        Ok(Self {
            executor: Mutex::new(Some(executor)),
            stop,
            threads: Mutex::new(threads),
        })
    }

    /// A way to spawn tasks.
    #[must_use]
    pub fn spawner(&self) -> TaskSpawner {
        let executor = self.executor.lock().unwrap_or_else(PoisonError::into_inner);
        TaskSpawner(executor.as_ref().map_or_else(Weak::new, Arc::downgrade))
    }

    /// Stops the threads and drops every task. Not to be called on one of them.
    pub fn stop(&self) {
        self.stop.close();
        let mut threads = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
        for thread in threads.drain(..) {
            if thread.join().is_err() {
                log::error!("a thread of the router panicked");
            }
        }
        let executor = self
            .executor
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        drop(executor);
    }
}

impl Drop for TaskThreads {
    fn drop(&mut self) {
        self.stop();
    }
}
