//! Settings of backend choice.

use crate::clock::ClockSpan;

/// How backend servers are chosen, ejected and brought back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingSettings {
    /// Time to first token assumed of a server not measured yet.
    pub first_token_guess: ClockSpan,
    /// Time from first to last token assumed of a server not measured yet.
    pub hold_guess: ClockSpan,
    /// Slots assumed of a server that has not reported yet.
    pub slots_guess: u32,
    /// A report older than this is not used any more.
    pub report_stale: ClockSpan,
    /// A measured latency loses half of its weight against the guess in this
    /// span without a sample, so that a recovered server is tried again.
    pub speed_half_life: ClockSpan,
    /// A server that got no request for this span, because it loses every
    /// comparison, is tried by one request.
    pub trial_after: ClockSpan,
    /// One request in this many may be such a trial; zero: none.
    pub trial_share: u32,
    /// Part of the time to first token saved by a cached prefix, in percent.
    pub prefix_saving_percent: u32,
    /// Cost added for a server in another zone.
    pub zone_penalty: ClockSpan,
    /// Use of the best server of the caller's zone, in percent of its slots,
    /// above which other zones are compared.
    pub spill_percent: u32,
    /// Slots counted as taken because reports lag, in percent; queueing is
    /// expected that much earlier.
    pub headroom_percent: u32,
    /// Span over which a new or returned server is brought to full use.
    pub slow_start: ClockSpan,
    /// Failures in a row that eject a server.
    pub eject_failures: u32,
    /// First ejection; each further one in a row doubles it.
    pub eject_base: ClockSpan,
    /// Longest ejection.
    pub eject_max: ClockSpan,
    /// At most this part of a target's servers, over all zones, is ejected at
    /// a time, in percent.
    pub eject_max_percent: u32,
    /// Cache hints kept over all servers (rounded up to a power of two);
    /// each takes 8 bytes.
    pub cache_hints: usize,
    /// A gap of more lost cache events than this forgets a server's hints.
    pub cache_gap: u64,
    /// Smallest adaptive concurrency limit of a router towards one server.
    pub concurrency_min: u32,
    /// Limit towards a server not measured yet.
    pub concurrency_start: u32,
    /// Largest limit of a router towards one server.
    pub concurrency_max: u32,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            first_token_guess: ClockSpan::from_millis(200),
            hold_guess: ClockSpan::from_millis(2_000),
            slots_guess: 16,
            report_stale: ClockSpan::from_millis(5_000),
            speed_half_life: ClockSpan::from_millis(10_000),
            trial_after: ClockSpan::from_millis(10_000),
            trial_share: 16,
            prefix_saving_percent: 75,
            zone_penalty: ClockSpan::from_millis(5),
            spill_percent: 60,
            headroom_percent: 15,
            slow_start: ClockSpan::from_millis(10_000),
            eject_failures: 5,
            eject_base: ClockSpan::from_millis(5_000),
            eject_max: ClockSpan::from_millis(120_000),
            eject_max_percent: 50,
            cache_hints: 65_536,
            cache_gap: 256,
            concurrency_min: 2,
            concurrency_start: 64,
            concurrency_max: 1_024,
        }
    }
}
