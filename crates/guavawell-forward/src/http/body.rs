//! Bodies: the decoder of all framings.

use thiserror::Error;

use super::BodyFraming;

/// Longest line of a chunk's size, extensions included, in bytes.
const MAX_SIZE_LINE: usize = 256;
/// Most bytes of trailers.
const MAX_TRAILERS: usize = 4_096;

/// Why a body cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// A chunk's size is malformed or too long.
    #[error("malformed chunk size")]
    ChunkSize,
    /// A chunk does not end with a line break.
    #[error("a chunk without its line break")]
    ChunkEnd,
    /// The trailers are too long.
    #[error("trailers too long")]
    Trailers,
}

/// Where the decoder stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    /// So many bytes of content are left of a length or a chunk.
    Content(u64),
    /// Content until the connection ends.
    Open,
    /// A chunk's size line comes next.
    Size,
    /// The line break after a chunk comes next.
    Break,
    /// Trailers come next; so many bytes of them were read.
    Trailers(usize),
    /// The body has ended.
    Done,
}

/// Takes content out of received bytes.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: BodyState,
    chunked: bool,
}

impl BodyDecoder {
    /// A decoder of a body that begins now.
    #[must_use]
    pub const fn new(framing: BodyFraming) -> Self {
        let (state, chunked) = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => (BodyState::Done, false),
            BodyFraming::Length(length) => (BodyState::Content(length), false),
            BodyFraming::Chunked => (BodyState::Size, true),
            BodyFraming::UntilClose => (BodyState::Open, false),
        };
        Self { state, chunked }
    }

    /// Whether the body is complete.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == BodyState::Done
    }

    /// Whether the end of the connection is the end of the body.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.state == BodyState::Open
    }

    /// Decodes from `input`, appends content to `output` and returns how many
    /// bytes it took.
    ///
    /// # Errors
    ///
    /// The chunks are malformed.
    pub fn decode(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<usize, BodyError> {
        let mut taken = 0;
        loop {
            let rest = &input[taken..];
            let step = self.step(rest, output)?;
            if step == 0 {
                return Ok(taken);
            }
            taken += step;
        }
    }

    /// One step; zero if more input is needed or the body is done.
    fn step(&mut self, rest: &[u8], output: &mut Vec<u8>) -> Result<usize, BodyError> {
        match self.state {
            BodyState::Done => Ok(0),
            BodyState::Open => {
                output.extend_from_slice(rest);
                Ok(rest.len())
            }
            BodyState::Content(left) => Ok(self.content(left, rest, output)),
            BodyState::Size => self.size(rest),
            BodyState::Break => self.line_break(rest),
            BodyState::Trailers(read) => self.trailer(read, rest),
        }
    }

    fn content(&mut self, left: u64, rest: &[u8], output: &mut Vec<u8>) -> usize {
        let most = usize::try_from(left).unwrap_or(usize::MAX);
        let count = rest.len().min(most);
        output.extend_from_slice(&rest[..count]);
        let left = left - count as u64;
        self.state = match (left, self.chunked) {
            (0, true) => BodyState::Break,
            (0, false) => BodyState::Done,
            _ => BodyState::Content(left),
        };
        count
    }

    fn size(&mut self, rest: &[u8]) -> Result<usize, BodyError> {
        let Some(end) = line_end(rest) else {
            let too_long = rest.len() > MAX_SIZE_LINE;
            return if too_long {
                Err(BodyError::ChunkSize)
            } else {
                Ok(0)
            };
        };
        let line = rest[..end]
            .strip_suffix(b"\r\n")
            .ok_or(BodyError::ChunkSize)?;
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

    fn line_break(&mut self, rest: &[u8]) -> Result<usize, BodyError> {
        if rest.len() < 2 {
            return if b"\r\n".starts_with(rest) {
                Ok(0)
            } else {
                Err(BodyError::ChunkEnd)
            };
        }
        if !rest.starts_with(b"\r\n") {
            return Err(BodyError::ChunkEnd);
        }
        self.state = BodyState::Size;
        Ok(2)
    }

    fn trailer(&mut self, read: usize, rest: &[u8]) -> Result<usize, BodyError> {
        let Some(end) = line_end(rest) else {
            let too_long = read + rest.len() > MAX_TRAILERS;
            return if too_long {
                Err(BodyError::Trailers)
            } else {
                Ok(0)
            };
        };
        let empty = &rest[..end] == b"\r\n";
        self.state = match read + end {
            _ if empty => BodyState::Done,
            read if read > MAX_TRAILERS => return Err(BodyError::Trailers),
            read => BodyState::Trailers(read),
        };
        Ok(end)
    }
}

fn line_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .iter()
        .position(|byte| *byte == b'\n')
        .map(|place| place + 1)
}
