//! A circuit breaker: stops asking a platform that does not answer.

use super::backoff::BackoffPolicy;
use super::backoff::Jitter;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// When the circuit opens and how it probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CircuitPolicy {
    /// Failures in a row that open the circuit.
    pub failures: u32,
    /// Waits between probes.
    pub probes: BackoffPolicy,
    /// A probe that has told nothing for this long is given up.
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

/// Whether an exchange may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitDecision {
    /// It may.
    Pass,
    /// It may, as the one probe of an open circuit.
    Probe,
    /// It may not; the next probe is this far away.
    Open(ClockSpan),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CircuitState {
    Closed,
    /// No exchange until `until`.
    Open {
        until: ClockTime,
    },
    /// One exchange is under way since `since`.
    Probing {
        since: ClockTime,
    },
}

/// The circuit of one service of the platform.
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

    /// Whether an exchange may start now; a probe is given to one at a time.
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

    /// An exchange was answered, if only by a refusal; true if that closed
    /// the circuit.
    pub fn record_response(&mut self) -> bool {
        let was_open = self.is_open();
        self.failures = 0;
        self.state = CircuitState::Closed;
        was_open
    }

    /// An exchange had no answer; true if that opened the circuit.
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

    /// Whether exchanges are held back.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        !matches!(self.state, CircuitState::Closed)
    }
}
