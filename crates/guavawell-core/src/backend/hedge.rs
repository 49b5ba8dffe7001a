//! Whether to send a second attempt while the first is slow.

use crate::clock::ClockSpan;
use crate::limits::RetryBudget;

/// What the decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct HedgeAsk {
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Whether a first token came already.
    pub first_token_seen: bool,
    /// Time since the first attempt was sent.
    pub waited: ClockSpan,
    /// Wait after which a second attempt is worth its cost, for instance the
    /// 95th percentile of time to first token.
    pub after: ClockSpan,
    /// Attempts sent already.
    pub attempts: u32,
}

/// Most attempts of one request at a time.
const MAX_ATTEMPTS: u32 = 2;

/// Whether to hedge now. Takes from the retry budget only if so; a request
/// that is not idempotent is never hedged.
#[must_use]
pub fn should_hedge(ask: &HedgeAsk, budget: &RetryBudget) -> bool {
    let wanted = ask.idempotent
        && !ask.first_token_seen
        && ask.attempts < MAX_ATTEMPTS
        && ask.waited >= ask.after;
    wanted && budget.withdraw()
}
