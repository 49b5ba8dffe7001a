//! Silent connections.
//!
//! Something between a router and a server may lose track of a connection for
//! good while new ones work. So silence is judged per connection: past an idle
//! bound the server is asked on a new connection. If it answers, only the old
//! connection is given up, and its streams are resumed on new ones; the server
//! stays in use.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Bounds of the silent-connection rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// Longest silence of a connection with an open exchange.
    pub idle_bound: ClockSpan,
    /// Longest wait for the probe's answer.
    pub probe_bound: ClockSpan,
}

impl Default for ConnectionSettings {
    fn default() -> Self {
        Self {
            idle_bound: ClockSpan::from_millis(2_000),
            probe_bound: ClockSpan::from_millis(1_000),
        }
    }
}

/// What the probe on a new connection found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server answered, and the attempt is still making progress or queued.
    Answered,
    /// The server could not be reached or did not answer.
    Failed,
}

/// What to do about a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Nothing before this time.
    Wait(ClockTime),
    /// Ask for the attempt's record on a new connection.
    Probe,
    /// Close this connection, never reuse it, and resume the exchange on a new
    /// one; end the lease as [`LeaseOutcome::Silent`](super::LeaseOutcome::Silent).
    Replace,
    /// The server itself is silent; end the lease as
    /// [`LeaseOutcome::Failed`](super::LeaseOutcome::Failed).
    Fail,
}

/// The rule's state for one connection with an open exchange.
#[derive(Clone, Debug)]
pub struct ConnectionWatch {
    settings: ConnectionSettings,
    heard: ClockTime,
    probe_sent: Option<ClockTime>,
}

impl ConnectionWatch {
    /// Watches from the moment the exchange was sent.
    #[must_use]
    pub fn new(settings: ConnectionSettings, now: ClockTime) -> Self {
        Self {
            settings,
            heard: now,
            probe_sent: None,
        }
    }

    /// Bytes came on the connection.
    pub fn heard(&mut self, now: ClockTime) {
        self.heard = now;
        self.probe_sent = None;
    }

    /// Time has passed.
    #[must_use]
    pub fn tick(&mut self, now: ClockTime) -> ConnectionAction {
        if let Some(sent) = self.probe_sent {
            let due = sent + self.settings.probe_bound;
            return if now < due {
                ConnectionAction::Wait(due)
            } else {
                ConnectionAction::Fail
            };
        }
        let due = self.heard + self.settings.idle_bound;
        if now < due {
            return ConnectionAction::Wait(due);
        }
        self.probe_sent = Some(now);
        ConnectionAction::Probe
    }

    /// The probe has ended. A server that answers while this connection has
    /// stayed silent makes the connection suspect, not the server.
    #[must_use]
    pub fn probed(&mut self, result: ProbeResult) -> ConnectionAction {
        if self.probe_sent.is_none() {
            return ConnectionAction::Wait(self.heard + self.settings.idle_bound);
        }
        match result {
            ProbeResult::Answered => ConnectionAction::Replace,
            ProbeResult::Failed => ConnectionAction::Fail,
        }
    }
}
