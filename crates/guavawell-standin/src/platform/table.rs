//! The table's rows and the rules of a transaction, without any protocol.

use std::ops::Range;
use std::sync::Arc;

/// A key or a value.
pub(super) type TableBytes = Box<[u8]>;

/// One row with its revisions, as etcd counts them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct TableRow {
    pub key: TableBytes,
    pub value: TableBytes,
    /// Revision of the transaction that created the row.
    pub create_revision: u64,
    /// Revision of the transaction that last wrote the row.
    pub mod_revision: u64,
    /// Number of writes since the creation; 1 for a new row.
    pub version: u64,
}

/// The keys from `first` up to `end`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct KeyRange {
    pub first: TableBytes,
    /// Empty: only `first`. A single zero byte: every key from `first` on.
    pub end: TableBytes,
}

/// What a condition looks at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CompareTarget {
    Create(u64),
    Mod(u64),
    Version(u64),
    Value(TableBytes),
}

/// How a condition compares the row with the given value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CompareResult {
    Equal,
    Greater,
    Less,
    NotEqual,
}

/// One condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RowCompare {
    pub key: TableBytes,
    pub target: CompareTarget,
    pub result: CompareResult,
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TableOperation {
    Put { key: TableBytes, value: TableBytes },
    Range { range: KeyRange, limit: usize },
    Delete { range: KeyRange },
}

/// The answer to one operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OperationAnswer {
    Put,
    Range(RangeAnswer),
    Delete { deleted: u64 },
}

/// The rows of a range, in order of their keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RangeAnswer {
    pub rows: Vec<Arc<TableRow>>,
    /// True if `limit` cut the rows short.
    pub more: bool,
    /// Rows in the range, whatever the limit.
    pub count: usize,
}

/// All rows, sorted by key.
#[derive(Debug)]
pub(super) struct TableStore {
    rows: Vec<Arc<TableRow>>,
    revision: u64,
}

impl Default for TableStore {
    fn default() -> Self {
        Self {
            rows: Vec::new(),
            revision: 1,
        }
    }
}

impl TableStore {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn holds(&self, compare: &RowCompare) -> bool {
        let row = self.find(&compare.key).ok().map(|index| &self.rows[index]);
        let ordering = match &compare.target {
            CompareTarget::Create(number) => row.map_or(0, |r| r.create_revision).cmp(number),
            CompareTarget::Mod(number) => row.map_or(0, |r| r.mod_revision).cmp(number),
            CompareTarget::Version(number) => row.map_or(0, |r| r.version).cmp(number),
            // etcd lets a comparison with the value of a missing row fail.
            CompareTarget::Value(value) => match row {
                Some(row) => row.value.cmp(value),
                None => return false,
            },
        };
        match compare.result {
            CompareResult::Equal => ordering.is_eq(),
            CompareResult::Greater => ordering.is_gt(),
            CompareResult::Less => ordering.is_lt(),
            CompareResult::NotEqual => ordering.is_ne(),
        }
    }

    /// Applies operations as one transaction; its writes share one revision.
    pub(super) fn apply(&mut self, operations: &[TableOperation]) -> Vec<OperationAnswer> {
        let revision = self.revision + 1;
        let mut written = false;
        let mut answers = Vec::with_capacity(operations.len());
        for operation in operations {
            let answer = match operation {
                TableOperation::Put { key, value } => {
                    written = true;
                    self.put(key, value, revision)
                }
                TableOperation::Range { range, limit } => {
                    OperationAnswer::Range(self.range(range, *limit))
                }
                TableOperation::Delete { range } => {
                    let deleted = self.delete(range);
                    written |= deleted > 0;
                    OperationAnswer::Delete { deleted }
                }
            };
            answers.push(answer);
        }
        if written {
            self.revision = revision;
        }
        answers
    }

    /// The rows of a range; a limit of zero gives all.
    pub(super) fn range(&self, range: &KeyRange, limit: usize) -> RangeAnswer {
        let rows = &self.rows[self.span(range)];
        let taken = if limit == 0 { rows.len() } else { limit };
        RangeAnswer {
            rows: rows.iter().take(taken).cloned().collect(),
            more: rows.len() > taken,
            count: rows.len(),
        }
    }

    fn put(&mut self, key: &TableBytes, value: &TableBytes, revision: u64) -> OperationAnswer {
        match self.find(key) {
            Ok(index) => {
                let row = Arc::make_mut(&mut self.rows[index]);
                row.value.clone_from(value);
                row.mod_revision = revision;
                row.version += 1;
            }
            Err(index) => {
                let row = TableRow {
                    key: key.clone(),
                    value: value.clone(),
                    create_revision: revision,
                    mod_revision: revision,
                    version: 1,
                };
                self.rows.insert(index, Arc::new(row));
            }
        }
        OperationAnswer::Put
    }

    fn delete(&mut self, range: &KeyRange) -> u64 {
        let span = self.span(range);
        let deleted = self.rows.drain(span).count();
        u64::try_from(deleted).unwrap_or(u64::MAX)
    }

    fn find(&self, key: &[u8]) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| (*row.key).cmp(key))
    }

    fn span(&self, range: &KeyRange) -> Range<usize> {
        let start = self.rows.partition_point(|row| row.key < range.first);
        let end = match &*range.end {
            [] => match self.find(&range.first) {
                Ok(index) => index + 1,
                Err(index) => index,
            },
            [0] => self.rows.len(),
            end => self.rows.partition_point(|row| *row.key < *end),
        };
        start..end.max(start)
    }
}
