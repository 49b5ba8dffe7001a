//! Counts bytes as on the wire.

use std::cell::Cell;

use guavawell_core::forward::wire_bytes;

/// Counts the bytes of a kind of connection, as on the wire.
#[derive(Debug, Default)]
pub struct ByteMeter {
    received: Cell<u64>,
    sent: Cell<u64>,
}

impl ByteMeter {
    /// Counts content that was read at once.
    pub fn note_received(&self, content: usize) {
        add(&self.received, content);
    }

    /// Counts content that was written at once.
    pub fn note_sent(&self, content: usize) {
        add(&self.sent, content);
    }

    /// Bytes on the wire that were received.
    #[must_use]
    pub const fn received(&self) -> u64 {
        self.received.get()
    }

    /// Bytes on the wire that were sent.
    #[must_use]
    pub const fn sent(&self) -> u64 {
        self.sent.get()
    }

    /// Returns the bytes received and sent since the last call.
    pub(super) fn take(&self) -> (u64, u64) {
        (self.received.take(), self.sent.take())
    }
}

fn add(total: &Cell<u64>, content: usize) {
    let content = u64::try_from(content).unwrap_or(u64::MAX);
    total.set(total.get().saturating_add(wire_bytes(content)));
}
