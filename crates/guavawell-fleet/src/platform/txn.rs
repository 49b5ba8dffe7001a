//! Typed transactions of the table service.

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRow {
    /// The row's key.
    pub key: Box<str>,
    /// The row's value, as written.
    pub value: Box<[u8]>,
    /// The revision at which the key was created.
    pub create_revision: u64,
    /// The revision of the last write.
    pub mod_revision: u64,
    /// Writes since the key was created; 1 for a new key.
    pub version: u64,
}

/// How a compare relates the stored number or value to the given one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompareSign {
    /// The stored one is the same.
    Equal,
    /// The stored one is greater.
    Greater,
    /// The stored one is less.
    Less,
    /// The stored one differs.
    NotEqual,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableCompare {
    /// On the revision of the key's last write; 0 where the key is absent.
    Mod {
        /// The key compared.
        key: Box<str>,
        /// The relation.
        sign: CompareSign,
        /// The revision expected.
        revision: u64,
    },
    /// On the revision at which the key was created; 0 where it is absent.
    Create {
        /// The key compared.
        key: Box<str>,
        /// The relation.
        sign: CompareSign,
        /// The revision expected.
        revision: u64,
    },
    /// On the number of writes since the key was created; 0 where it is absent.
    Version {
        /// The key compared.
        key: Box<str>,
        /// The relation.
        sign: CompareSign,
        /// The version expected.
        version: u64,
    },
    /// On the key's value; fails where the key is absent.
    Value {
        /// The key compared.
        key: Box<str>,
        /// The relation.
        sign: CompareSign,
        /// The value expected.
        value: Box<[u8]>,
    },
}

impl TableCompare {
    /// The key does not exist.
    #[must_use]
    pub fn absent(key: &str) -> Self {
        Self::Create {
            key: key.into(),
            sign: CompareSign::Equal,
            revision: 0,
        }
    }

    /// The key was last written at `revision`; 0 for an absent key.
    #[must_use]
    pub fn unchanged(key: &str, revision: u64) -> Self {
        Self::Mod {
            key: key.into(),
            sign: CompareSign::Equal,
            revision,
        }
    }

    /// The key holds `value`.
    #[must_use]
    pub fn holds(key: &str, value: &[u8]) -> Self {
        Self::Value {
            key: key.into(),
            sign: CompareSign::Equal,
            value: value.into(),
        }
    }
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableOp {
    /// Writes a row.
    Put {
        /// The key.
        key: Box<str>,
        /// The new value.
        value: Box<[u8]>,
    },
    /// Reads one row.
    Get {
        /// The key.
        key: Box<str>,
    },
    /// Reads the rows whose key begins with `prefix`.
    Prefix {
        /// The prefix; not empty.
        prefix: Box<str>,
        /// The most rows returned; 0 for all.
        limit: u64,
    },
    /// Deletes one row.
    Delete {
        /// The key.
        key: Box<str>,
    },
}

impl TableOp {
    /// Writes `value` at `key`.
    #[must_use]
    pub fn put(key: &str, value: impl Into<Box<[u8]>>) -> Self {
        Self::Put {
            key: key.into(),
            value: value.into(),
        }
    }

    /// Reads the row at `key`.
    #[must_use]
    pub fn get(key: &str) -> Self {
        Self::Get { key: key.into() }
    }

    /// Deletes the row at `key`.
    #[must_use]
    pub fn delete(key: &str) -> Self {
        Self::Delete { key: key.into() }
    }
}

/// A transaction: if every compare holds then `success`, else `failure`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableTxn {
    /// The conditions.
    pub compares: Vec<TableCompare>,
    /// Applied where all conditions hold.
    pub success: Vec<TableOp>,
    /// Applied otherwise; usually reads that tell why.
    pub failure: Vec<TableOp>,
}

impl TableTxn {
    /// Whether either branch changes a row.
    #[must_use]
    pub fn writes(&self) -> bool {
        let changes = |op: &TableOp| matches!(op, TableOp::Put { .. } | TableOp::Delete { .. });
        self.success.iter().any(changes) || self.failure.iter().any(changes)
    }
}

/// The answer to one operation, in the order of the branch taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpAnswer {
    /// The row was written.
    Put,
    /// The rows read.
    Rows {
        /// The rows, sorted by key.
        rows: Vec<TableRow>,
        /// Whether further rows lie behind the limit.
        more: bool,
    },
    /// The rows deleted.
    Deleted {
        /// How many rows there were.
        count: u64,
    },
}

/// The answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnAnswer {
    /// Whether the conditions held, and so `success` was applied.
    pub succeeded: bool,
    /// The table's revision after the transaction.
    pub revision: u64,
    /// The answers to the operations of the branch taken.
    pub answers: Vec<OpAnswer>,
}

impl TxnAnswer {
    /// The first row read by the operation at `index`, if any.
    #[must_use]
    pub fn row(&self, index: usize) -> Option<&TableRow> {
        match self.answers.get(index)? {
            OpAnswer::Rows { rows, .. } => rows.first(),
            OpAnswer::Put | OpAnswer::Deleted { .. } => None,
        }
    }
}
