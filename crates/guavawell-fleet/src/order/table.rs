//! The table's rows of orders and of the weight store's permits.

use guavawell_core::clock::ClockTime;
use guavawell_core::id::BackendId;
use guavawell_core::order::OrderRow;
use guavawell_core::order::PermitRow;
use guavawell_core::order::PermitSettings;
use guavawell_core::order::WriteResult;
use guavawell_core::platform::WriteClass;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::platform::PlatformError;
use crate::platform::Table;
use crate::platform::TableCompare;
use crate::platform::TableOp;
use crate::platform::TableRead;
use crate::platform::TableTxn;

/// What the keys of order rows begin with.
const ORDER_PREFIX: &str = "order/";

/// The key of the permits' row.
const PERMIT_KEY: &str = "order-permits";

/// Tries to change the permits' row while others change it too.
const PERMIT_TRIES: usize = 8;

/// An order row with its place in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StoredOrder {
    /// The backend server.
    pub backend: BackendId,
    /// The revision of the row's last write.
    pub revision: u64,
    /// The row.
    pub row: OrderRow,
}

/// The table as orders use it.
#[derive(Clone, Debug)]
pub struct OrderTable {
    table: Table,
    permits: PermitSettings,
}

/// The key of a backend server's order row.
#[must_use]
pub fn order_key(backend: &BackendId) -> String {
    format!("{ORDER_PREFIX}{backend}")
}

impl OrderTable {
    /// The table, with the bounds of the weight store.
    #[must_use]
    pub const fn new(table: Table, permits: PermitSettings) -> Self {
        Self { table, permits }
    }

    /// Reads the row of a backend server and its revision; zero without a row.
    ///
    /// # Errors
    ///
    /// [`PlatformError`]; a row that cannot be parsed counts as refused.
    pub async fn read(
        &self,
        backend: &BackendId,
    ) -> Result<(Option<OrderRow>, u64), PlatformError> {
        let read = self.table.get(&order_key(backend)).await?;
        Ok((parse(&read)?, read.mod_revision()))
    }

    /// Reads all order rows, sorted by backend server; one that cannot be
    /// parsed is left out.
    ///
    /// # Errors
    ///
    /// [`PlatformError`].
    pub async fn read_all(&self) -> Result<Vec<StoredOrder>, PlatformError> {
        let rows = self.table.range(ORDER_PREFIX).await?;
        let stored = rows.iter().filter_map(|row| {
            Some(StoredOrder {
                backend: row.key.strip_prefix(ORDER_PREFIX)?.parse().ok()?,
                revision: row.mod_revision,
                row: serde_json::from_slice(&row.value).ok()?,
            })
        });
        Ok(stored.collect())
    }

    /// Writes a row if its revision is still `revision`.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] where the write certainly had no effect.
    pub async fn write(
        &self,
        backend: &BackendId,
        revision: u64,
        row: &OrderRow,
    ) -> Result<WriteResult, PlatformError> {
        self.swap(&order_key(backend), revision, row).await
    }

    /// Takes a permit of the weight store for a backend server.
    ///
    /// # Errors
    ///
    /// [`PlatformError`]; the inner error is the time at which one may be free.
    pub async fn take_permit(
        &self,
        backend: &BackendId,
        now: ClockTime,
    ) -> Result<Result<(), ClockTime>, PlatformError> {
        for _ in 0..PERMIT_TRIES {
            let read = self.table.get(PERMIT_KEY).await?;
            let known: PermitRow = parse(&read)?.unwrap_or_default();
            let row = match known.acquire(backend, &self.permits, now) {
                Ok(row) => row,
                Err(until) => return Ok(Err(until)),
            };
            if row == known {
                return Ok(Ok(()));
            }
            // After a lost answer the row is read again and names this server.
            if self.swap(PERMIT_KEY, read.mod_revision(), &row).await? == WriteResult::Done {
                return Ok(Ok(()));
            }
        }
        Ok(Err(now + self.permits.min_hold))
    }

    /// Gives the permit of a backend server back.
    ///
    /// # Errors
    ///
    /// [`PlatformError`]; the permit lapses by itself then.
    pub async fn give_back_permit(&self, backend: &BackendId) -> Result<(), PlatformError> {
        for _ in 0..PERMIT_TRIES {
            let read = self.table.get(PERMIT_KEY).await?;
            let known: PermitRow = parse(&read)?.unwrap_or_default();
            let row = known.release(backend);
            if row == known
                || self.swap(PERMIT_KEY, read.mod_revision(), &row).await? == WriteResult::Done
            {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn swap(
        &self,
        key: &str,
        revision: u64,
        value: &impl Serialize,
    ) -> Result<WriteResult, PlatformError> {
        let value = serde_json::to_vec(value)
            .map_err(|error| PlatformError::Refused(error.to_string().into()))?;
        let txn = TableTxn {
            compares: vec![TableCompare::unchanged(key, revision)],
            success: vec![TableOp::put(key, value)],
            ..TableTxn::default()
        };
        match self.table.txn(&txn, WriteClass::Rest).await {
            Ok(answer) if answer.succeeded => Ok(WriteResult::Done),
            Ok(_) => Ok(WriteResult::Conflict),
            Err(PlatformError::Lost(_)) => Ok(WriteResult::Unknown),
            Err(error) => Err(error),
        }
    }
}

fn parse<T: DeserializeOwned>(read: &TableRead) -> Result<Option<T>, PlatformError> {
    let Some(row) = &read.row else {
        return Ok(None);
    };
    let parsed = serde_json::from_slice(&row.value);
    let refuse = |error: serde_json::Error| {
        PlatformError::Refused(format!("row {} is malformed: {error}", row.key).into())
    };
    parsed.map(Some).map_err(refuse)
}
