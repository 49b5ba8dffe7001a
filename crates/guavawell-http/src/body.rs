//! Decodes message bodies of all framings.

use thiserror::Error;

use crate::BodyFraming;
use crate::head::is_field_line;

/// Largest chunk size line, extensions included, in bytes.
const MAX_CHUNK_SIZE_LINE: usize = 256;
/// Largest total size of the trailers, in bytes.
const MAX_TRAILER_BYTES: usize = 4_096;

/// Why a body cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// A chunk's size is malformed or too long.
    #[error("malformed chunk size")]
    ChunkSize,
    /// A chunk does not end with a line break.
    #[error("chunk is not followed by a line break")]
    ChunkEnd,
    /// The trailers are malformed or too long.
    #[error("malformed trailers")]
    Trailers,
}

/// What the decoder expects next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    /// This many more bytes of content, up to the length of the body or chunk.
    Content(u64),
    /// Content until the connection closes.
    UntilClose,
    /// The size line of a chunk.
    ChunkSize,
    /// The line break after a chunk.
    ChunkEnd,
    /// Trailers; this many bytes of them were read.
    Trailers(usize),
    /// Nothing: the body is complete.
    Done,
}

/// Extracts a body's content from received bytes.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: BodyState,
    chunked: bool,
    states_length: bool,
}

impl BodyDecoder {
    /// Creates a decoder for a new body.
    #[must_use]
    #[inline]
    pub const fn new(framing: BodyFraming) -> Self {
        let (state, chunked) = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => (BodyState::Done, false),
            BodyFraming::Length(length) => (BodyState::Content(length), false),
            BodyFraming::Chunked => (BodyState::ChunkSize, true),
            BodyFraming::UntilClose => (BodyState::UntilClose, false),
        };
        let states_length = matches!(framing, BodyFraming::Empty | BodyFraming::Length(_));
        Self {
            state,
            chunked,
            states_length,
        }
    }

    /// Whether the length of the body was known before it was received.
    #[must_use]
    #[inline]
    pub const fn states_length(&self) -> bool {
        self.states_length
    }

    /// Whether the body is complete.
    #[must_use]
    #[inline]
    pub fn is_done(&self) -> bool {
        self.state == BodyState::Done
    }

    /// Whether the body ends when the connection closes.
    #[must_use]
    #[inline]
    pub fn ends_at_close(&self) -> bool {
        self.state == BodyState::UntilClose
    }

    /// Decodes `input`, appends the content to `output` and returns the number of
    /// consumed bytes.
    ///
    /// # Errors
    ///
    /// The chunked coding is malformed.
    pub fn decode(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<usize, BodyError> {
        self.decode_steps(input, output, usize::MAX)
    }

    /// As [`decode`](Self::decode), for at most this number of steps: each chunk takes three,
    /// each trailer one.
    ///
    /// # Errors
    ///
    /// The chunked coding is malformed.
    pub fn decode_steps(
        &mut self,
        input: &[u8],
        output: &mut Vec<u8>,
        max_steps: usize,
    ) -> Result<usize, BodyError> {
        let mut consumed = 0;
        for _ in 0..max_steps {
            let rest = &input[consumed..];
            let step = self.step(rest, output)?;
            if step == 0 {
                break;
            }
            consumed += step;
        }
        Ok(consumed)
    }

    /// Decodes one element and returns the number of consumed bytes: zero if more
    /// input is needed or the body is complete.
    fn step(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<usize, BodyError> {
        match self.state {
            BodyState::Done => Ok(0),
            BodyState::UntilClose => {
                output.extend_from_slice(input);
                Ok(input.len())
            }
            BodyState::Content(remaining) => Ok(self.decode_content(remaining, input, output)),
            BodyState::ChunkSize => self.decode_chunk_size(input),
            BodyState::ChunkEnd => self.decode_chunk_end(input),
            BodyState::Trailers(read) => self.skip_trailer(read, input),
        }
    }

    fn decode_content(&mut self, remaining: u64, input: &[u8], output: &mut Vec<u8>) -> usize {
        let limit = usize::try_from(remaining).unwrap_or(usize::MAX);
        let count = input.len().min(limit);
        output.extend_from_slice(&input[..count]);
        let remaining = remaining - count as u64;
        self.state = match (remaining, self.chunked) {
            (0, true) => BodyState::ChunkEnd,
            (0, false) => BodyState::Done,
            _ => BodyState::Content(remaining),
        };
        count
    }

    fn decode_chunk_size(&mut self, input: &[u8]) -> Result<usize, BodyError> {
        let Some(end) = line_end(input) else {
            let too_long = input.len() > MAX_CHUNK_SIZE_LINE;
            return if too_long {
                Err(BodyError::ChunkSize)
            } else {
                Ok(0)
            };
        };
        let line = input[..end]
            .strip_suffix(b"\r\n")
            .ok_or(BodyError::ChunkSize)?;
        let is_control = |byte: &u8| byte.is_ascii_control() && *byte != b'\t';
        if line.iter().any(is_control) {
            return Err(BodyError::ChunkSize);
        }
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
        let digits = digits.trim_ascii_end();
        let valid = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
        let text = std::str::from_utf8(digits).ok().filter(|_| valid);
        let size = text.and_then(|text| u64::from_str_radix(text, 16).ok());
        self.state = match size.ok_or(BodyError::ChunkSize)? {
            0 => BodyState::Trailers(0),
            size => BodyState::Content(size),
        };
        Ok(end)
    }

    fn decode_chunk_end(&mut self, input: &[u8]) -> Result<usize, BodyError> {
        if input.len() < 2 {
            return if b"\r\n".starts_with(input) {
                Ok(0)
            } else {
                Err(BodyError::ChunkEnd)
            };
        }
        if !input.starts_with(b"\r\n") {
            return Err(BodyError::ChunkEnd);
        }
        self.state = BodyState::ChunkSize;
        Ok(2)
    }

    fn skip_trailer(&mut self, read: usize, input: &[u8]) -> Result<usize, BodyError> {
        let Some(end) = line_end(input) else {
            let too_long = read + input.len() > MAX_TRAILER_BYTES;
            return if too_long {
                Err(BodyError::Trailers)
            } else {
                Ok(0)
            };
        };
        let line = &input[..end];
        let read = read + end;
        self.state = if line == b"\r\n" {
            BodyState::Done
        } else if read <= MAX_TRAILER_BYTES && is_field_line(line) {
            BodyState::Trailers(read)
        } else {
            return Err(BodyError::Trailers);
        };
        Ok(end)
    }
}

fn line_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .iter()
        .position(|byte| *byte == b'\n')
        .map(|index| index + 1)
}
