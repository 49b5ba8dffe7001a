//! What a forwarding router is told at its start.

use std::net::SocketAddr;

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::AdmissionSettings;
use guavawell_core::forward::ChoiceSettings;
use guavawell_core::forward::CongestionSettings;
use guavawell_core::forward::ConnectSettings;
use guavawell_core::forward::LapseSettings;
use guavawell_core::forward::PollTiming;
use guavawell_core::forward::RetryLimits;
use guavawell_core::grant::BookSettings;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ZoneId;
use guavawell_core::poison::PoisonSettings;

use crate::names::FieldNames;

/// Each server writes its entry every second or so, and an answer to each
/// write would be a call of its own. A server that leaves serves three seconds
/// longer: two questions in a row may fail in that time.
const SERVER_PACE: PollTiming = PollTiming {
    wait: ClockSpan::from_millis(300),
    pause: ClockSpan::from_millis(300),
    pause_per_instance: ClockSpan::from_millis(4),
};

/// Addresses that the process listens on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For callers.
    pub callers: Option<SocketAddr>,
    /// For the balancer's health check, and for metrics.
    pub ready: Option<SocketAddr>,
    /// For metrics alone.
    pub metrics: Option<SocketAddr>,
    /// For other instances.
    pub peers: Option<SocketAddr>,
}

/// Time limits of forwarding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeSettings {
    /// Waits for connections to backend servers.
    pub connect: ConnectSettings,
    /// Longest use of an idle connection whose server names no limit.
    pub idle: ClockSpan,
    /// Longest idle time of a connection for a request that may run once: one
    /// that the server is about to close would lose it.
    pub idle_once: ClockSpan,
    /// Least time that an attempt which may be repeated gets before it is
    /// given up for another server.
    pub attempt: ClockSpan,
    /// Longest silence of a stream that another server can continue.
    pub stream_silence: ClockSpan,
    /// How often the configuration is asked for.
    pub config: PollTiming,
    /// How often the list of servers is asked for.
    pub servers: PollTiming,
    /// Servers whose entries vanish around trouble with the platform.
    pub lapse: LapseSettings,
    /// Time from SIGTERM in which requests are taken as ever: the balancer asks
    /// once a second and needs two misses. Later ones are taken only if they
    /// surely end before the process does.
    pub announce: ClockSpan,
    /// Time from SIGTERM to the end of the process.
    pub grace: ClockSpan,
    /// Part of the grace that is kept for giving grants back.
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
            servers: SERVER_PACE,
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
    /// This instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it listens.
    pub listen: ListenAddresses,
    /// Header names of the interface.
    pub names: FieldNames,
    /// Time limits.
    pub times: TimeSettings,
    /// Choice of backend servers.
    pub choice: ChoiceSettings,
    /// Bounds of admission.
    pub admission: AdmissionSettings,
    /// When the own link counts as full.
    pub congestion: CongestionSettings,
    /// Allowance for repeats.
    pub repeats: RetryLimits,
    /// Budgets.
    pub book: BookSettings,
    /// Requests that crash servers.
    pub poison: PoisonSettings,
}
