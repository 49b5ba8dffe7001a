//! Why a call to a peer failed, and whether it may have arrived.

use guavawell_core::id::IncarnationId;
use guavawell_core::id::InstanceId;
use thiserror::Error;

/// A call that brought no reply.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// The request never left: the peer has not seen it and will not.
    #[error("not sent: {0}")]
    NotSent(PeerFailure),
    /// The request may have arrived, and may still be acted upon.
    #[error("may have arrived: {0}")]
    Lost(PeerFailure),
}

/// What went wrong with a call.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerFailure {
    /// No connection could be made.
    #[error("cannot connect: {0}")]
    Connect(Box<str>),
    /// Another instance answered at the address.
    #[error("`{0}` answered at the address")]
    OtherInstance(InstanceId),
    /// The instance answered in another life than the one asked for.
    #[error("the instance lives under incarnation {0} now")]
    OtherLife(IncarnationId),
    /// The connection broke.
    #[error("the connection broke")]
    Closed,
    /// The connection went silent and was given up.
    #[error("the connection went silent")]
    Silent,
    /// No reply came in time.
    #[error("no reply in time")]
    TimedOut,
    /// Too many calls to this peer are waiting here.
    #[error("too many calls are waiting")]
    Overloaded,
    /// The request does not fit a message.
    #[error("the request is larger than `peers.max_message_bytes` allows")]
    TooLarge,
    /// The reply could not be read.
    #[error("the reply could not be read: {0}")]
    Malformed(Box<str>),
    /// This process is shutting down.
    #[error("shutting down")]
    Stopped,
}
