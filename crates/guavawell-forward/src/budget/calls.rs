//! Calls to the store, with its response time, outages and rate limit.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::grant::decode_row;
use guavawell_core::grant::encode_row;
use guavawell_core::id::OrganisationId;
use guavawell_fleet::event::EventDraft;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::BUDGET_TABLE;
use super::BudgetManager;
use super::LIMIT_TABLE;
use super::ROW_KEY;
use crate::store::RowKey;
use crate::store::RowState;
use crate::store::StoreFault;
use crate::store::WriteAnswer;

/// Number of responses over which the mean response time is averaged.
const LATENCY_WINDOW: u64 = 8;

/// Shortest interval between events about calls rejected by the rate limit.
const RATE_LIMIT_LOG_INTERVAL: ClockSpan = ClockSpan::from_millis(1_000);

/// A decoded row.
pub(super) enum DecodedRow<T> {
    /// The row, if there is one.
    Readable(Option<T>),
    /// The value cannot be decoded.
    Unreadable,
}

impl BudgetManager {
    pub(super) fn limit_key(&self) -> RowKey {
        RowKey {
            table: LIMIT_TABLE,
            part: self.instance.as_str().into(),
            key: ROW_KEY.into(),
        }
    }

    /// Reads a row, and records the response time or the fault. `call` names the call
    /// in events.
    pub(super) async fn read_row(&self, call: &str, key: RowKey) -> Option<RowState> {
        let started = self.clock.now();
        let answer = (self.store.read)(key).await;
        match answer {
            Ok(state) => {
                self.record_answer(call, state.time, started);
                self.newest_version
                    .set(self.newest_version.get().max(state.newest));
                Some(state)
            }
            Err(fault) => {
                self.record_fault(call, &fault);
                None
            }
        }
    }

    /// Writes a row if it still has `version`, and records the response time or the
    /// fault. `call` names the call in events.
    pub(super) async fn write_row(
        &self,
        call: &str,
        key: RowKey,
        version: u64,
        bytes: Vec<u8>,
    ) -> Result<WriteAnswer, StoreFault> {
        let started = self.clock.now();
        let answer = (self.store.write)(key, version, bytes).await;
        match &answer {
            Ok(WriteAnswer::Done(version, time)) => {
                self.newest_version
                    .set(self.newest_version.get().max(*version));
                self.record_answer(call, *time, started);
            }
            Ok(WriteAnswer::Changed(state)) => self.record_answer(call, state.time, started),
            Err(fault) => self.record_fault(call, fault),
        }
        answer
    }

    fn record_answer(&self, call: &str, time: Option<ClockTime>, started: ClockTime) {
        let now = self.clock.now();
        let latency_ms = now.since(started).as_millis();
        let mean_ms = (self.mean_latency_ms.get() * (LATENCY_WINDOW - 1) + latency_ms)
            .div_ceil(LATENCY_WINDOW);
        self.mean_latency_ms.set(mean_ms);
        let mut ledger = self.ledger.borrow_mut();
        ledger.set_store_latency(ClockSpan::from_millis(mean_ms));
        drop(ledger);
        if let Some(time) = time {
            self.ledger
                .borrow_mut()
                .record_store_time(time, started, now);
        }
        if let Some(since) = self.failing_since.take() {
            let draft = EventDraft::new("store.regained")
                .field("call", call)
                .field("away_ms", now.since(since).as_millis());
            self.log.emit(draft);
        }
    }

    pub(super) fn record_fault(&self, call: &str, fault: &StoreFault) {
        if *fault == StoreFault::Limited {
            self.record_rate_limit(call);
            return;
        }
        metrics::counter!("guavawell_forward_store_faults_total").increment(1);
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(self.clock.now()));
            let draft = EventDraft::new("store.lost")
                .field("call", call)
                .field("fault", fault);
            self.log.emit(draft);
        }
    }

    /// Records a call that the store's rate limit rejected. The store does answer,
    /// so this is no outage; one event reports all such calls of an interval.
    fn record_rate_limit(&self, call: &str) {
        metrics::counter!("guavawell_forward_store_limited_total").increment(1);
        let now = self.clock.now();
        let (count, logged_at) = self.rate_limited.get();
        let count = count + 1;
        if logged_at.is_some_and(|logged_at| now.since(logged_at) < RATE_LIMIT_LOG_INTERVAL) {
            self.rate_limited.set((count, logged_at));
            return;
        }
        self.rate_limited.set((0, Some(now)));
        let draft = EventDraft::new("store.limited")
            .field("call", call)
            .field("calls", count);
        self.log.emit(draft);
    }

    /// Decodes a row. A value that cannot be decoded grants nothing and is never
    /// overwritten.
    pub(super) fn decode<T: DeserializeOwned>(
        &self,
        key: &RowKey,
        state: &RowState,
    ) -> DecodedRow<T> {
        let Some(value) = &state.value else {
            return DecodedRow::Readable(None);
        };
        match decode_row(value) {
            Ok(row) => DecodedRow::Readable(Some(row)),
            Err(error) => {
                let draft = EventDraft::new("store.row_unreadable")
                    .field("row", key)
                    .field("version", state.version)
                    .field("error", error);
                self.log.emit(draft);
                DecodedRow::Unreadable
            }
        }
    }
}

pub(super) fn budget_key(id: &OrganisationId) -> RowKey {
    RowKey {
        table: BUDGET_TABLE,
        part: id.as_str().into(),
        key: ROW_KEY.into(),
    }
}

pub(super) fn encode(row: &impl Serialize) -> Option<Vec<u8>> {
    encode_row(row)
        .inspect_err(|error| log::error!("cannot encode a row: {error}"))
        .ok()
}
