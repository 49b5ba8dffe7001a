//! Priority classes of writes to the platform and reads from it.

use std::fmt;

/// Purpose of a write, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WriteClass {
    /// Budgets, grants and slots.
    Money,
    /// Claims of request ids and their seals.
    Claim,
    /// Segments of billing records.
    Journal,
    /// Everything else, such as manifests, orders and marks.
    Rest,
}

impl WriteClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 4] = [Self::Money, Self::Claim, Self::Journal, Self::Rest];

    /// The value of the metric label.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Money => "money",
            Self::Claim => "claim",
            Self::Journal => "journal",
            Self::Rest => "rest",
        }
    }
}

impl fmt::Display for WriteClass {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}

/// Purpose of a read, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReadClass {
    /// One row, read before a write or to replace a lost response.
    Row,
    /// Lists and ranges that are read periodically.
    Poll,
    /// Objects, such as pages of a manifest and segments of the journal.
    Bulk,
}

impl ReadClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Row, Self::Poll, Self::Bulk];

    /// The value of the metric label.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Row => "row",
            Self::Poll => "poll",
            Self::Bulk => "bulk",
        }
    }
}

/// How many tokens an operation leaves to others, and whether it adds to demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareUrgency {
    /// Tokens that it must leave to more urgent operations, in percent of the
    /// burst.
    pub reserved_percent: u8,
    /// Whether its waiting counts as demand for a larger share.
    pub raises_demand: bool,
}

impl From<WriteClass> for ShareUrgency {
    fn from(class: WriteClass) -> Self {
        let reserved_percent = match class {
            WriteClass::Money => 0,
            WriteClass::Claim => 25,
            WriteClass::Journal => 50,
            WriteClass::Rest => 75,
        };
        Self {
            reserved_percent,
            raises_demand: class != WriteClass::Rest,
        }
    }
}

impl From<ReadClass> for ShareUrgency {
    fn from(class: ReadClass) -> Self {
        let reserved_percent = match class {
            ReadClass::Row => 0,
            ReadClass::Poll => 25,
            ReadClass::Bulk => 50,
        };
        Self {
            reserved_percent,
            raises_demand: true,
        }
    }
}
