//! Settings of a ledger.

use crate::clock::ClockSpan;
use crate::grant::DemandSettings;
use crate::grant::HolderSettings;

/// How many unspent tokens (stock) an instance holds, and how fast its spend
/// limits release them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LedgerSettings {
    /// Stock, as seconds of recent demand. Covers an outage of the store of
    /// nine seconds while demand rises to two and a half times the recent one.
    pub stock_seconds: f64,
    /// Fraction of its equal share of what is left that an instance holds
    /// without demand of its own, in place of demand that was not seen yet. It
    /// decreases as more tokens are granted.
    pub idle_fraction: f64,
    /// Largest fraction that an instance holds of its demand-based share of
    /// what is left. The rest stays free for sudden needs.
    pub max_stock_fraction: f64,
    /// The early rate of all spend limits, as a multiple of the fleet's recent
    /// demand. A crash freezes what it releases until the next boot.
    pub early_rate_factor: f64,
    /// The late rate, as a multiple of the instance's recent demand.
    pub late_rate_factor: f64,
    /// The late rate releases the whole stock in this many seconds or less.
    pub late_drain_seconds: f64,
    /// Time until the late rate applies: longer than a restart takes.
    pub late_rate_after: ClockSpan,
    /// The burst of all spend limits, as seconds of the fleet's recent demand,
    /// so that the first requests of an outage need not wait.
    pub burst_seconds: f64,
    /// Fewest instances that share the burst. Each covers a typical request, so
    /// a budget with few requests has few such instances.
    pub min_early_lenders: usize,
    /// Largest fraction of its stock that an instance adds to the burst.
    pub max_burst_fraction: f64,
    /// Store latency above which an instance releases a typical request on its
    /// own: one that an instance with little processor time or a slow link exceeds.
    pub slow_store_latency: ClockSpan,
    /// Largest fraction of its stock that such a request may take.
    pub solo_burst_fraction: f64,
    /// Smallest such burst, as seconds of the instance's early rate.
    pub solo_burst_seconds: f64,
    /// Fewest instances that the fleet is assumed to have.
    pub instances: usize,
    /// Age above which a limit row is rewritten if tokens were spent.
    pub limit_max_age: ClockSpan,
    /// Added to that age for each instance, so that a large fleet writes no
    /// more than a small one: at most 125 limit rows per second.
    pub limit_age_per_instance: ClockSpan,
    /// Age above which an entry in a budget row is brought up to date.
    pub entry_max_age: ClockSpan,
    /// Added to that age for each writer: concurrent writes of one row often
    /// conflict.
    pub entry_age_per_writer: ClockSpan,
    /// How long a shortage is reported to other instances.
    pub shortage_max_age: ClockSpan,
    /// Which instances hold tokens.
    pub holders: HolderSettings,
    /// How tokens follow callers' requests.
    pub demand: DemandSettings,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            stock_seconds: 24.0,
            idle_fraction: 0.3,
            max_stock_fraction: 0.75,
            early_rate_factor: 0.6,
            late_rate_factor: 3.0,
            late_drain_seconds: 7.0,
            late_rate_after: ClockSpan::from_millis(1_500),
            burst_seconds: 0.5,
            min_early_lenders: 1,
            max_burst_fraction: 0.35,
            slow_store_latency: ClockSpan::from_millis(25),
            solo_burst_fraction: 0.18,
            solo_burst_seconds: 0.3,
            instances: 3,
            limit_max_age: ClockSpan::from_millis(150),
            limit_age_per_instance: ClockSpan::from_millis(8),
            entry_max_age: ClockSpan::from_millis(1_000),
            entry_age_per_writer: ClockSpan::from_millis(40),
            shortage_max_age: ClockSpan::from_millis(2_000),
            holders: HolderSettings::default(),
            demand: DemandSettings::default(),
        }
    }
}
