//! The table's rows of retention, and deletes of what is due.

use guavawell_core::platform::WriteClass;
use guavawell_core::retention::CLAIM_PREFIX;
use guavawell_core::retention::GENERATION_KEY;
use guavawell_core::retention::KeyRevision;
use guavawell_core::retention::RetentionView;
use guavawell_core::retention::RetentionWrite;
use guavawell_core::retention::SWEEP_KEY;
use guavawell_core::retention::plan_page;
use serde::de::DeserializeOwned;

use crate::platform::PlatformError;
use crate::platform::Table;
use crate::platform::TableCompare;
use crate::platform::TableOp;
use crate::platform::TableRow;
use crate::platform::TableTxn;

/// Rows looked at in one page.
pub const PAGE_ROWS: u64 = 500;

/// Rows deleted in one transaction; etcd takes 128 operations.
const DELETE_ROWS: usize = 100;

/// A page of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageAsk<'a> {
    /// What their keys begin with.
    pub prefix: &'a str,
    /// The last key looked at before.
    pub after: Option<&'a str>,
    /// Most rows.
    pub most: u64,
}

impl<'a> PageAsk<'a> {
    /// A page of all claims behind `after`.
    #[must_use]
    pub const fn all(after: Option<&'a str>) -> Self {
        Self {
            prefix: CLAIM_PREFIX,
            after,
            most: PAGE_ROWS,
        }
    }
}

/// What a page came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PageReport {
    /// Rows looked at.
    pub seen: u64,
    /// Rows that were due.
    pub due: u64,
    /// Rows deleted, as far as an answer tells.
    pub deleted: u64,
    /// Whether some due rows may still be there.
    pub is_open: bool,
    /// The last key looked at; `None` behind the last page.
    pub cursor: Option<Box<str>>,
}

/// The table, as retention uses it.
#[derive(Clone, Debug)]
pub struct RetentionTable {
    table: Table,
}

impl RetentionTable {
    /// Retention over `table`.
    #[must_use]
    pub const fn new(table: Table) -> Self {
        Self { table }
    }

    /// Reads both rows in one transaction.
    ///
    /// # Errors
    ///
    /// [`PlatformError`]; a row that cannot be read counts as refused.
    pub async fn read(&self) -> Result<RetentionView, PlatformError> {
        let txn = TableTxn {
            success: vec![TableOp::get(GENERATION_KEY), TableOp::get(SWEEP_KEY)],
            ..TableTxn::default()
        };
        let answer = self.table.txn(&txn, WriteClass::Rest).await?;
        let revision = |row: Option<&TableRow>| row.map_or(0, |row| row.mod_revision);
        Ok(RetentionView {
            generation: parse(answer.row(0))?,
            generation_revision: revision(answer.row(0)),
            sweep: parse(answer.row(1))?,
            sweep_revision: revision(answer.row(1)),
        })
    }

    /// Writes what the keeper decided over `view`; whether it was the first to.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::Lost`] it may have been written: read again.
    pub async fn write(
        &self,
        view: &RetentionView,
        write: &RetentionWrite,
    ) -> Result<bool, PlatformError> {
        let mut success = vec![TableOp::put(SWEEP_KEY, json(&write.sweep))];
        if let Some(generation) = &write.advance {
            success.push(TableOp::put(GENERATION_KEY, json(generation)));
        }
        let txn = TableTxn {
            compares: vec![
                TableCompare::unchanged(GENERATION_KEY, view.generation_revision),
                TableCompare::unchanged(SWEEP_KEY, view.sweep_revision),
            ],
            success,
            failure: Vec::new(),
        };
        Ok(self.table.txn(&txn, WriteClass::Rest).await?.succeeded)
    }

    /// Looks at one page of the claims that `ask` names; deletes what was last
    /// written before `due_before`, unless it is only a preview.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] of the read. A delete that fails leaves the page open.
    pub async fn sweep_page(
        &self,
        ask: &PageAsk<'_>,
        due_before: u64,
        preview: bool,
    ) -> Result<PageReport, PlatformError> {
        let scan = self.table.scan(ask.prefix, ask.after, ask.most).await?;
        let seen = count_of(scan.rows.len());
        let page: Vec<KeyRevision> = scan.rows.into_iter().map(aged_key).collect();
        let step = plan_page(page, scan.more, due_before);
        let mut report = PageReport {
            seen,
            due: count_of(step.due.len()),
            cursor: step.cursor,
            ..PageReport::default()
        };
        if preview {
            return Ok(report);
        }
        for rows in step.due.chunks(DELETE_ROWS) {
            match self.table.txn(&delete(rows), WriteClass::Rest).await {
                Ok(answer) if answer.succeeded => report.deleted += count_of(rows.len()),
                // Another write or sweep came first, or nobody knows: a second
                // look at the page tells.
                Ok(_) | Err(_) => report.is_open = true,
            }
        }
        Ok(report)
    }
}

fn aged_key(row: TableRow) -> KeyRevision {
    KeyRevision {
        key: row.key,
        mod_revision: row.mod_revision,
    }
}

fn delete(rows: &[KeyRevision]) -> TableTxn {
    let compare = |row: &KeyRevision| TableCompare::unchanged(&row.key, row.mod_revision);
    TableTxn {
        compares: rows.iter().map(compare).collect(),
        success: rows.iter().map(|row| TableOp::delete(&row.key)).collect(),
        failure: Vec::new(),
    }
}

fn parse<T: DeserializeOwned + Default>(row: Option<&TableRow>) -> Result<T, PlatformError> {
    let Some(row) = row else {
        return Ok(T::default());
    };
    serde_json::from_slice(&row.value)
        .map_err(|error| PlatformError::Refused(format!("row `{}`: {error}", row.key).into()))
}

fn json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("a row of retention serialises")
}

fn count_of(len: usize) -> u64 {
    u64::try_from(len).unwrap_or(u64::MAX)
}
