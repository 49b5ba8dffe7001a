//! Settings of the fleet's decisions and of the process itself.

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::TokenCount;
use guavawell_core::id::ZoneId;
use log::LevelFilter;

use super::unit::EventTarget;
use super::unit::LogLevel;
use super::unit::ShareRatio;

settings_group! {
    /// Budget slots: holders, witnesses, grants.
    pub struct SlotSettings {
        /// Share of each grant that may be spent without the witness. A
        /// larger share refuses less while parted and freezes more after a
        /// crash; overspend is zero at any value. Read in whole percent.
        float_share: ShareRatio = ShareRatio::clamped(0.25);
        /// Zones, beside the own one, that witnesses may stand in; empty means
        /// every zone. Name those within about a millisecond.
        witness_zones: Vec<ZoneId> = Vec::new();
        /// Prefer a witness in the own zone. It refuses less while zones are
        /// parted; if the whole zone dies, everything granted to it freezes
        /// instead of the solo floats alone. Overspend is zero either way.
        witness_near: bool = false;
        /// Longest wait for a witness's acknowledgement before the float is
        /// used, in milliseconds.
        witness_timeout_ms: ClockSpan = ClockSpan::from_millis(250);
        /// Silence of a holder after which its witness takes over, in
        /// milliseconds. It steers speed only: safety needs no clock.
        takeover_after_ms: ClockSpan = ClockSpan::from_millis(3_000);
        /// Requests that a budget's grant covers at least, as far as its rest
        /// allows.
        grant_requests: u32 = 256;
        /// Recent use that a grant should cover, in seconds.
        grant_seconds: u32 = 3_600;
        /// Time that a finished request's identity is remembered, in
        /// milliseconds.
        identity_retention_ms: ClockSpan = ClockSpan::from_millis(600_000);
        /// Time after which settled use is written to the table, in
        /// milliseconds; later where that would take more than an eighth of
        /// this router's share of writes. A write for another cause, such as a
        /// refill, takes it along; what is not written yet is held by holder
        /// and witness.
        settle_interval_ms: ClockSpan = ClockSpan::from_millis(3_600_000);
    }
}

settings_group! {
    /// Choice of backend servers.
    pub struct RoutingSettings {
        /// Time between polls of a backend server's load, in milliseconds. A
        /// router that polls more than four servers takes turns, so that each
        /// is polled less often.
        load_poll_ms: ClockSpan = ClockSpan::from_millis(500);
        /// Age at which a load report counts for nothing, in milliseconds.
        load_stale_ms: ClockSpan = ClockSpan::from_millis(5_000);
        /// Backend servers of a model that a router sends to at least, where
        /// its zone has more. Holds above 64 backend servers or 32 routers.
        subset_servers: u32 = 12;
        /// Time over which a new or returning backend server takes its full
        /// share, in milliseconds.
        slow_start_ms: ClockSpan = ClockSpan::from_millis(10_000);
        /// Failures in a row that eject a backend server.
        eject_after_failures: u32 = 5;
        /// First ejection's length, in milliseconds; it doubles each time.
        eject_for_ms: ClockSpan = ClockSpan::from_millis(5_000);
        /// Largest share of a model's backend servers ejected at once.
        eject_max_share: ShareRatio = ShareRatio::clamped(0.5);
        /// Longest time to connect to a backend server, in milliseconds.
        connect_timeout_ms: ClockSpan = ClockSpan::from_millis(1_000);
        /// Silence on a stream before the backend server is probed on a new
        /// connection, in milliseconds.
        silent_after_ms: ClockSpan = ClockSpan::from_millis(2_000);
        /// Send a second attempt at another backend server when the first token
        /// of a request that may run twice is late. It is paid for as a retry.
        hedge: bool = false;
        /// Wait for the first token before that, in milliseconds; shorter than
        /// `silent_after_ms`.
        hedge_after_ms: ClockSpan = ClockSpan::from_millis(500);
        /// Retries at other backend servers allowed, as a share of requests that succeed.
        retry_share: ShareRatio = ShareRatio::clamped(0.1);
    }
}

settings_group! {
    /// Orders to model engines: which models they load and unload.
    pub struct OrderSettings {
        /// Whether this router issues orders at all.
        enabled: bool = true;
        /// Time between two looks at what the manifest wants and the engines
        /// hold, in milliseconds.
        review_ms: ClockSpan = ClockSpan::from_millis(2_000);
        /// Orders that this router carries out at once.
        at_once: u32 = 4;
        /// Models that an engine can hold beyond those that the manifest lists
        /// for it. A new version is loaded beside the old one; with 0 it waits
        /// for a free place.
        spare_models: u32 = 1;
        /// Silence of a backend server after which its copies no longer count,
        /// in milliseconds.
        silent_after_ms: ClockSpan = ClockSpan::from_millis(30_000);
        /// Time after which another router's unfinished order is taken over
        /// though that router still runs, in milliseconds.
        take_over_ms: ClockSpan = ClockSpan::from_millis(60_000);
        /// Loads from the weight store at a time in the whole fleet. All
        /// routers should state the same.
        fleet_loads: u32 = 4;
        /// Shortest time that each of them counts, in milliseconds. All
        /// routers should state the same.
        load_hold_ms: ClockSpan = ClockSpan::from_millis(10_000);
    }
}

settings_group! {
    /// How long what lies at the platform is kept. All routers should state
    /// the same; whichever is picked ends generations by its own.
    pub struct RetentionSettings {
        /// How long the claim of a non-idempotent request id is kept at least,
        /// in milliseconds; 0 keeps claims for ever. A retry of an id that
        /// begins later counts as a new request. At least 16 times
        /// `limits.request_timeout_ms`.
        claims_ms: ClockSpan = ClockSpan::from_millis(0);
        /// Rows deleted a second at most while a sweep is under way.
        rows_per_second: u32 = 1_000;
    }
}

settings_group! {
    /// Admission of requests.
    pub struct LimitSettings {
        /// Most requests that this router runs at once towards one model or
        /// service, whatever its backend servers take.
        max_running: u32 = 4_096;
        /// Most requests that wait for one model or service, or as many as may
        /// run at once where that is more; `max_wait_ms` bounds their time.
        max_queued: u32 = 64;
        /// Longest expected wait with which a request is still queued, in
        /// milliseconds; with a longer one it is refused at once.
        max_wait_ms: ClockSpan = ClockSpan::from_millis(3_000);
        /// Longest whole request without a deadline of its own, in
        /// milliseconds.
        request_timeout_ms: ClockSpan = ClockSpan::from_millis(600_000);
        /// Output limit of a request that names none, in tokens.
        default_output_tokens: TokenCount = TokenCount::new(1_024);
        /// Largest output limit a request may name, in tokens.
        max_output_tokens: TokenCount = TokenCount::new(32_768);
    }
}

settings_group! {
    /// Graceful shutdown.
    pub struct ShutdownSettings {
        /// Longest time to finish open streams and hand slots over, in
        /// milliseconds; what is left in doubt then is reported.
        drain_ms: ClockSpan = ClockSpan::from_millis(60_000);
    }
}

settings_group! {
    /// The log and the event log.
    pub struct LogSettings {
        /// How much the log says: off, error, warn, info, debug or trace.
        level: LogLevel = LogLevel::new(LevelFilter::Info);
        /// Where events go, one JSON object a line: a path, `-` for standard
        /// output, or `off`.
        events: EventTarget = EventTarget::Off;
        /// Events that may wait to be written; further ones are dropped and
        /// counted.
        event_queue: u32 = 65_536;
    }
}
