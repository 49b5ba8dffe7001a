//! Freezes threads, as a stopped or swapped-out process would be.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Holds threads while it is set.
#[derive(Debug, Default)]
pub(super) struct PauseSwitch {
    /// Read without the lock, so that an unused switch costs one load.
    paused: AtomicBool,
    lock: Mutex<()>,
    changed: Condvar,
}

impl PauseSwitch {
    pub fn set(&self, paused: bool) {
        let guard = self.lock.lock().unwrap_or_else(PoisonError::into_inner);
        self.paused.store(paused, Ordering::Release);
        drop(guard);
        self.changed.notify_all();
    }

    pub fn is_set(&self) -> bool {
        self.paused.load(Ordering::Relaxed)
    }

    /// Blocks the calling thread while the switch is set.
    pub fn wait(&self) {
        if !self.is_set() {
            return;
        }
        let mut guard = self.lock.lock().unwrap_or_else(PoisonError::into_inner);
        while self.paused.load(Ordering::Acquire) {
            guard = self
                .changed
                .wait(guard)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }
}
