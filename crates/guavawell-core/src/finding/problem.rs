//! What is wrong at a place.

use std::fmt;

use thiserror::Error;

/// A kind of TOML value, named for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueKind {
    /// Text in quotes.
    Text,
    /// A whole number.
    Integer,
    /// `true` or `false`.
    Boolean,
    /// A list of texts.
    TextList,
    /// A table.
    Table,
    /// A list of tables.
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

/// What is wrong at a place.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FindingProblem {
    /// The file is not TOML at this place.
    #[error("not valid TOML: {message}")]
    Syntax {
        /// The parser's explanation.
        message: Box<str>,
    },
    /// The key means nothing here.
    #[error("unknown key{}", suggestion(.nearest.as_deref()))]
    UnknownKey {
        /// The nearest key that would mean something, if one is near.
        nearest: Option<Box<str>>,
    },
    /// A key that must be there is not.
    #[error("missing; state {expected}")]
    MissingKey {
        /// The kind of value to state.
        expected: ValueKind,
    },
    /// The value is of another type.
    #[error("expected {expected}, found {found}")]
    WrongType {
        /// The kind of value that belongs here.
        expected: ValueKind,
        /// The kind of value found.
        found: Box<str>,
    },
    /// The number lies outside its range.
    #[error("{found} is outside {low} to {high}")]
    OutOfRange {
        /// The number found.
        found: Box<str>,
        /// The smallest accepted number.
        low: u64,
        /// The largest accepted number.
        high: u64,
    },
    /// The text does not read as the value that belongs here.
    #[error("{reason}")]
    BadValue {
        /// What is wrong and what would be right.
        reason: Box<str>,
    },
    /// The same thing is stated a second time.
    #[error("`{name}` is stated twice; the first is on line {first_line}")]
    Duplicate {
        /// The name stated twice.
        name: Box<str>,
        /// The line of the first.
        first_line: u32,
    },
    /// The value names something that the file does not hold.
    #[error("there is no {kind} `{name}`{}", suggestion(.nearest.as_deref()))]
    DanglingReference {
        /// The kind of thing named, for instance `budget`.
        kind: &'static str,
        /// The name.
        name: Box<str>,
        /// The nearest name that exists, if one is near.
        nearest: Option<Box<str>>,
    },
    /// Two statements of the file do not go together.
    #[error("{reason}")]
    Conflict {
        /// What clashes, and the way out.
        reason: Box<str>,
    },
}

fn suggestion(nearest: Option<&str>) -> String {
    nearest.map_or_else(String::new, |word| {
        format!("; the nearest known one is `{word}`")
    })
}
