//! Server-sent events, cut out of the body as it arrives.

/// One event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StreamEvent<'a> {
    /// The event's name; empty for a plain message.
    pub(super) name: &'a [u8],
    /// Its data, of one line as the protocol has it.
    pub(super) data: &'a [u8],
}

/// Collects bytes and cuts events at blank lines.
#[derive(Default)]
pub(super) struct StreamDecoder {
    buffer: Vec<u8>,
    taken: usize,
}

impl StreamDecoder {
    /// Adds bytes as they arrived.
    pub(super) fn feed(&mut self, bytes: &[u8]) {
        if self.taken > 0 {
            self.buffer.drain(..self.taken);
            self.taken = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event, if there is one.
    pub(super) fn next_event(&mut self) -> Option<StreamEvent<'_>> {
        let rest = &self.buffer[self.taken..];
        let length = event_length(rest)?;
        let block = &rest[..length];
        self.taken += length;
        Some(read_event(block))
    }
}

/// The length of the first event with its blank line.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    while let Some(offset) = bytes[line_start..].iter().position(|byte| *byte == b'\n') {
        let line = &bytes[line_start..line_start + offset];
        line_start += offset + 1;
        if line.is_empty() || line == b"\r" {
            return Some(line_start);
        }
    }
    None
}

fn read_event(block: &[u8]) -> StreamEvent<'_> {
    let mut event = StreamEvent {
        name: b"",
        data: b"",
    };
    for line in block.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(data) = line.strip_prefix(b"data:") {
            event.data = data.trim_ascii_start();
        } else if let Some(name) = line.strip_prefix(b"event:") {
            event.name = name.trim_ascii_start();
        }
    }
    event
}

#[cfg(test)]
mod tests;
