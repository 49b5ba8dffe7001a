//! Settings of the engine stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;

use crate::engine::orders::ModelEntry;

/// How the engine serves; every time of zero means at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSettings {
    /// Address for routers; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Address of the fault switches and the truth log.
    pub control: SocketAddr,
    /// Name of this backend server, for its log lines.
    pub name: Box<str>,
    /// Models loaded at the start and after a crash.
    pub models: Vec<ModelEntry>,
    /// Role at the start and after a crash.
    pub role: Box<str>,
    /// Attempts that run at once.
    pub slots: usize,
    /// Attempts that may wait for a slot.
    pub queue: usize,
    /// Time between two tokens of one attempt.
    pub token_time: ClockSpan,
    /// Microseconds added to each token for each other running attempt.
    pub batch_micros: u64,
    /// Time to the first token if the prefix is not cached.
    pub prefill_time: ClockSpan,
    /// Time to the first token if the prefix is cached.
    pub cached_prefill_time: ClockSpan,
    /// Prefixes that the cache holds.
    pub cache_limit: usize,
    /// Age at which a cache event is published.
    pub cache_lag: ClockSpan,
    /// Each cache event whose number divides by this is lost; zero loses none.
    pub cache_gap: u64,
    /// Interval at which the load report is renewed; zero reports at once.
    pub report_interval: ClockSpan,
    /// Time to load a model.
    pub load_time: ClockSpan,
    /// True if orders with an old fencing number are refused.
    pub fence_orders: bool,
    /// True if requests with an old fencing number are refused.
    pub fence_requests: bool,
    /// Attempts remembered for records and resumption.
    pub record_limit: usize,
    /// Runs kept in the truth log.
    pub truth_limit: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            listen: loopback,
            control: loopback,
            name: "engine".into(),
            models: vec![ModelEntry {
                model: "m".into(),
                version: "1".into(),
            }],
            role: "both".into(),
            slots: 64,
            queue: 256,
            token_time: ClockSpan::default(),
            batch_micros: 0,
            prefill_time: ClockSpan::default(),
            cached_prefill_time: ClockSpan::default(),
            cache_limit: 256,
            cache_lag: ClockSpan::default(),
            cache_gap: 0,
            report_interval: ClockSpan::default(),
            load_time: ClockSpan::default(),
            fence_orders: true,
            fence_requests: false,
            record_limit: 100_000,
            truth_limit: 200_000,
        }
    }
}

/// The span as the timers take it.
pub(super) fn duration(span: ClockSpan) -> Duration {
    Duration::from_millis(span.as_millis())
}
