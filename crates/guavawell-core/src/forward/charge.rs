//! What a request pays that ended without its whole answer: it depends on whose
//! act ended it.
//!
//! Load pattern: a request crashes the servers that run it, and each crash breaks
//! off a dozen others. Their callers got nothing and ask again, so that a prompt
//! that was charged would be paid twice for one answer, and a budget ends early.

use crate::forward::AttemptEnd;

/// What is known of a request that ends without its whole answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestOutcome {
    /// A server may have run it.
    pub may_have_run: bool,
    /// A server was still silent when its time ran out: it may have been at work
    /// for all the time that the caller gave.
    pub timed_out: bool,
    /// Events of its answer that its caller got.
    pub delivered: u64,
}

/// What is charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestCharge {
    /// Nothing: it has not run, or servers broke it off before its caller got
    /// anything.
    Nothing,
    /// The prompt once, and what was delivered.
    Consumed,
}

impl RequestOutcome {
    /// Takes note of how an attempt ended.
    pub const fn note(&mut self, end: AttemptEnd) {
        if matches!(end, AttemptEnd::Silent) {
            self.timed_out = true;
        }
    }

    /// What is charged for a request whose caller waited to its end. One whose
    /// caller left pays for what it consumed: it ended by the caller's act.
    #[must_use]
    pub const fn charge(self) -> RequestCharge {
        if self.may_have_run && (self.timed_out || self.delivered > 0) {
            RequestCharge::Consumed
        } else {
            RequestCharge::Nothing
        }
    }
}

impl RequestCharge {
    /// The word for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::Consumed => "consumed",
        }
    }
}
