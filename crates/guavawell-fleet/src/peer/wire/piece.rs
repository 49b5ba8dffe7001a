//! Ledger handovers in pieces, so that no message grows with the ledger.

use std::mem;

use guavawell_core::budget::LedgerHandover;
use guavawell_core::budget::RecordStamp;

use super::WireError;

/// Most bytes of a ledger's text in one message.
pub const PIECE_BYTES: usize = 256 * 1024;

/// Most bytes of a whole ledger's text; a larger one is refused.
const MAX_LEDGER_BYTES: usize = 64 * 1024 * 1024;

/// A part of a ledger handover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerPiece {
    /// The handover's stamp.
    pub stamp: RecordStamp,
    /// The handover's number.
    pub handover: u64,
    /// The piece's number, from 0.
    pub index: u32,
    /// Whether this is the last piece.
    pub last: bool,
    /// Bytes of the ledger's JSON text.
    pub ledger: Box<[u8]>,
}

/// Splits a handover into pieces of at most `piece_bytes` of text.
pub fn split_handover(handover: &LedgerHandover, piece_bytes: usize) -> Vec<LedgerPiece> {
    let text = serde_json::to_vec(&handover.ledger);
    let text = text.expect("a ledger has a JSON form");
    let count = text.len().div_ceil(piece_bytes).max(1);
    let pieces = text.chunks(piece_bytes).enumerate();
    let pieces = pieces.map(|(index, chunk)| LedgerPiece {
        stamp: handover.stamp.clone(),
        handover: handover.handover,
        index: u32::try_from(index).unwrap_or(u32::MAX),
        last: index + 1 == count,
        ledger: chunk.into(),
    });
    pieces.collect()
}

/// Puts the pieces of one handover at a time together.
#[derive(Debug, Default)]
pub struct PieceAssembly {
    text: Vec<u8>,
    /// What the next piece has to continue; absent before a first piece.
    open: Option<OpenHandover>,
}

#[derive(Debug, PartialEq, Eq)]
struct OpenHandover {
    stamp: RecordStamp,
    handover: u64,
    next: u32,
}

impl PieceAssembly {
    /// Takes a piece; returns the handover with its last one. A first piece
    /// drops what an earlier handover left unfinished.
    ///
    /// # Errors
    ///
    /// The piece does not continue the one before, or the ledger is too large
    /// or damaged.
    pub fn push(&mut self, piece: LedgerPiece) -> Result<Option<LedgerHandover>, WireError> {
        if piece.index == 0 {
            self.text.clear();
        } else if !self.is_next(&piece) {
            self.drop_open();
            return Err(WireError::WrongValue("a ledger piece is missing".into()));
        }
        self.text.extend_from_slice(&piece.ledger);
        if self.text.len() > MAX_LEDGER_BYTES {
            self.drop_open();
            return Err(WireError::WrongValue("a ledger is too large".into()));
        }
        if piece.last {
            return self.finish(piece).map(Some);
        }
        self.open = Some(OpenHandover {
            stamp: piece.stamp,
            handover: piece.handover,
            next: piece.index + 1,
        });
        Ok(None)
    }

    fn is_next(&self, piece: &LedgerPiece) -> bool {
        self.open.as_ref().is_some_and(|open| {
            let same = open.stamp == piece.stamp && open.handover == piece.handover;
            same && open.next == piece.index
        })
    }

    fn drop_open(&mut self) {
        self.text = Vec::new();
        self.open = None;
    }

    fn finish(&mut self, piece: LedgerPiece) -> Result<LedgerHandover, WireError> {
        let text = mem::take(&mut self.text);
        self.open = None;
        let ledger = serde_json::from_slice(&text)
            .map_err(|error| WireError::WrongValue(error.to_string().into()))?;
        Ok(LedgerHandover {
            stamp: piece.stamp,
            handover: piece.handover,
            ledger,
        })
    }
}
