//! The interface to the platform's transactional rows.

use std::fmt;
use std::future::Future;
use std::pin::Pin;

use guavawell_core::clock::ClockTime;
use thiserror::Error;

/// A future that runs on the process's single thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Names a row. A transaction of the store may touch rows of one part only.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RowKey {
    /// The table.
    pub table: &'static str,
    /// The part of the table.
    pub part: Box<str>,
    /// The key within the part.
    pub key: Box<str>,
}

impl fmt::Display for RowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}", self.table, self.part, self.key)
    }
}

/// The state of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowState {
    /// The version; 0 if the row does not exist.
    pub version: u64,
    /// The value; `None` if the row does not exist.
    pub value: Option<Box<[u8]>>,
    /// The store's monotonic time when it answered.
    pub time: Option<ClockTime>,
    /// The newest version of any row when the store answered.
    pub newest: u64,
}

/// Rows of a table that have changed since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChanges {
    /// Part and state of each changed row, oldest change first.
    pub rows: Vec<(Box<str>, RowState)>,
    /// The version from which to read the next changes.
    pub newest: u64,
}

/// The answer to a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteAnswer {
    /// The write succeeded: the row's new version and the store's time.
    Done(u64, Option<ClockTime>),
    /// The row has another version; nothing was written.
    Changed(RowState),
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreFault {
    /// Nothing was done: the call was not sent, or the store rejected it.
    #[error("request was not executed: {0}")]
    NotDone(Box<str>),
    /// Nothing was done: the store rejected the call because of its rate limit.
    #[error("rate limit exceeded")]
    Limited,
    /// The call may have been executed, or may be executed later.
    #[error("request may have been executed: {0}")]
    Unknown(Box<str>),
    /// The store no longer keeps the requested changes.
    #[error("requested changes are no longer kept")]
    HistoryGone,
}

/// Reads a row.
pub type ReadRow = Box<dyn Fn(RowKey) -> LocalFuture<Result<RowState, StoreFault>>>;
/// Writes a row if it still has the given version.
pub type WriteRow =
    Box<dyn Fn(RowKey, u64, Vec<u8>) -> LocalFuture<Result<WriteAnswer, StoreFault>>>;

/// Reads the changes of a table since a version, without waiting for new ones.
pub type ReadChanges =
    Box<dyn Fn(&'static str, u64) -> LocalFuture<Result<RowChanges, StoreFault>>>;

/// Key and state of each row.
pub type KeyedRows = Vec<(Box<str>, RowState)>;

/// Reads all rows in the unnamed part of a table.
pub type ReadTable = Box<dyn Fn(&'static str) -> LocalFuture<Result<KeyedRows, StoreFault>>>;

/// Access to the platform's rows.
pub struct RowStore {
    /// Reads a row.
    pub read: ReadRow,
    /// Writes a row conditionally.
    pub write: WriteRow,
    /// Reads the changes of a table.
    pub changes: ReadChanges,
    /// Reads the unnamed part of a table.
    pub table: ReadTable,
}

impl fmt::Debug for RowStore {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("RowStore")
    }
}
