//! Bounds what the bodies of all requests take in memory together.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// The memory for bodies.
#[derive(Debug)]
pub struct BodyMemory {
    limit: usize,
    taken: AtomicUsize,
}

impl BodyMemory {
    /// Memory for bodies of `limit` bytes in all.
    #[must_use]
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            taken: AtomicUsize::new(0),
        })
    }

    /// Reserves memory until the returned share is dropped; `None` if there is not as much.
    #[must_use]
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<BodyShare> {
        let add = |taken: usize| taken.checked_add(bytes).filter(|sum| *sum <= self.limit);
        let reserved = self
            .taken
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
        reserved.ok().map(|_| BodyShare {
            memory: Arc::clone(self),
            bytes,
        })
    }

    /// Bytes that are reserved.
    #[must_use]
    pub fn taken(&self) -> usize {
        self.taken.load(Ordering::Acquire)
    }
}

/// The memory of one body, until it is dropped.
#[derive(Debug)]
pub struct BodyShare {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl BodyShare {
    /// Gives back what the body, of this length, does not take.
    pub fn shrink(&mut self, bytes: usize) {
        let spare = self.bytes.saturating_sub(bytes);
        self.memory.taken.fetch_sub(spare, Ordering::AcqRel);
        self.bytes -= spare;
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.memory.taken.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
