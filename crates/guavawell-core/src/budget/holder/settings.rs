//! Settings of a slot's holder.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockSpan;
use crate::id::TokenCount;

/// Settings of a slot's holder. `docs/notes/BUDGETS.md` gives the curve from
/// which the float's default was chosen.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HolderSettings {
    /// How long a batch may wait for its acknowledgement before the holder
    /// goes on with the float alone.
    pub witness_timeout: ClockSpan,
    /// How often an unanswered message to a witness is sent again.
    pub resend_every: ClockSpan,
    /// How often the holder reads its slot row, to learn of a takeover that
    /// nothing else told it of.
    pub slot_read_every: ClockSpan,
    /// How often an unanswered table write is tried again.
    pub table_retry: ClockSpan,
    /// How long a reservation may wait for tokens from the table.
    pub queue_wait: ClockSpan,
    /// How many reservations of one budget may wait.
    pub queue_most: usize,
    /// The solo float, in percent of a grant's open tokens.
    pub float_percent: u8,
    /// The largest solo float of one budget.
    pub float_most: TokenCount,
    /// The stock of a budget covers its use of this span, as far as the
    /// budget's rest allows.
    pub stock_span: ClockSpan,
    /// The stock of a budget covers at least this many requests.
    pub stock_requests: u64,
    /// Settled use is reported to the table at the latest after this span.
    pub report_after: ClockSpan,
    /// For how long an exhausted budget is refused without asking the table.
    pub exhausted_hold: ClockSpan,
    /// For how long a charged or sealed request is remembered.
    pub retention: ClockSpan,
    /// Whether a charge is remembered until its billing record is durable.
    pub is_journaled: bool,
    /// How many charged or sealed requests are remembered.
    pub retained_most: usize,
    /// For how long an attempt that was given back is remembered: longer than a
    /// reservation can be on its way, also over a pause of this process.
    pub released_for: ClockSpan,
    /// How many attempts that were given back are remembered.
    pub released_most: usize,
    /// How long a former holder waits for running attempts before it reports
    /// them at their worst case.
    pub retire_wait: ClockSpan,
    /// The hint given to callers that should come back.
    pub retry_after: ClockSpan,
}

impl Default for HolderSettings {
    fn default() -> Self {
        Self {
            witness_timeout: ClockSpan::from_millis(250),
            resend_every: ClockSpan::from_millis(50),
            slot_read_every: ClockSpan::from_millis(30_000),
            table_retry: ClockSpan::from_millis(500),
            queue_wait: ClockSpan::from_millis(2_000),
            queue_most: 256,
            float_percent: 25,
            float_most: TokenCount::new(5_000_000),
            stock_span: ClockSpan::from_millis(3_600_000),
            stock_requests: 256,
            report_after: ClockSpan::from_millis(3_600_000),
            exhausted_hold: ClockSpan::from_millis(1_000),
            retention: ClockSpan::from_millis(600_000),
            is_journaled: false,
            retained_most: 100_000,
            released_for: ClockSpan::from_millis(600_000),
            released_most: 10_000,
            retire_wait: ClockSpan::from_millis(600_000),
            retry_after: ClockSpan::from_millis(1_000),
        }
    }
}
