//! Reading one event a line.

use std::io;
use std::io::BufRead;
use std::io::Read;

use guavawell_core::event::EventRecord;

use super::EventSource;
use super::bad::BadReason;

/// Longest line that is taken for an event, in bytes.
const MAX_LINE_BYTES: usize = 256 * 1024;

/// Reads a log line by line.
pub(super) struct LineReader {
    source: EventSource,
    line: u64,
    buffer: Vec<u8>,
    ended: bool,
}

/// One line of a log.
pub(super) struct ReadLine {
    /// The line's number, from 1.
    pub(super) line: u64,
    /// The event, or why there is none.
    pub(super) event: Result<EventRecord, BadReason>,
}

impl LineReader {
    pub(super) fn new(source: EventSource) -> Self {
        Self {
            source,
            line: 0,
            buffer: Vec::new(),
            ended: false,
        }
    }

    /// The next line that is not blank.
    pub(super) fn next_line(&mut self) -> Option<ReadLine> {
        while !self.ended {
            self.line += 1;
            let read = self.fill();
            let event = match read {
                Err(error) => {
                    self.ended = true;
                    Err(BadReason::Unreadable(error.to_string().into()))
                }
                Ok(false) => Err(BadReason::TooLong),
                Ok(true) => {
                    let complete = self.buffer.ends_with(b"\n");
                    self.ended = !complete;
                    let text = self.buffer.trim_ascii();
                    if text.is_empty() {
                        continue;
                    }
                    parse_event(text, complete)
                }
            };
            let line = self.line;
            return Some(ReadLine { line, event });
        }
        None
    }

    /// Reads a line into the buffer; `false` if it was too long and skipped.
    fn fill(&mut self) -> io::Result<bool> {
        self.buffer.clear();
        let reader = &mut self.source.reader;
        let limit = MAX_LINE_BYTES as u64;
        reader
            .by_ref()
            .take(limit)
            .read_until(b'\n', &mut self.buffer)?;
        if self.buffer.len() < MAX_LINE_BYTES || self.buffer.ends_with(b"\n") {
            return Ok(true);
        }
        reader.skip_until(b'\n')?;
        Ok(false)
    }
}

fn parse_event(text: &[u8], complete: bool) -> Result<EventRecord, BadReason> {
    serde_json::from_slice(text).map_err(|error| {
        if complete {
            BadReason::Malformed(error.to_string().into())
        } else {
            BadReason::Truncated
        }
    })
}
