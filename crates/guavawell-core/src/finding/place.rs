//! Location of a finding in a file.

use std::fmt;

use serde::Serialize;

/// A location in an operator's file.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct FindingPlace {
    /// The file's path as the operator gave it.
    pub file: Box<str>,
    /// The line, counted from 1; 0 if the finding is about the whole file.
    pub line: u32,
    /// The column in characters, counted from 1; 0 if it is not known.
    pub column: u32,
    /// The key with the path of its table, such as `budget[3].paid`; may be empty.
    pub key: Box<str>,
}

impl fmt::Display for FindingPlace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.file)?;
        if self.line > 0 {
            write!(formatter, ":{}", self.line)?;
        }
        if self.column > 0 {
            write!(formatter, ":{}", self.column)?;
        }
        if !self.key.is_empty() {
            write!(formatter, ": {}", self.key)?;
        }
        Ok(())
    }
}

/// A value and its byte offset in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedValue<T> {
    /// The value.
    pub value: T,
    /// The byte offset of the value in the file.
    pub offset: usize,
}

impl<T> PlacedValue<T> {
    /// A value that starts at `offset`.
    pub const fn new(value: T, offset: usize) -> Self {
        Self { value, offset }
    }
}

/// Returns the line of the byte `offset` in `text`, counted from 1.
#[must_use]
pub fn line_at(text: &str, offset: usize) -> u32 {
    let before = text.as_bytes().iter().take(offset);
    let breaks = before.filter(|byte| **byte == b'\n').count();
    u32::try_from(breaks + 1).unwrap_or(u32::MAX)
}
