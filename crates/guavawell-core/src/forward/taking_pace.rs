//! Decides whose responses are ended first while memory is short: those of callers that
//! never pause, but take too little to end soon.
//!
//! Load pattern: callers that take a packet every few seconds of responses that were read
//! long ago. None of them pauses for long, so each holds its memory for as long as it
//! likes, while new requests are refused for want of it.

use super::MemoryUse;
use super::ReadAheadSettings;
use super::ResponseEnd;
use super::WaitingResponse;
use super::paused_responses_to_end;
use crate::clock::ClockTime;

/// How much a caller takes of a response that waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakingPace {
    /// Since when it is counted.
    since: ClockTime,
    /// Bytes taken since then.
    taken: u64,
    /// Whether the caller took too little in the span before.
    is_slow: bool,
}

impl TakingPace {
    /// The pace of a caller whose response begins to wait.
    #[must_use]
    pub const fn new(now: ClockTime) -> Self {
        Self {
            since: now,
            taken: 0,
            is_slow: false,
        }
    }

    /// Records `bytes` that were taken.
    pub const fn note_taken(&mut self, bytes: u64) {
        self.taken = self.taken.saturating_add(bytes);
    }

    /// Ends the span if it is over. Returns whether the caller takes too little: it took
    /// less than `least_taken` in a whole `taking_span`, and has not made up for it since.
    pub fn review(&mut self, settings: &ReadAheadSettings, now: ClockTime) -> bool {
        let is_enough = self.taken >= settings.least_taken;
        if now.since(self.since) >= settings.taking_span {
            *self = Self {
                is_slow: !is_enough,
                ..Self::new(now)
            };
        } else if is_enough {
            self.is_slow = false;
        }
        self.is_slow
    }
}

/// The responses to end: their places in `responses`, and why. `is_slow` tells of each
/// place whether its caller takes too little.
///
/// While memory is short, those of slow callers are ended first, the one that holds most
/// before the others.
#[must_use]
pub fn responses_to_end(
    settings: &ReadAheadSettings,
    mut memory: MemoryUse,
    responses: &[WaitingResponse],
    is_slow: &[bool],
    now: ClockTime,
) -> Vec<(usize, ResponseEnd)> {
    // With memory free, only callers that paused for too long are found.
    let ample = MemoryUse { held: 0, ..memory };
    let mut ended = paused_responses_to_end(settings, ample, responses, now);
    for (place, _) in &ended {
        memory.held = memory.held.saturating_sub(responses[*place].held);
    }
    let mut others: Vec<_> = (0..responses.len()).collect();
    others.retain(|place| ended.iter().all(|(other, _)| other != place));
    let mut slow: Vec<_> = others
        .iter()
        .copied()
        .filter(|place| is_slow[*place])
        .collect();
    slow.sort_by_key(|place| std::cmp::Reverse(responses[*place].held));
    for place in slow {
        if !settings.is_short(memory) {
            break;
        }
        memory.held = memory.held.saturating_sub(responses[place].held);
        ended.push((place, ResponseEnd::TooSlow));
        others.retain(|other| *other != place);
    }
    let waiting: Vec<_> = others.iter().map(|place| responses[*place]).collect();
    let paused = paused_responses_to_end(settings, memory, &waiting, now);
    ended.extend(paused.into_iter().map(|(index, end)| (others[index], end)));
    ended
}
