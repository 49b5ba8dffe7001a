//! The framing of the bytes that one instance passes on to another: records with a
//! length, and a mark after the last one. A connection that ends without the mark was
//! not ended by the one whose bytes they are.

/// Size of the length before the bytes of a record.
pub const RECORD_HEAD_BYTES: usize = 4;
/// The mark after the last record: the length zero.
pub const RECORD_END: [u8; RECORD_HEAD_BYTES] = [0; RECORD_HEAD_BYTES];

/// The length before a record of `length` bytes, which must not be zero.
///
/// # Panics
///
/// The length does not fit into four bytes.
#[must_use]
pub fn record_head(length: usize) -> [u8; RECORD_HEAD_BYTES] {
    let length = u32::try_from(length).expect("a record is as long as a buffer");
    length.to_be_bytes()
}

/// Extracts the bytes of records from what was received.
#[derive(Clone, Debug, Default)]
pub struct RecordDecoder {
    /// The received part of a length.
    head: Vec<u8>,
    /// Bytes of the present record that are still to come.
    remaining: usize,
    ended: bool,
}

impl RecordDecoder {
    /// Appends the bytes of records in `input` to `output`. What follows the mark after
    /// the last record is ignored.
    pub fn decode(&mut self, mut input: &[u8], output: &mut Vec<u8>) {
        while !input.is_empty() && !self.ended {
            if self.remaining == 0 {
                input = self.decode_head(input);
                continue;
            }
            let (content, rest) = input.split_at(self.remaining.min(input.len()));
            output.extend_from_slice(content);
            self.remaining -= content.len();
            input = rest;
        }
    }

    /// Decodes a part of a length, and returns what follows it.
    fn decode_head<'a>(&mut self, input: &'a [u8]) -> &'a [u8] {
        let missing = RECORD_HEAD_BYTES - self.head.len();
        let (part, rest) = input.split_at(missing.min(input.len()));
        self.head.extend_from_slice(part);
        if let Ok(head) = <[u8; RECORD_HEAD_BYTES]>::try_from(&*self.head) {
            self.head.clear();
            self.remaining = usize::try_from(u32::from_be_bytes(head)).unwrap_or(usize::MAX);
            self.ended = self.remaining == 0;
        }
        rest
    }

    /// Whether the mark after the last record was received.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        self.ended
    }

    /// Whether neither a record nor the mark has begun to arrive since the last record.
    #[must_use]
    pub fn is_between_records(&self) -> bool {
        !self.ended && self.remaining == 0 && self.head.is_empty()
    }
}
