//! Answers to reservations, and the figures that explain them.

use std::str::FromStr;

use thiserror::Error;

use crate::clock::ClockSpan;

/// The answer to a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveAnswer {
    /// The tokens are reserved.
    Granted,
    /// The tokens are reserved, and this many of them are borrowed.
    GrantedLoan(u64),
    /// The grant covers the request, but the spend limit does not. It will
    /// after this time; a write of the limit row raises it at once.
    Locked(ClockSpan),
    /// The grant does not cover the request. A larger grant may help.
    Short,
    /// What is left covers the request only if running requests spend less than
    /// they reserved. A larger grant does not help.
    Drained,
    /// What is left does not cover the request, whatever running requests
    /// spend. Ended processes may have spent less than they are charged for,
    /// but nobody can prove it: only a higher payment helps.
    Frozen,
    /// What was paid does not cover the request, even if everything unspent is
    /// returned.
    Exhausted,
    /// The state of the budget is not known, or this process makes no
    /// reservations yet or any more.
    Unknown,
}

impl ReserveAnswer {
    /// The name used in logs and between instances.
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

    /// Whether no instance can cover the request, so that neither a larger
    /// grant nor another holder helps.
    #[must_use]
    pub const fn is_used_up(self) -> bool {
        matches!(self, Self::Drained | Self::Frozen | Self::Exhausted)
    }
}

/// A text that names no cause of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("unknown cause of a refusal")]
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

/// The figures behind the answer to a reservation, for logs. Counts are tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetFacts {
    /// Paid for in total.
    pub paid: u64,
    /// Charged for ended boots or granted to running ones, according to the row.
    pub committed: u64,
    /// The most that ended boots can have spent, according to the row.
    pub closed: u64,
    /// Granted to this boot.
    pub grant: u64,
    /// Reserved or spent by this boot.
    pub used: u64,
    /// The lowest spend limit that may be in force.
    pub allowed: u64,
    /// Version of the budget row.
    pub row: u64,
    /// Time since this boot last sent a write of the row.
    pub row_age: ClockSpan,
}
