//! One row of the store as a writer knows it, lost answers included.

/// A row's last known state and the writes that may still replace it.
///
/// Every write is conditional on the version of the last known state, so of
/// several unanswered writes one at most lands, and none of them once a later
/// version has been seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowVersions<T> {
    version: u64,
    known: Option<T>,
    read: bool,
    pending: Vec<T>,
    /// A write was sent and neither answered nor given up.
    writing: bool,
}

impl<T> Default for RowVersions<T> {
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

impl<T> RowVersions<T> {
    /// Whether the row was ever read; before that nothing may be written.
    #[must_use]
    pub const fn is_read(&self) -> bool {
        self.read
    }

    /// The version that the next write depends on; 0 if there is no row.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The last known state, if there is a row.
    #[must_use]
    pub const fn known(&self) -> Option<&T> {
        self.known.as_ref()
    }

    /// Whether a write is unanswered.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        !self.pending.is_empty()
    }

    /// How many writes are unanswered.
    #[must_use]
    pub const fn open_writes(&self) -> usize {
        self.pending.len()
    }

    /// A write is about to be sent.
    pub fn sent(&mut self, row: T) {
        self.writing = true;
        self.pending.push(row);
    }

    /// The write sent last was carried out. A read may have shown it, or what
    /// followed it, before its answer came.
    pub fn stands(&mut self, version: u64) {
        self.writing = false;
        if self.read && version <= self.version {
            return;
        }
        self.known = self.pending.pop();
        self.version = version;
        self.read = true;
        self.pending.clear();
    }

    /// The write sent last was not and will not be carried out.
    pub fn dropped(&mut self) {
        self.writing = false;
        self.pending.pop();
    }

    /// The write sent last has no answer and will get none.
    pub const fn lost(&mut self) {
        self.writing = false;
    }

    /// Whether a write is on its way. Only one may be, so that an answer
    /// belongs to the newest open write.
    #[must_use]
    pub const fn is_writing(&self) -> bool {
        self.writing
    }

    /// The row was read: `None` if there is none. Reads that are older than
    /// what is known say nothing.
    pub fn seen(&mut self, version: u64, row: Option<T>) {
        if !self.read || version > self.version {
            self.known = row;
            self.version = version;
            self.pending.clear();
        }
        self.read = true;
    }

    /// The least of a figure over all states that may be in force.
    pub fn least(&self, figure: impl Fn(&T) -> u64) -> u64 {
        let known = self.known.as_ref().map_or(0, &figure);
        self.pending.iter().map(&figure).fold(known, u64::min)
    }

    /// The most of a figure over all states that may be in force.
    pub fn most(&self, figure: impl Fn(&T) -> u64) -> u64 {
        let known = self.known.as_ref().map_or(0, &figure);
        self.pending.iter().map(&figure).fold(known, u64::max)
    }
}
