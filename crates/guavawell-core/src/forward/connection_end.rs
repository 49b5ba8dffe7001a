//! Decides whether a response that lasts until its connection ends is complete.
//!
//! The system closes the connections of a process that has ended in the ordinary way, so
//! an ordinary end means a complete response only if the server caused it. A reset is
//! reported once, to the reader or to the writer of a connection.

use std::io;

/// How the sending of a request ended, as far as it is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestWrite {
    /// No error was seen: the request was sent, or part of it waits.
    #[default]
    Sound,
    /// The server had ended its response before it refused the rest of the request.
    RefusedAfterEnd,
    /// The connection was reset or failed in another way.
    Failed,
}

impl RequestWrite {
    /// What an error of the writer says. The system reports a reset as a broken pipe only
    /// if the server had closed its sending half before.
    #[must_use]
    pub fn from_error(error: &io::Error) -> Self {
        if error.kind() == io::ErrorKind::BrokenPipe {
            Self::RefusedAfterEnd
        } else {
            Self::Failed
        }
    }
}

/// What the ordinary end of a connection says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndNotice {
    /// The connection leads to the server itself.
    Server,
    /// Another instance carries the connection, and told that the server ended its
    /// response.
    Carrier,
    /// Another instance carried the connection, and ended it without that.
    None,
}

/// Why a response is cut although its connection ended in the ordinary way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutCause {
    /// The instance that carried the connection ended it.
    CarrierEnded,
    /// The connection failed, and only the writer of the request was told.
    WriteFailed,
}

impl CutCause {
    /// The name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::CarrierEnded => "carrier_ended",
            Self::WriteFailed => "write_failed",
        }
    }
}

/// The ordinary end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionEnd {
    /// What the end itself says.
    pub notice: EndNotice,
    /// How the sending of the request ended.
    pub write: RequestWrite,
}

impl ConnectionEnd {
    /// Why a response that lasts until this end is cut; `None` if it is complete.
    #[must_use]
    pub const fn cut_cause(self) -> Option<CutCause> {
        match (self.notice, self.write) {
            // The carrier has looked at its own connection to the server.
            (EndNotice::Carrier, _)
            | (EndNotice::Server, RequestWrite::Sound | RequestWrite::RefusedAfterEnd) => None,
            (EndNotice::Server, RequestWrite::Failed) => Some(CutCause::WriteFailed),
            (EndNotice::None, _) => Some(CutCause::CarrierEnded),
        }
    }
}
