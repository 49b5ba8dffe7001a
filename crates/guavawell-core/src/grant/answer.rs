//! What a reservation is answered, and what it was decided by.

use std::str::FromStr;

use thiserror::Error;

use crate::clock::ClockSpan;

/// The answer to a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveAnswer {
    /// The tokens are reserved.
    Granted,
    /// The tokens are reserved, so many of them from what others lent.
    GrantedLoan(u64),
    /// The grant covers it, the line does not yet; by itself it will after
    /// this time. Writing the line helps at once.
    Locked(ClockSpan),
    /// The grant does not cover it. Asking for more may help.
    Short,
    /// What is left does not cover it unless requests that run now spend less
    /// than their most. Asking for more does not help.
    Drained,
    /// What is left does not cover it whatever the requests that run now spend.
    /// Ended processes may have spent less than is reckoned, which nobody can
    /// prove: only a higher payment helps.
    Frozen,
    /// What was paid does not cover it, whatever others give back.
    Exhausted,
    /// Nothing is known of this budget yet.
    Unknown,
}

impl ReserveAnswer {
    /// The name in logs and between instances.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::GrantedLoan(_) => "granted_loan",
            Self::Locked(_) => "locked",
            Self::Short => "short",
            Self::Drained => "drained",
            Self::Frozen => "frozen",
            Self::Exhausted => "exhausted",
            Self::Unknown => "unknown",
        }
    }

    /// Whether the budget covers the request at no instance: neither asking for
    /// more nor another holder helps.
    #[must_use]
    pub const fn is_used_up(self) -> bool {
        matches!(self, Self::Drained | Self::Frozen | Self::Exhausted)
    }
}

/// A name that is no cause of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no cause of a refusal has this name")]
pub struct UnknownCause;

impl FromStr for ReserveAnswer {
    type Err = UnknownCause;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let causes = [
            Self::Granted,
            Self::Short,
            Self::Drained,
            Self::Frozen,
            Self::Exhausted,
            Self::Unknown,
        ];
        let found = causes.into_iter().find(|cause| cause.as_str() == text);
        found.ok_or(UnknownCause)
    }
}

/// What a reservation was decided by, for logs. Counts are tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetFacts {
    /// Paid for in all.
    pub paid: u64,
    /// Spent by ended boots or granted to living ones, by the row.
    pub committed: u64,
    /// Spent at most by ended boots, by the row.
    pub closed: u64,
    /// Granted to this boot.
    pub grant: u64,
    /// Reserved or spent by this boot.
    pub used: u64,
    /// The lowest line in force.
    pub allowed: u64,
    /// Version of the row that says so.
    pub row: u64,
    /// Time since the row was last written or read here.
    pub row_age: ClockSpan,
}
