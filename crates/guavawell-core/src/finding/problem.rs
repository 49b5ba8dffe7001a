//! Kinds of problems in an operator's file.

use std::fmt;

use thiserror::Error;

/// A kind of TOML value, displayed in terms for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueKind {
    /// A string.
    Text,
    /// An integer.
    Integer,
    /// `true` or `false`.
    Boolean,
    /// An array of strings.
    TextList,
    /// A table.
    Table,
    /// An array of tables.
    TableList,
}

impl fmt::Display for ValueKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Text => "text in quotes",
            Self::Integer => "a whole number",
            Self::Boolean => "`true` or `false`",
            Self::TextList => "a list of texts in quotes",
            Self::Table => "a table",
            Self::TableList => "a list of tables",
        })
    }
}

/// What is wrong at a location.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FindingProblem {
    /// The file is not valid TOML.
    #[error("not valid TOML: {message}")]
    Syntax {
        /// The parser's message.
        message: Box<str>,
    },
    /// The table has no such key.
    #[error("unknown key{}", suggestion(.nearest.as_deref()))]
    UnknownKey {
        /// The most similar known key, if one is similar enough.
        nearest: Option<Box<str>>,
    },
    /// A required key is missing.
    #[error("missing; state {expected}")]
    MissingKey {
        /// The kind of value that the key needs.
        expected: ValueKind,
    },
    /// The value has the wrong type.
    #[error("expected {expected}, found {found}")]
    WrongType {
        /// The expected kind of value.
        expected: ValueKind,
        /// The TOML type found.
        found: Box<str>,
    },
    /// The number is outside the accepted range.
    #[error("{found} is outside {low} to {high}")]
    OutOfRange {
        /// The number found.
        found: Box<str>,
        /// The smallest accepted number.
        low: u64,
        /// The largest accepted number.
        high: u64,
    },
    /// The string cannot be parsed as the expected value.
    #[error("{reason}")]
    BadValue {
        /// What is wrong and what would be correct.
        reason: Box<str>,
    },
    /// A name is defined a second time.
    #[error("`{name}` is stated twice; the first is on line {first_line}")]
    Duplicate {
        /// The name that is defined twice.
        name: Box<str>,
        /// The line of the first definition.
        first_line: u32,
    },
    /// The value refers to something that the file does not define.
    #[error("there is no {kind} `{name}`{}", suggestion(.nearest.as_deref()))]
    DanglingReference {
        /// The kind of the missing definition, such as `budget`.
        kind: &'static str,
        /// The name in the reference.
        name: Box<str>,
        /// The most similar defined name, if one is similar enough.
        nearest: Option<Box<str>>,
    },
    /// Two values in the file contradict each other.
    #[error("{reason}")]
    Conflict {
        /// Which values conflict, and how to correct them.
        reason: Box<str>,
    },
}

fn suggestion(nearest: Option<&str>) -> String {
    nearest.map_or_else(String::new, |word| {
        format!("; the nearest known one is `{word}`")
    })
}
