//! Runs a concurrent unit test in every interleaving.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Runs `body` in every execution that `loom` explores, and prints their number.
pub(crate) fn explore(name: &str, body: impl Fn() + Send + Sync + 'static) {
    let count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&count);
    loom::model(move || {
        counter.fetch_add(1, Ordering::Relaxed);
        body();
    });
    println!("{name}: {} executions", count.load(Ordering::Relaxed));
}
