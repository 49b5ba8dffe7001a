//! Priority classes of writes to the platform.

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
