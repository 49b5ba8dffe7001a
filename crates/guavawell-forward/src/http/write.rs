//! Writes message heads and chunks.

use std::io::Write;

/// Builds the head of a request or response.
#[derive(Debug, Default)]
pub struct HeadWriter {
    bytes: Vec<u8>,
}

impl HeadWriter {
    /// Starts a request head.
    #[must_use]
    pub fn request(method: &str, target: &str) -> Self {
        let mut bytes = Vec::with_capacity(768);
        for part in [method, " ", target, " HTTP/1.1\r\n"] {
            bytes.extend_from_slice(part.as_bytes());
        }
        Self { bytes }
    }

    /// Starts a response head.
    #[must_use]
    pub fn response(status: u16, reason: &str) -> Self {
        let mut head = Self {
            bytes: Vec::with_capacity(512),
        };
        head.push(format_args!("HTTP/1.1 {status} {reason}\r\n"));
        head
    }

    /// Adds a field.
    pub fn field(&mut self, name: &str, value: &[u8]) {
        self.bytes.extend_from_slice(name.as_bytes());
        self.bytes.extend_from_slice(b": ");
        self.bytes.extend_from_slice(value);
        self.bytes.extend_from_slice(b"\r\n");
    }

    /// Adds a field whose value is formatted with `Display`.
    pub fn field_of(&mut self, name: &str, value: impl std::fmt::Display) {
        self.push(format_args!("{name}: {value}\r\n"));
    }

    /// The head without its final empty line, for a field that is appended later.
    #[must_use]
    pub fn unfinished(self) -> Vec<u8> {
        self.bytes
    }

    /// The complete head, with its final empty line.
    #[must_use]
    pub fn finish(mut self) -> Vec<u8> {
        self.bytes.extend_from_slice(b"\r\n");
        self.bytes
    }

    fn push(&mut self, text: std::fmt::Arguments<'_>) {
        // Writing to a vector cannot fail.
        let _ = self.bytes.write_fmt(text);
    }
}

/// Appends one chunk. Empty content is skipped: an empty chunk would end the body.
pub fn write_chunk(content: &[u8], output: &mut Vec<u8>) {
    if content.is_empty() {
        return;
    }
    // Writing to a vector cannot fail.
    let _ = write!(output, "{:x}\r\n", content.len());
    output.extend_from_slice(content);
    output.extend_from_slice(b"\r\n");
}
