//! Connections to backend servers through another instance, for an instance that
//! has lost its own way to them.
//!
//! The other instance, the carrier, only opens the connection and copies bytes, as
//! with the HTTP method CONNECT. Admission, budget, attempts and charge stay with
//! the instance that received the request. A carrier serves only holders of the
//! fleet's key, connects only to servers that it lists itself, and never carries
//! through a further instance.

mod carry;
mod open;
mod traffic;

use std::fmt;
use std::str::FromStr;

use guavawell_core::clock::ClockSpan;
use thiserror::Error;

pub(crate) use self::carry::CarriedTunnel;
pub(crate) use self::carry::carry;
pub(crate) use self::carry::open_for_peer;
pub(crate) use self::open::TunnelEnd;
pub(crate) use self::open::open_tunnel;
pub(crate) use self::traffic::CarriedTunnels;

/// Longest idle time of a tunnel that is reused. A carrier that shuts down closes
/// tunnels that have been idle for longer.
pub(crate) const MAX_TUNNEL_IDLE: ClockSpan = ClockSpan::from_millis(800);

/// How a carrier passes a server's bytes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TunnelFraming {
    /// In records, with a mark where the server ended the connection.
    Records,
    /// As they are, to an instance of a version without records. The connection is reset
    /// unless the server ended it.
    Plain,
}

/// Why a carrier opens no connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TunnelRefusal {
    /// The server refused the connection.
    Refused,
    /// The connection was not established in time.
    Unreachable,
    /// The carrier does not list the server as one that takes requests.
    UnknownServer,
    /// The carrier carries as many connections as it may.
    Busy,
    /// The carrier has lost its own way to the servers.
    PathLost,
    /// The carrier is shutting down.
    Leaving,
}

const REFUSALS: [TunnelRefusal; 6] = [
    TunnelRefusal::Refused,
    TunnelRefusal::Unreachable,
    TunnelRefusal::UnknownServer,
    TunnelRefusal::Busy,
    TunnelRefusal::PathLost,
    TunnelRefusal::Leaving,
];

impl TunnelRefusal {
    /// The name in messages, logs and metrics.
    #[must_use]
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::UnknownServer => "unknown_server",
            Self::Busy => "busy",
            Self::PathLost => "path_lost",
            Self::Leaving => "leaving",
        }
    }
}

impl fmt::Display for TunnelRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A text that names no [`TunnelRefusal`].
#[derive(Debug, Error)]
#[error("`{0}` is not a reason to refuse a tunnel")]
pub struct RefusalNameError(Box<str>);

impl FromStr for TunnelRefusal {
    type Err = RefusalNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let named = REFUSALS.iter().find(|refusal| refusal.as_str() == text);
        named.copied().ok_or_else(|| RefusalNameError(text.into()))
    }
}
