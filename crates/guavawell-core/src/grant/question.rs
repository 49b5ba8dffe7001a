//! Limits questions for loans while no other instance answers any.
//!
//! Load pattern: the network link of an instance with many requests is full. Each
//! request asks several others for a loan, none of them answers in time, and the
//! questions fill the link further. A lender that answers too late has lent tokens
//! that nobody uses.
//!
//! One silent instance may have ended. If several in a row are silent, the cause is
//! probably this instance's own link, so it pauses, longer each time.

use std::cell::Cell;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// When an instance stops asking, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuestionSettings {
    /// Questions in a row without an answer from which this instance pauses:
    /// more than an availability zone's holder and its successor.
    pub max_silent: u32,
    /// The first pause: the time within which a loan is answered.
    pub first_pause: ClockSpan,
    /// The longest pause, so that loans are used again soon after the link is
    /// free.
    pub max_pause: ClockSpan,
}

impl Default for QuestionSettings {
    fn default() -> Self {
        Self {
            max_silent: 3,
            first_pause: ClockSpan::from_millis(150),
            max_pause: ClockSpan::from_millis(1_200),
        }
    }
}

/// Whether an instance may ask others for loans now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuestionPace {
    settings: QuestionSettings,
    /// Questions in a row without an answer.
    silent: u32,
    paused_until: ClockTime,
}

impl QuestionPace {
    /// Creates a pace without failures.
    #[must_use]
    pub const fn new(settings: QuestionSettings) -> Self {
        Self {
            settings,
            silent: 0,
            paused_until: ClockTime::from_millis(0),
        }
    }

    /// Whether a question may be sent.
    #[must_use]
    pub fn may_ask(&self, now: ClockTime) -> bool {
        now >= self.paused_until
    }

    /// Whether the last question had no answer.
    #[must_use]
    pub const fn is_in_doubt(&self) -> bool {
        self.silent > 0
    }

    /// Records an answer.
    pub const fn answered(&mut self) {
        self.silent = 0;
        self.paused_until = ClockTime::from_millis(0);
    }

    /// Records a question without an answer. Returns the pause that begins, if
    /// any. Questions that were already sent when a pause began do not prolong
    /// it.
    pub fn unanswered(&mut self, now: ClockTime) -> Option<ClockSpan> {
        if !self.may_ask(now) {
            return None;
        }
        self.silent = self.silent.saturating_add(1);
        let doublings = self.silent.checked_sub(self.settings.max_silent)?;
        let first = self.settings.first_pause.as_millis();
        let millis = first.saturating_mul(1 << doublings.min(16));
        let pause = ClockSpan::from_millis(millis).min(self.settings.max_pause);
        self.paused_until = now + pause;
        Some(pause)
    }
}

/// What a request asks for, and for how long it waits for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuestionTerms {
    /// Tokens of the request.
    pub tokens: u64,
    /// The longest time that the request waits.
    pub limit: ClockSpan,
}

/// How a question ended for the request that asked it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuestionEnd {
    /// Enough tokens for the request that asked were lent.
    Lent,
    /// Those that answered have too few tokens.
    Declined,
    /// Nobody answered in time.
    Unreachable,
    /// The request that asked left before an answer.
    Left,
}

impl QuestionEnd {
    /// Whether the end of a question that was asked on the terms `asked` also holds
    /// for a request that waits on its `own` terms. `lacks_tokens` is whether that
    /// request cannot be reserved now. Otherwise it asks again.
    #[must_use]
    pub fn holds_for(self, asked: QuestionTerms, own: QuestionTerms, lacks_tokens: bool) -> bool {
        match self {
            Self::Lent => !lacks_tokens,
            Self::Declined => own.tokens >= asked.tokens,
            Self::Unreachable => own.limit <= asked.limit,
            Self::Left => false,
        }
    }
}

/// Tokens of the requests that wait for the answer to a question.
#[derive(Debug, Default)]
pub struct WaitingTokens {
    tokens: Cell<u64>,
}

impl WaitingTokens {
    /// Counts a request until the guard is dropped.
    pub fn join(&self, tokens: u64) -> WaitingGuard<'_> {
        self.tokens.set(self.tokens.get() + tokens);
        WaitingGuard {
            waiting: self,
            tokens,
        }
    }

    /// The tokens of all requests that wait now.
    #[must_use]
    pub const fn get(&self) -> u64 {
        self.tokens.get()
    }
}

/// One request that waits.
#[derive(Debug)]
#[must_use]
pub struct WaitingGuard<'a> {
    waiting: &'a WaitingTokens,
    tokens: u64,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        let left = self.waiting.tokens.get() - self.tokens;
        self.waiting.tokens.set(left);
    }
}
