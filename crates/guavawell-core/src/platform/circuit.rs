//! Circuit breaker for a service of the platform that does not respond.

use super::backoff::BackoffPolicy;
use super::backoff::Jitter;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// When the circuit opens, and when probes are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CircuitPolicy {
    /// Number of consecutive failures that open the circuit.
    pub failures: u32,
    /// Backoff between probes.
    pub probes: BackoffPolicy,
    /// Time after which a probe without a result is considered lost.
    pub probe_timeout: ClockSpan,
}

impl Default for CircuitPolicy {
    fn default() -> Self {
        Self {
            failures: 5,
            probes: BackoffPolicy {
                first: ClockSpan::from_millis(200),
                longest: ClockSpan::from_millis(1_500),
            },
            probe_timeout: ClockSpan::from_millis(5_000),
        }
    }
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitDecision {
    /// The circuit is closed, so the request may be sent.
    Pass,
    /// The request may be sent as the only probe of an open circuit.
    Probe,
    /// The request must not be sent; the next probe is due after this time.
    Open(ClockSpan),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CircuitState {
    Closed,
    /// No request may be sent before `until`.
    Open {
        until: ClockTime,
    },
    /// One probe has been in flight since `since`.
    Probing {
        since: ClockTime,
    },
}

/// The circuit breaker of one service of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformCircuit {
    policy: CircuitPolicy,
    state: CircuitState,
    failures: u32,
}

impl PlatformCircuit {
    /// A closed circuit.
    #[must_use]
    pub const fn new(policy: CircuitPolicy) -> Self {
        Self {
            policy,
            state: CircuitState::Closed,
            failures: 0,
        }
    }

    /// Decides whether a request may be sent now. Only one probe is allowed at a
    /// time.
    pub fn admit(&mut self, now: ClockTime) -> CircuitDecision {
        match self.state {
            CircuitState::Closed => CircuitDecision::Pass,
            CircuitState::Open { until } if now < until => CircuitDecision::Open(until.since(now)),
            CircuitState::Probing { since } if now < since + self.policy.probe_timeout => {
                let end = since + self.policy.probe_timeout;
                CircuitDecision::Open(end.since(now))
            }
            CircuitState::Open { .. } | CircuitState::Probing { .. } => {
                self.state = CircuitState::Probing { since: now };
                CircuitDecision::Probe
            }
        }
    }

    /// Records a response, which may also be a refusal, since it shows that the
    /// service works. Returns whether this closed the circuit.
    pub fn record_response(&mut self) -> bool {
        let was_open = self.is_open();
        self.failures = 0;
        self.state = CircuitState::Closed;
        was_open
    }

    /// Records a request without a response. Returns whether this opened the
    /// circuit.
    pub fn record_failure(&mut self, now: ClockTime, jitter: Jitter) -> bool {
        let was_open = self.is_open();
        self.failures = self.failures.saturating_add(1);
        let excess = self.failures.saturating_sub(self.policy.failures);
        if self.failures < self.policy.failures {
            return false;
        }
        let wait = self.policy.probes.wait(excess + 1, jitter);
        self.state = CircuitState::Open { until: now + wait };
        !was_open
    }

    /// Whether requests are blocked, except for probes.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        !matches!(self.state, CircuitState::Closed)
    }
}
