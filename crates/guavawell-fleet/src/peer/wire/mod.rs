//! Between the messages' types and `schema/peer.capnp`, both ways.
//!
//! It moves fields and checks their form; it never judges their meaning.

mod answer;
mod ask;
mod page;
mod piece;
mod relay;
#[cfg(test)]
mod tests;
mod value;
mod witness;

use thiserror::Error;

pub use answer::read_answer;
pub use answer::write_answer;
pub use ask::read_ask;
pub use ask::write_ask;
pub use piece::LedgerPiece;
pub use piece::PIECE_BYTES;
pub use piece::PieceAssembly;
pub use piece::split_handover;
pub use value::read_life;
pub use value::write_life;

use super::message::PeerRequest;

/// What goes over the wire for a request: itself, or a piece of a handover
/// that would be too large for one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireAsk {
    /// A whole request.
    Request(Box<PeerRequest>),
    /// A piece of a ledger handover.
    Piece(Box<LedgerPiece>),
}

/// Why a message cannot be read.
#[derive(Debug, Error)]
pub enum WireError {
    /// The message's structure is damaged.
    #[error("a damaged message: {0}")]
    Damaged(#[from] capnp::Error),
    /// The message holds a choice that this version does not know.
    #[error("a message of a later version: choice {0}")]
    Unknown(u16),
    /// A value breaks its type's rules.
    #[error("a wrong value: {0}")]
    WrongValue(Box<str>),
}

impl From<capnp::NotInSchema> for WireError {
    fn from(unknown: capnp::NotInSchema) -> Self {
        Self::Unknown(unknown.0)
    }
}
