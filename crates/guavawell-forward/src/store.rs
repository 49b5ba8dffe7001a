//! The one interface to a platform's transactional rows.

use std::fmt;
use std::future::Future;
use std::pin::Pin;

use guavawell_core::clock::ClockTime;
use thiserror::Error;

/// A future on this process's one thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Names a row. Rows of one part change together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RowKey {
    /// The table.
    pub table: &'static str,
    /// The part of the table.
    pub part: Box<str>,
    /// The key in the part.
    pub key: Box<str>,
}

impl fmt::Display for RowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}", self.table, self.part, self.key)
    }
}

/// A row's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowState {
    /// The row's version; 0 if there is no row.
    pub version: u64,
    /// The row's value, if there is a row.
    pub value: Option<Box<[u8]>>,
    /// The store's steady time when it answered.
    pub time: Option<ClockTime>,
    /// The newest version of any row when it answered.
    pub newest: u64,
}

/// Rows of a table that changed after a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChanges {
    /// Part and state of each changed row, oldest change first.
    pub rows: Vec<(Box<str>, RowState)>,
    /// The version to ask after next.
    pub newest: u64,
}

/// The answer to a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteAnswer {
    /// The row has the new value, with this version, at the store's time.
    Done(u64, Option<ClockTime>),
    /// The row has another version; nothing was done.
    Changed(RowState),
}

/// Why the store gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreFault {
    /// Nothing was done: the call was not sent, or was turned down.
    #[error("not done: {0}")]
    NotDone(Box<str>),
    /// Nothing was done: calls come faster than the store carries them out.
    #[error("turned down for its rate")]
    Limited,
    /// The call may have been carried out, or may be later.
    #[error("outcome unknown: {0}")]
    Unknown(Box<str>),
    /// The changes that were asked for are no longer kept.
    #[error("history gone")]
    HistoryGone,
}

/// Reads a row.
pub type ReadRow = Box<dyn Fn(RowKey) -> LocalFuture<Result<RowState, StoreFault>>>;
/// Writes a row if it still has the given version.
pub type WriteRow =
    Box<dyn Fn(RowKey, u64, Vec<u8>) -> LocalFuture<Result<WriteAnswer, StoreFault>>>;

/// Reads the changes of a table after a version, without waiting for more.
pub type ReadChanges =
    Box<dyn Fn(&'static str, u64) -> LocalFuture<Result<RowChanges, StoreFault>>>;

/// Key and state of each row.
pub type KeyedRows = Vec<(Box<str>, RowState)>;

/// Reads all rows of a table's unnamed part.
pub type ReadTable = Box<dyn Fn(&'static str) -> LocalFuture<Result<KeyedRows, StoreFault>>>;

/// Rows of the platform.
pub struct RowStore {
    /// Reads a row.
    pub read: ReadRow,
    /// Writes a row under a condition.
    pub write: WriteRow,
    /// Reads changes.
    pub changes: ReadChanges,
    /// Reads a table's unnamed part.
    pub table: ReadTable,
}

impl fmt::Debug for RowStore {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("RowStore")
    }
}
