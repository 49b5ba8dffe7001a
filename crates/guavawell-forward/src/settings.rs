//! Settings of a forwarding router.

use std::net::SocketAddr;

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::AdmissionSettings;
use guavawell_core::forward::ChoiceSettings;
use guavawell_core::forward::ClientSettings;
use guavawell_core::forward::CongestionSettings;
use guavawell_core::forward::ConnectSettings;
use guavawell_core::forward::InstanceCapacity;
use guavawell_core::forward::LapseSettings;
use guavawell_core::forward::PollTiming;
use guavawell_core::forward::ReadAheadSettings;
use guavawell_core::forward::RetryLimits;
use guavawell_core::forward::SlowStartSettings;
use guavawell_core::forward::ZoneRegions;
use guavawell_core::grant::LedgerSettings;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ZoneId;
use guavawell_core::poison::PoisonSettings;

use crate::field_names::FieldNames;

/// How often the list of servers is queried. Each server updates its entry about
/// once a second, and without a pause each update would cost one call. A leaving
/// server keeps serving for three seconds, so that two queries in a row may fail.
const SERVER_TIMING: PollTiming = PollTiming {
    wait: ClockSpan::from_millis(300),
    pause: ClockSpan::from_millis(300),
    pause_per_instance: ClockSpan::from_millis(4),
};

/// Addresses on which the process listens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For callers.
    pub callers: Option<SocketAddr>,
    /// For health checks by the load balancer, and for metrics.
    pub ready: Option<SocketAddr>,
    /// For metrics only.
    pub metrics: Option<SocketAddr>,
    /// For other instances.
    pub peers: Option<SocketAddr>,
}

/// Time limits of forwarding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeSettings {
    /// Timeouts for connecting to backend servers.
    pub connect: ConnectSettings,
    /// Longest idle time of a reused connection if the server announces no
    /// limit.
    pub idle: ClockSpan,
    /// Longest idle time of a connection that is reused for a request that must
    /// not be retried. If the server closed the connection at that moment, the
    /// request would be lost.
    pub idle_once: ClockSpan,
    /// Shortest time that an attempt of a retryable request gets before another
    /// server is tried.
    pub attempt: ClockSpan,
    /// Longest silence of a stream that another server can continue.
    pub stream_silence: ClockSpan,
    /// How often the configuration is queried.
    pub config: PollTiming,
    /// How often the list of servers is queried.
    pub servers: PollTiming,
    /// How servers are treated whose entries vanish around a platform outage.
    pub lapse: LapseSettings,
    /// Time from SIGTERM during which all requests are accepted: the load
    /// balancer checks once a second and needs two failures. After that, only
    /// requests are accepted that end before the process does.
    pub announce: ClockSpan,
    /// Time from SIGTERM to the end of the process.
    pub grace: ClockSpan,
    /// Part of the grace period that is reserved for returning grants and closing
    /// connections.
    pub give_back: ClockSpan,
}

impl Default for TimeSettings {
    fn default() -> Self {
        Self {
            connect: ConnectSettings::default(),
            idle: ClockSpan::from_millis(8_000),
            idle_once: ClockSpan::from_millis(900),
            attempt: ClockSpan::from_millis(250),
            stream_silence: ClockSpan::from_millis(1_200),
            config: PollTiming::within(ClockSpan::from_millis(2_000)),
            servers: SERVER_TIMING,
            lapse: LapseSettings::default(),
            announce: ClockSpan::from_millis(2_900),
            grace: ClockSpan::from_millis(7_500),
            give_back: ClockSpan::from_millis(600),
        }
    }
}

/// All settings of a forwarding router.
#[derive(Clone, Debug)]
pub struct ForwardSettings {
    /// The id of this instance.
    pub instance: InstanceId,
    /// The availability zone of this instance.
    pub zone: ZoneId,
    /// The regions of all availability zones.
    pub regions: ZoneRegions,
    /// The addresses on which it listens.
    pub listen: ListenAddresses,
    /// The names of header fields.
    pub names: FieldNames,
    /// The time limits.
    pub times: TimeSettings,
    /// How backend servers are picked.
    pub choice: ChoiceSettings,
    /// Limits on requests to cold servers.
    pub slow_start: SlowStartSettings,
    /// What this instance has.
    pub capacity: InstanceCapacity,
    /// Whether callers may bring more than the instances can carry, so that an instance
    /// has to decide what it serves.
    pub expects_overload: bool,
    /// Whether the whole fleet may be starting for the first time, so that no instance
    /// has served streams yet.
    pub may_start_fleet: bool,
    /// Limits on what clients hold before they are served.
    pub clients: ClientSettings,
    /// Limits of admission.
    pub admission: AdmissionSettings,
    /// How much of responses is read before their callers take it.
    pub read_ahead: ReadAheadSettings,
    /// When this instance's network link counts as full.
    pub congestion: CongestionSettings,
    /// Limits on retries.
    pub retry_limits: RetryLimits,
    /// Settings of the token budgets.
    pub ledger: LedgerSettings,
    /// Settings for requests that crash servers.
    pub poison: PoisonSettings,
}
