//! Carries a holder's or witness's table intents out as transactions.
//!
//! Rows know the changes that they hold, so that every intent may be carried
//! out again: after a lost answer the rows are read back first.

use std::sync::Arc;
use std::time::Duration;

use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::FrozenReport;
use guavawell_core::budget::GrantChange;
use guavawell_core::budget::GrantView;
use guavawell_core::budget::RowChange;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::TableFailure;
use guavawell_core::id::BudgetId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::ShardId;
use guavawell_core::id::TokenCount;
use guavawell_core::platform::WriteClass;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;

use crate::platform::PlatformError;
use crate::platform::Table;
use crate::platform::TableCompare;
use crate::platform::TableOp;
use crate::platform::TableRow;
use crate::platform::TableTxn;

/// Tries of one intent while other holders change the same row.
const MAX_CONFLICTS: usize = 32;

/// Longest wait between two tries, in milliseconds.
const MAX_PAUSE_MS: u64 = 100;

/// What the manifest in force says of a budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetBase {
    /// The organisation that paid.
    pub organisation: OrganisationId,
    /// The sum that the manifest names.
    pub paid: TokenCount,
    /// The manifest's version.
    pub version: ManifestVersion,
}

/// The row of one slot of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardRow {
    /// The slot's shard.
    pub shard: ShardId,
    /// Its row.
    pub row: SlotRow,
}

/// Looks a budget up in the manifest in force.
pub type BaseLookup = Arc<dyn Fn(&BudgetId) -> Option<BudgetBase> + Send + Sync>;

/// The table as slots use it.
#[derive(Clone)]
pub struct SlotTable {
    table: Table,
    base: BaseLookup,
}

/// The key of a slot's row.
#[must_use]
pub fn slot_key(slot: &SlotId) -> String {
    format!("slot/{}/{}", slot.zone, slot.shard)
}

/// The key of a budget's row.
#[must_use]
pub fn budget_key(budget: &BudgetId) -> String {
    format!("budget/{budget}")
}

impl SlotTable {
    /// The table, with a lookup for budgets that have no row yet.
    #[must_use]
    pub fn new(table: Table, base: BaseLookup) -> Self {
        Self { table, base }
    }

    /// Whether the table counts as out.
    #[must_use]
    pub fn is_out(&self) -> bool {
        self.table.is_out()
    }

    /// Reads a slot's row; `None` if nobody has held it yet.
    ///
    /// # Errors
    ///
    /// [`TableFailure::Unreachable`].
    pub async fn read_slot(&self, slot: &SlotId) -> Result<Option<SlotRow>, TableFailure> {
        let read = self
            .table
            .get(&slot_key(slot))
            .await
            .map_err(|error| failure(&error))?;
        parse(read.row.as_ref())
    }

    /// Reads all slot rows of a zone.
    ///
    /// # Errors
    ///
    /// [`TableFailure::Unreachable`].
    pub async fn read_zone(&self, zone: &str) -> Result<Vec<ShardRow>, TableFailure> {
        let prefix = format!("slot/{zone}/");
        let rows = self
            .table
            .range(&prefix)
            .await
            .map_err(|error| failure(&error))?;
        let rows = rows.iter().filter_map(|row| {
            let shard = row.key.strip_prefix(&*prefix)?;
            let held = parse(Some(row)).ok()??;
            Some(ShardRow {
                shard: shard.parse().ok()?,
                row: held,
            })
        });
        Ok(rows.collect())
    }

    /// Replaces a slot's row if it still is `expected`; the row afterwards.
    ///
    /// # Errors
    ///
    /// [`TableFailure::Unreachable`], also if an answer was lost and the row
    /// cannot be read back.
    pub async fn write_slot(
        &self,
        slot: &SlotId,
        expected: Option<&SlotRow>,
        row: &SlotRow,
    ) -> Result<SlotRow, TableFailure> {
        let key = slot_key(slot);
        let compare = match expected {
            None => TableCompare::absent(&key),
            Some(expected) => TableCompare::holds(&key, &encode(expected)),
        };
        let txn = TableTxn {
            compares: vec![compare],
            success: vec![TableOp::put(&key, encode(row))],
            failure: vec![TableOp::get(&key)],
        };
        match self.table.txn(&txn, WriteClass::Money).await {
            Ok(answer) if answer.succeeded => Ok(row.clone()),
            Ok(answer) => parse(answer.row(0))?.ok_or(TableFailure::Unreachable),
            Err(PlatformError::Lost(_)) => {
                self.read_slot(slot).await?.ok_or(TableFailure::Unreachable)
            }
            Err(error) => Err(failure(&error)),
        }
    }

    /// Applies a holder's change of its grant.
    ///
    /// # Errors
    ///
    /// As [`TableFailure`] tells.
    pub async fn change_grant(
        &self,
        budget: &BudgetId,
        change: &GrantChange,
    ) -> Result<GrantView, TableFailure> {
        let key = budget_key(budget);
        let slot = slot_key(&change.slot);
        for tries in 0..MAX_CONFLICTS {
            let (budget_row, slot_row) = self.read_pair(&key, &slot).await?;
            let held: Option<SlotRow> = parse(slot_row.as_ref())?;
            if held.is_none_or(|row| row.tenure != change.tenure) {
                return Err(TableFailure::NotHolder);
            }
            let row = self.current(budget, budget_row.as_ref())?;
            let changed = match row.change_grant(change) {
                Ok(RowChange::Applied) => return Ok(row.view(&change.slot)),
                Ok(RowChange::Write(changed)) => changed,
                Err(error) => return Err(TableFailure::Refused(error)),
            };
            let compares = vec![
                TableCompare::unchanged(&key, revision(budget_row.as_ref())),
                TableCompare::unchanged(&slot, revision(slot_row.as_ref())),
            ];
            if self.put(compares, &key, &changed).await? {
                return Ok(changed.view(&change.slot));
            }
            conflict_pause(tries).await;
        }
        metrics::counter!("guavawell_slot_conflicts_exhausted_total").increment(1);
        Err(TableFailure::Unreachable)
    }

    /// Applies a former holder's late report.
    ///
    /// # Errors
    ///
    /// As [`TableFailure`] tells.
    pub async fn report_frozen(
        &self,
        budget: &BudgetId,
        report: &FrozenReport,
    ) -> Result<(), TableFailure> {
        let key = budget_key(budget);
        for _ in 0..MAX_CONFLICTS {
            let read = self
                .table
                .get(&key)
                .await
                .map_err(|error| failure(&error))?;
            let row = parse::<BudgetRow>(read.row.as_ref())?;
            let row = row.ok_or(TableFailure::NoBudget)?;
            let changed = match row.report_frozen(report) {
                Ok(RowChange::Applied) => return Ok(()),
                Ok(RowChange::Write(changed)) => changed,
                Err(error) => return Err(TableFailure::Refused(error)),
            };
            let compares = vec![TableCompare::unchanged(&key, read.mod_revision())];
            if self.put(compares, &key, &changed).await? {
                return Ok(());
            }
        }
        Err(TableFailure::Unreachable)
    }

    async fn read_pair(
        &self,
        budget: &str,
        slot: &str,
    ) -> Result<(Option<TableRow>, Option<TableRow>), TableFailure> {
        let txn = TableTxn {
            success: vec![TableOp::get(budget), TableOp::get(slot)],
            ..TableTxn::default()
        };
        let answer = self
            .table
            .txn(&txn, WriteClass::Money)
            .await
            .map_err(|error| failure(&error))?;
        Ok((answer.row(0).cloned(), answer.row(1).cloned()))
    }

    /// The budget's row with the manifest in force applied.
    fn current(
        &self,
        budget: &BudgetId,
        row: Option<&TableRow>,
    ) -> Result<BudgetRow, TableFailure> {
        let base = (self.base)(budget);
        let Some(row) = parse::<BudgetRow>(row)? else {
            let base = base.ok_or(TableFailure::NoBudget)?;
            return Ok(BudgetRow::new(base.organisation, base.paid, base.version));
        };
        match base.map(|base| row.set_base(base.version, base.paid)) {
            Some(Ok(RowChange::Write(changed))) => Ok(changed),
            _ => Ok(row),
        }
    }

    /// Whether the write was applied; `false` asks to read and decide anew.
    async fn put<T: Serialize>(
        &self,
        compares: Vec<TableCompare>,
        key: &str,
        value: &T,
    ) -> Result<bool, TableFailure> {
        let txn = TableTxn {
            compares,
            success: vec![TableOp::put(key, encode(value))],
            failure: Vec::new(),
        };
        match self.table.txn(&txn, WriteClass::Money).await {
            Ok(answer) => Ok(answer.succeeded),
            Err(PlatformError::Lost(_)) => Ok(false),
            Err(error) => Err(failure(&error)),
        }
    }
}

/// Waits for a random time that grows with the conflicts met, so that holders
/// of several zones do not meet at one row again and again.
async fn conflict_pause(tries: usize) {
    let most = MAX_PAUSE_MS.min(2 << tries.min(8));
    Timer::after(Duration::from_millis(fastrand::u64(0..=most))).await;
}

fn revision(row: Option<&TableRow>) -> u64 {
    row.map_or(0, |row| row.mod_revision)
}

/// The row's value; `None` for an absent row. A row that cannot be read is
/// never taken for an absent one, which would be written over.
fn parse<T: DeserializeOwned>(row: Option<&TableRow>) -> Result<Option<T>, TableFailure> {
    let Some(row) = row else {
        return Ok(None);
    };
    serde_json::from_slice(&row.value)
        .map(Some)
        .map_err(|error| {
            metrics::counter!("guavawell_table_rows_unreadable_total").increment(1);
            log::error!("row {} cannot be read: {error}", row.key);
            TableFailure::Unreachable
        })
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("rows of ids and numbers serialise")
}

fn failure(error: &PlatformError) -> TableFailure {
    log::debug!("table: {error}");
    TableFailure::Unreachable
}
