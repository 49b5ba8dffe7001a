//! What admission is asked and what it answers.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::OrganisationId;

/// Largest request priority.
const MAX_PRIORITY: u8 = 9;
/// Priority without the caller's word.
const DEFAULT_PRIORITY: u8 = 5;

/// One request at admission, unique within a router's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionTicket(u64);

impl AdmissionTicket {
    /// Wraps a plain number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for AdmissionTicket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// A request's priority, 0 to 9; higher goes first among the requests of the
/// same organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestPriority(u8);

/// Why a text is not a priority.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a priority; use a number from 0 to {MAX_PRIORITY}")]
pub struct PriorityError(Box<str>);

impl RequestPriority {
    /// A priority; anything above 9 counts as 9.
    #[must_use]
    pub const fn new(number: u8) -> Self {
        if number > MAX_PRIORITY {
            Self(MAX_PRIORITY)
        } else {
            Self(number)
        }
    }

    /// The plain number.
    #[must_use]
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl Default for RequestPriority {
    fn default() -> Self {
        Self(DEFAULT_PRIORITY)
    }
}

impl fmt::Display for RequestPriority {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for RequestPriority {
    type Err = PriorityError;

    fn from_str(text: &str) -> Result<Self, PriorityError> {
        match text.parse() {
            Ok(number) if number <= MAX_PRIORITY => Ok(Self(number)),
            _ => Err(PriorityError(text.into())),
        }
    }
}

/// An organisation's share against others that wait, at least 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FairWeight(u32);

impl FairWeight {
    /// A weight; zero counts as one.
    #[must_use]
    pub const fn new(weight: u32) -> Self {
        Self(if weight == 0 { 1 } else { weight })
    }

    /// The plain number.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl Default for FairWeight {
    fn default() -> Self {
        Self(1)
    }
}

impl fmt::Display for FairWeight {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// One request that asks to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The request, by a ticket of
    /// [`AdmissionGate::ticket`](super::AdmissionGate::ticket).
    pub ticket: AdmissionTicket,
    /// The organisation that pays.
    pub organisation: OrganisationId,
    /// Its weight.
    pub weight: FairWeight,
    /// The request's priority within its organisation.
    pub priority: RequestPriority,
    /// Expected work, in tokens (prompt and output limit).
    pub cost: u64,
    /// When the first token must have come, if the caller said so.
    pub deadline: Option<ClockTime>,
    /// Expected time to first token once it runs.
    pub first_token: ClockSpan,
}

impl AdmissionRequest {
    /// The last moment at which running it still meets the deadline.
    #[must_use]
    pub fn latest_start(&self) -> Option<ClockTime> {
        let deadline = self.deadline?.as_millis();
        let start = deadline.saturating_sub(self.first_token.as_millis());
        Some(ClockTime::from_millis(start))
    }
}

/// Why a request was not admitted. It was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// Its deadline cannot be met.
    Deadline,
    /// The queue is full.
    QueueFull,
    /// The expected wait is longer than a request may wait.
    WaitTooLong,
}

/// A refusal, to be answered at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Why.
    pub cause: RefusalCause,
    /// When a later try may be admitted, as estimated now.
    pub retry_after: ClockSpan,
}

/// What becomes of a request that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAnswer {
    /// Run it now, and call [`Admission::finish`](super::Admission::finish)
    /// when it has ended.
    Run,
    /// It waits; an [`AdmissionEffect`] will follow.
    Queued,
    /// Refuse it now.
    Refused(AdmissionRefusal),
}

/// What becomes of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEffect {
    /// Run it now, and call [`Admission::finish`](super::Admission::finish)
    /// when it has ended.
    Run(AdmissionTicket),
    /// Answer it with a refusal now.
    Refuse(AdmissionTicket, AdmissionRefusal),
}
