//! Heads and chunks on their way out.

use std::io::Write;

/// Builds a head.
#[derive(Debug, Default)]
pub struct HeadWriter {
    bytes: Vec<u8>,
}

impl HeadWriter {
    /// A request's head.
    #[must_use]
    pub fn request(method: &str, target: &str) -> Self {
        let mut bytes = Vec::with_capacity(768);
        for part in [method, " ", target, " HTTP/1.1\r\n"] {
            bytes.extend_from_slice(part.as_bytes());
        }
        Self { bytes }
    }

    /// A response's head.
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

    /// Adds a field whose value is a number or other short text.
    pub fn field_of(&mut self, name: &str, value: impl std::fmt::Display) {
        self.push(format_args!("{name}: {value}\r\n"));
    }

    /// The head so far, to which more is added.
    #[must_use]
    pub fn unfinished(self) -> Vec<u8> {
        self.bytes
    }

    /// Ends the head.
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

/// Appends one chunk; an empty one would end the body, so it is left out.
pub fn write_chunk(content: &[u8], output: &mut Vec<u8>) {
    if content.is_empty() {
        return;
    }
    // Writing to a vector cannot fail.
    let _ = write!(output, "{:x}\r\n", content.len());
    output.extend_from_slice(content);
    output.extend_from_slice(b"\r\n");
}
