//! Counting and capping of writes and reads.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::lock::lock;

const WINDOW: Duration = Duration::from_secs(1);

/// What the platform was asked for since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Transactions that may write, and objects put.
    pub writes: u64,
    /// Ranges, transactions without a write, objects read, lists.
    pub reads: u64,
    /// Writes and reads turned away over a cap.
    pub capped: u64,
}

/// The kind of an operation, for counting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OperationKind {
    Write,
    Read,
}

/// Counts every operation and turns away what passes a cap.
#[derive(Debug)]
pub(super) struct OperationCounter {
    writes: AtomicU64,
    reads: AtomicU64,
    capped: AtomicU64,
    write_cap: RateCap,
    read_cap: RateCap,
}

impl OperationCounter {
    pub(super) fn new(write_cap: u64, read_cap: u64) -> Self {
        Self {
            writes: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            capped: AtomicU64::new(0),
            write_cap: RateCap::new(write_cap),
            read_cap: RateCap::new(read_cap),
        }
    }

    /// Sets both caps anew; zero is without cap.
    pub(super) fn set_caps(&self, write_cap: u64, read_cap: u64) {
        self.write_cap.most.store(write_cap, Ordering::Relaxed);
        self.read_cap.most.store(read_cap, Ordering::Relaxed);
    }

    /// Counts an operation; false if it passes its cap.
    pub(super) fn admit(&self, kind: OperationKind) -> bool {
        let (count, cap) = match kind {
            OperationKind::Write => (&self.writes, &self.write_cap),
            OperationKind::Read => (&self.reads, &self.read_cap),
        };
        count.fetch_add(1, Ordering::Relaxed);
        let admitted = cap.admit(Instant::now());
        if !admitted {
            self.capped.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }

    pub(super) fn counts(&self) -> PlatformCounts {
        PlatformCounts {
            writes: self.writes.load(Ordering::Relaxed),
            reads: self.reads.load(Ordering::Relaxed),
            capped: self.capped.load(Ordering::Relaxed),
        }
    }
}

/// A cap over windows of a second.
#[derive(Debug)]
struct RateCap {
    most: AtomicU64,
    window: Mutex<CapWindow>,
}

#[derive(Debug)]
struct CapWindow {
    started: Instant,
    used: u64,
}

impl RateCap {
    fn new(most: u64) -> Self {
        let window = CapWindow {
            started: Instant::now(),
            used: 0,
        };
        Self {
            most: AtomicU64::new(most),
            window: Mutex::new(window),
        }
    }

    fn admit(&self, now: Instant) -> bool {
        let most = self.most.load(Ordering::Relaxed);
        if most == 0 {
            return true;
        }
        let mut window = lock(&self.window);
        if now.duration_since(window.started) >= WINDOW {
            window.started = now;
            window.used = 0;
        }
        window.used += 1;
        window.used <= most
    }
}
