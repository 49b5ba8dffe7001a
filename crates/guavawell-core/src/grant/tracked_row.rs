//! A stored row as its writer knows it, including writes without an answer.

/// The last known state of a row and the writes that may still replace it.
///
/// Every write is conditional on the version of the last known state. So at
/// most one of several unanswered writes is applied, and none of them once a
/// later version has been read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrackedRow<T> {
    version: u64,
    known: Option<T>,
    read: bool,
    pending: Vec<T>,
    /// A write is in flight: neither answered nor given up.
    writing: bool,
}

impl<T> Default for TrackedRow<T> {
    fn default() -> Self {
        Self {
            version: 0,
            known: None,
            read: false,
            pending: Vec::new(),
            writing: false,
        }
    }
}

impl<T> TrackedRow<T> {
    /// Whether the state of the row is known. Nothing may be written before.
    #[must_use]
    pub const fn is_read(&self) -> bool {
        self.read
    }

    /// The version that the next write is conditional on; 0 if there is no row.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The last known state, if there is a row.
    #[must_use]
    pub const fn known(&self) -> Option<&T> {
        self.known.as_ref()
    }

    /// Whether a write is unanswered and may still be applied.
    #[must_use]
    pub const fn has_pending_writes(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The number of unanswered writes.
    #[must_use]
    pub const fn pending_writes(&self) -> usize {
        self.pending.len()
    }

    /// Records a write that is about to be sent.
    pub fn write_sent(&mut self, row: T) {
        self.writing = true;
        self.pending.push(row);
    }

    /// Records that the last write was applied and created `version`. This has
    /// no effect if that version or a later one was read before the answer
    /// arrived.
    pub fn write_confirmed(&mut self, version: u64) {
        self.writing = false;
        if self.read && version <= self.version {
            return;
        }
        self.known = self.pending.pop();
        self.version = version;
        self.read = true;
        self.pending.clear();
    }

    /// Records that the last write was not applied and never will be.
    pub fn write_rejected(&mut self) {
        self.writing = false;
        self.pending.pop();
    }

    /// Records that the last write was given up without an answer. It may still
    /// be applied.
    pub const fn write_unanswered(&mut self) {
        self.writing = false;
    }

    /// Whether a write is in flight. Only one may be, so that an answer always
    /// belongs to the newest pending write.
    #[must_use]
    pub const fn is_writing(&self) -> bool {
        self.writing
    }

    /// Records a read of the row, `None` if there is no row. A read that is
    /// older than the known state is ignored.
    pub fn row_read(&mut self, version: u64, row: Option<T>) {
        if !self.read || version > self.version {
            self.known = row;
            self.version = version;
            self.pending.clear();
        }
        self.read = true;
    }

    /// The minimum of a figure over all states that may be in force. It is 0
    /// for a row that does not exist.
    pub fn min_of(&self, figure: impl Fn(&T) -> u64) -> u64 {
        let known = self.known.as_ref().map_or(0, &figure);
        self.pending.iter().map(&figure).fold(known, u64::min)
    }

    /// The maximum of a figure over all states that may be in force. It is 0
    /// for a row that does not exist.
    pub fn max_of(&self, figure: impl Fn(&T) -> u64) -> u64 {
        let known = self.known.as_ref().map_or(0, &figure);
        self.pending.iter().map(&figure).fold(known, u64::max)
    }
}
