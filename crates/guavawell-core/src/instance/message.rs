//! Gossip messages between instances and their binary encoding.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use super::note::GossipNote;
use super::record::MemberRecord;
use crate::id::IncarnationId;
use crate::id::InstanceId;
use crate::id::ManifestVersion;

/// A gossip message, sent in one datagram of at most
/// [`MAX_MESSAGE_BYTES`](super::MAX_MESSAGE_BYTES).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender's own record.
    pub sender: MemberRecord,
    /// The request, answer or announcement.
    pub body: MessageBody,
    /// Piggybacked rumours.
    pub rumours: Vec<GossipRumour>,
}

/// The kind of a message with its own fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Carries rumours only.
    News,
    /// Asks `target` to answer.
    Ping {
        /// Probe number, assigned by the sender and repeated in the answer.
        probe: u64,
        /// The instance that should answer. Another instance at the same address
        /// ignores the ping.
        target: InstanceId,
    },
    /// Answers a ping or a ping request.
    Ack {
        /// Probe number, assigned by the receiver of this answer.
        probe: u64,
        /// The instance that answered; the answer to a ping request is relayed
        /// by the instance that received the request.
        target: InstanceId,
        /// The incarnation that answered.
        incarnation: IncarnationId,
    },
    /// Asks the receiver to ping `target` on the sender's behalf.
    PingRequest {
        /// Probe number, assigned by the sender.
        probe: u64,
        /// The instance to ping.
        target: InstanceId,
        /// The gossip address of `target`.
        address: SocketAddr,
    },
    /// Starts a sync: the receiver compares these hashes with its own state.
    Digest {
        /// Hashes of the member records, one for each bucket.
        buckets: Vec<u32>,
        /// Hash of the notes with fleet scope.
        notes: u32,
    },
    /// Answers a digest that differs. The sender's differing records follow in
    /// pages, and the receiver answers with its own.
    Difference {
        /// The buckets whose records are exchanged now.
        buckets: Vec<u8>,
        /// Whether the notes with fleet scope differ.
        notes: bool,
        /// Whether further buckets differ, which need another sync.
        more: bool,
    },
    /// One datagram of the records and notes exchanged by a sync.
    Page,
}

/// One item of state that is spread by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipRumour {
    /// An instance's record.
    Member(MemberRecord),
    /// A note.
    Note(GossipNote),
    /// The manifest version that an instance has applied.
    Manifest {
        /// The instance.
        instance: InstanceId,
        /// Its incarnation.
        incarnation: IncarnationId,
        /// The manifest version.
        manifest: ManifestVersion,
    },
}

/// Error of encoding or decoding a message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("cannot encode or decode gossip message: {0}")]
pub struct MessageError(Box<str>);

impl GossipMessage {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoding fails.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        postcard::to_allocvec(self).map_err(|error| MessageError::from_codec(&error))
    }

    /// Decodes a message; trailing bytes are an error.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not exactly one message.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let (message, remaining) =
            postcard::take_from_bytes(bytes).map_err(|error| MessageError::from_codec(&error))?;
        if remaining.is_empty() {
            return Ok(message);
        }
        Err(MessageError("trailing bytes".into()))
    }

    /// Returns the size of the encoding, in bytes.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        encoded_len(self)
    }
}

impl GossipRumour {
    /// Returns the size of the encoding, in bytes.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        encoded_len(self)
    }
}

impl MessageError {
    fn from_codec(error: &postcard::Error) -> Self {
        Self(error.to_string().into())
    }
}

/// Size of a value's encoding. A value that cannot be encoded gets a size that
/// fits no datagram; half of the maximum lets callers add to it without overflow.
fn encoded_len<T: Serialize>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX / 2)
}
