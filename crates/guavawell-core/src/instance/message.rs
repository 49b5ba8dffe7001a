//! The messages that instances exchange, and their compact encoding.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use super::note::GossipNote;
use super::record::MemberRecord;
use crate::id::IncarnationId;
use crate::id::InstanceId;
use crate::id::ManifestVersion;

/// One message, small enough for one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender as it sees itself.
    pub sender: MemberRecord,
    /// What the message is for.
    pub body: MessageBody,
    /// News that rides along.
    pub rumours: Vec<GossipRumour>,
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Only carries news.
    News,
    /// Asks `target` to answer.
    Ping {
        /// Number of the probe at its sender.
        probe: u64,
        /// The instance that should answer; any other instance stays silent.
        target: InstanceId,
    },
    /// Answers a ping.
    Ack {
        /// Number of the probe at the receiver.
        probe: u64,
        /// The instance that answered, perhaps through a third one.
        target: InstanceId,
        /// The life that answered.
        incarnation: IncarnationId,
    },
    /// Asks the receiver to ping `target` on the sender's behalf.
    PingRequest {
        /// Number of the probe at the sender.
        probe: u64,
        /// The instance to ping.
        target: InstanceId,
        /// Where it receives gossip.
        address: SocketAddr,
    },
    /// Compares the sender's whole state with the receiver's.
    Digest {
        /// One hash for each bucket of members.
        buckets: Vec<u32>,
        /// One hash over the notes of the whole fleet.
        notes: u32,
    },
    /// Answers a digest that differed, asking for the receiver's side.
    Difference {
        /// The buckets whose records the sender has sent and wants.
        buckets: Vec<u8>,
        /// Whether the notes of the whole fleet differed.
        notes: bool,
        /// Whether further buckets differ.
        more: bool,
    },
    /// One page of records that a comparison asked for.
    Page,
}

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipRumour {
    /// What is known of an instance.
    Member(MemberRecord),
    /// A note.
    Note(GossipNote),
    /// The manifest version that an instance has in force.
    Manifest {
        /// The instance.
        instance: InstanceId,
        /// Its life.
        incarnation: IncarnationId,
        /// The version.
        manifest: ManifestVersion,
    },
}

/// Why bytes are not a message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a gossip message of this version: {0}")]
pub struct MessageError(Box<str>);

impl GossipMessage {
    /// The message as bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoding fails.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        postcard::to_allocvec(self).map_err(|error| MessageError::from_codec(&error))
    }

    /// Reads a message; trailing bytes are an error.
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

    /// Size of the encoding, in bytes.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        encoded_len(self)
    }
}

impl GossipRumour {
    /// Size of the encoding, in bytes.
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

/// Size of a value's encoding; a value that cannot be encoded fits nowhere.
fn encoded_len<T: Serialize>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX / 2)
}
