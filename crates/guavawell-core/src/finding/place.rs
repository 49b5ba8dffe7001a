//! The place of a finding.

use std::fmt;

/// A place in an operator's file.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FindingPlace {
    /// The file's path, as the operator gave it.
    pub file: Box<str>,
    /// The line, from 1; 0 if the finding is about the whole file.
    pub line: u32,
    /// The key with its tables, for instance `callers.listen`; may be empty.
    pub key: Box<str>,
}

impl fmt::Display for FindingPlace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.file)?;
        if self.line > 0 {
            write!(formatter, ":{}", self.line)?;
        }
        if !self.key.is_empty() {
            write!(formatter, ": {}", self.key)?;
        }
        Ok(())
    }
}

/// The line, from 1, of the byte `offset` in `text`.
#[must_use]
pub fn line_at(text: &str, offset: usize) -> u32 {
    let before = text.as_bytes().iter().take(offset);
    let breaks = before.filter(|byte| **byte == b'\n').count();
    u32::try_from(breaks + 1).unwrap_or(u32::MAX)
}
