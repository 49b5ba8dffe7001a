//! The table service: etcd v3's JSON gateway.

use std::net::SocketAddr;
use std::sync::Arc;

use guavawell_core::platform::WriteClass;
use http_types::Method;

use super::carried::CarriedAnswer;
use super::carried::CarriedAsk;
use super::carried::CarriedService;
use super::error::PlatformError;
use super::exchange::ExchangeKind;
use super::exchange::PlatformAsk;
use super::exchange::PlatformHttp;
use super::gate::WriteGate;
use super::pool::PoolSettings;
use super::relay::CarrierLink;
use super::relay::PlatformRelay;
use super::txn::TableRow;
use super::txn::TableTxn;
use super::txn::TxnAnswer;
use super::wire;
use super::wire::RangeAsk;
use super::wire::RangePage;

/// Rows asked for in one page of a range.
const PAGE_ROWS: u64 = 1_000;

/// The row that a probe reads.
const PROBE_KEY: &str = "version";

pub(super) const JSON: [(&str, &str); 1] = [("content-type", "application/json")];

/// A read of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRead {
    /// The row, if the key exists.
    pub row: Option<TableRow>,
    /// The table's revision at the read.
    pub revision: u64,
}

impl TableRead {
    /// The revision to compare with [`super::TableCompare::unchanged`]: 0 for an absent key.
    #[must_use]
    pub fn mod_revision(&self) -> u64 {
        self.row.as_ref().map_or(0, |row| row.mod_revision)
    }
}

/// A client of the table service; clones share their connections.
#[derive(Clone, Debug)]
pub struct Table {
    http: PlatformHttp,
}

impl Table {
    /// A client of the table service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, settings: PoolSettings) -> Self {
        Self {
            http: PlatformHttp::new("table", address, settings),
        }
    }

    /// The same client, its writes held to the router's share.
    #[must_use]
    pub fn with_writes(self, writes: &WriteGate) -> Self {
        let http = self.http.with_writes(writes);
        Self { http }
    }

    /// The same client; peers carry its exchanges while its own link is out.
    #[must_use]
    pub fn with_relay(self, link: &Arc<CarrierLink>) -> Self {
        let relay = PlatformRelay::new(CarriedService::Table, Arc::clone(link));
        let http = self.http.with_relay(relay);
        Self { http }
    }

    /// Carries out a peer's exchange on the own link.
    pub async fn carry(&self, ask: &CarriedAsk) -> CarriedAnswer {
        self.http.carry(ask).await
    }

    /// Asks by the own link whether the table is back, once that is due.
    pub async fn probe(&self) {
        let ask = RangeAsk::key(PROBE_KEY);
        let Ok(body) = serde_json::to_vec(&ask) else {
            return;
        };
        let ask = PlatformAsk {
            kind: ExchangeKind::Read,
            may_relay: true,
            method: Method::Post,
            target: "/v3/kv/range",
            headers: &JSON,
            body,
        };
        self.http.probe(ask).await;
    }

    /// Whether the table counts as out, so that only probes are sent.
    #[must_use]
    pub fn is_out(&self) -> bool {
        self.http.is_out()
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Outage`] or [`PlatformError::Refused`].
    pub async fn get(&self, key: &str) -> Result<TableRead, PlatformError> {
        let page = self.range_page(&RangeAsk::key(key)).await?;
        Ok(TableRead {
            row: page.rows.into_iter().next(),
            revision: page.revision,
        })
    }

    /// Reads every row whose key begins with `prefix`, sorted by key.
    ///
    /// Pages are read one after another, each at its own revision.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Outage`] or [`PlatformError::Refused`].
    pub async fn range(&self, prefix: &str) -> Result<Vec<TableRow>, PlatformError> {
        let mut rows: Vec<TableRow> = Vec::new();
        let mut start = prefix.as_bytes().to_vec();
        loop {
            let ask = RangeAsk::prefix(prefix, &start, PAGE_ROWS);
            let page = self.range_page(&ask).await?;
            rows.extend(page.rows);
            let Some(last) = rows.last().filter(|_| page.more) else {
                return Ok(rows);
            };
            start = last.key.as_bytes().to_vec();
            start.push(0);
        }
    }

    /// Carries out a transaction.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::Lost`] the transaction may have been applied:
    /// read back before any second try.
    pub async fn txn(&self, txn: &TableTxn, class: WriteClass) -> Result<TxnAnswer, PlatformError> {
        let kind = if txn.writes() {
            ExchangeKind::Write(class)
        } else {
            ExchangeKind::Read
        };
        let may_relay = kind == ExchangeKind::Read || !txn.compares.is_empty();
        let body = wire::txn_body(txn);
        let answer = self.post("/v3/kv/txn", kind, may_relay, body).await?;
        wire::txn_answer(&answer).map_err(|error| as_read(kind, error))
    }

    async fn range_page(&self, ask: &RangeAsk) -> Result<RangePage, PlatformError> {
        let body = serde_json::to_vec(ask)
            .map_err(|error| PlatformError::Refused(error.to_string().into()))?;
        let kind = ExchangeKind::Read;
        let answer = self.post("/v3/kv/range", kind, true, body).await?;
        wire::range_page(&answer).map_err(|error| as_read(kind, error))
    }

    async fn post(
        &self,
        target: &str,
        kind: ExchangeKind,
        may_relay: bool,
        body: Vec<u8>,
    ) -> Result<Vec<u8>, PlatformError> {
        let ask = PlatformAsk {
            kind,
            may_relay,
            method: Method::Post,
            target,
            headers: &JSON,
            body,
        };
        let answer = self.http.ask(ask).await?;
        if answer.status >= 300 {
            return Err(PlatformError::Refused(
                format!("{target} answered {}", answer.status).into(),
            ));
        }
        Ok(answer.body)
    }
}

/// A read in doubt is only a read without an answer.
fn as_read(kind: ExchangeKind, error: PlatformError) -> PlatformError {
    match (kind, error) {
        (ExchangeKind::Read, PlatformError::Lost(detail)) => PlatformError::Outage(detail),
        (_, error) => error,
    }
}
