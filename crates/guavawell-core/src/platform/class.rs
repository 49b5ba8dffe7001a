//! Priority classes of writes and reads at the platform.

use std::fmt;

/// What a write to the platform is for, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WriteClass {
    /// Slots, grants and budgets.
    Money,
    /// Claims and seals of requests.
    Claim,
    /// Segments of billing records.
    Journal,
    /// Everything else: manifests, orders, marks.
    Rest,
}

impl WriteClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 4] = [Self::Money, Self::Claim, Self::Journal, Self::Rest];

    /// The class as a metric's label.
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

/// What a read at the platform is for, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReadClass {
    /// One row, before a write or in place of an answer that was lost.
    Row,
    /// Lists and ranges that are read again and again.
    Poll,
    /// Objects: pages of a manifest, segments of the journal.
    Bulk,
}

impl ReadClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Row, Self::Poll, Self::Bulk];

    /// The class as a metric's label.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Row => "row",
            Self::Poll => "poll",
            Self::Bulk => "bulk",
        }
    }
}

/// How far down an operation may draw a share, and whether it may borrow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareUrgency {
    /// What it leaves to more urgent operations, in percent of the burst.
    pub reserved_percent: u8,
    /// Whether its waiting counts as demand for more than the own share.
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
