//! Taking a mutex whose holder may have panicked.
//!
//! A panic in a handler must not take the stand-in with it. It knows nothing of
//! what is locked.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Locks `mutex`; a panic of an earlier holder does not spread.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
