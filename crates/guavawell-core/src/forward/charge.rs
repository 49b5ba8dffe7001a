//! What a request is charged that ends without its complete response; this
//! depends on who ended it.
//!
//! Load pattern: a request crashes the servers that run it, and each crash
//! breaks off a dozen other requests. Their callers received nothing and send
//! them again. If each attempt were charged for its prompt, they would pay
//! twice for one response, and budgets would run out early.

use crate::forward::AttemptEnd;

/// What is known of a request that ends without its complete response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestOutcome {
    /// Whether a server may have run it.
    pub may_have_run: bool,
    /// Whether a server was silent when an attempt timed out. It may have
    /// worked on the request for all of that time.
    pub timed_out: bool,
    /// Events of the response that the caller received.
    pub delivered: u64,
}

/// What is charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestCharge {
    /// Nothing: the request did not run, or servers broke it off before its
    /// caller received anything.
    Nothing,
    /// The prompt, once, and what was delivered.
    Consumed,
}

impl RequestOutcome {
    /// Records how an attempt ended.
    pub const fn note(&mut self, end: AttemptEnd) {
        if matches!(end, AttemptEnd::Silent) {
            self.timed_out = true;
        }
    }

    /// The charge for a request whose caller waited to its end. A caller that
    /// disconnects pays for what the request consumed, because it ended the
    /// request itself.
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
    /// The name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::Consumed => "consumed",
        }
    }
}
