//! Decides how much of a response is read from its server before its caller takes it,
//! and which responses are ended because their callers do not.
//!
//! Load pattern: many callers take streams far more slowly than their servers produce
//! them. A server cuts off a response that stays unread for some seconds, so what callers have not taken yet must wait in the memory of the
//! instance. That memory also holds request bodies, and is small.
//!
//! A response may hold as much as is still free, so that many slow callers get equal
//! parts, and a few get large ones. What a caller takes at once is never held, and does
//! not depend on memory. Responses that go on are not ended for memory: requests are
//! refused before that. A caller that takes nothing for long is given up, and sooner
//! while memory is short. One that reads slowly seems to take nothing for seconds: its
//! kernel takes more only once it has room for a full packet.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Limits on what is read ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadAheadSettings {
    /// Part of the memory for requests and responses up to which responses are read
    /// ahead, in percent. Connections are still taken at this level.
    pub response_percent: usize,
    /// Part from which on memory is short, in percent.
    pub short_percent: usize,
    /// Most bytes that one response may hold: a longer one is read as its caller takes it.
    pub response_bytes: usize,
    /// Bytes of a response that the kernel may keep beside these: they are not counted.
    pub socket_bytes: usize,
    /// While memory is short, a caller that took nothing for this span may be given up:
    /// as long as a connection may leave data unacknowledged.
    pub pause: ClockSpan,
    /// Longest time for which a caller may take nothing: as long as it may send nothing
    /// of a request. It does not depend on the request, as a caller that reads slowly
    /// may seem to take nothing for seconds.
    pub max_pause: ClockSpan,
    /// Span over which it is counted what a caller takes: twice the longest pause, so that
    /// a caller may pause as long as allowed.
    pub taking_span: ClockSpan,
    /// Least bytes that a caller must take in this span to keep its response while memory
    /// is short. Streams of text are produced several times as fast.
    pub least_taken: u64,
}

impl Default for ReadAheadSettings {
    fn default() -> Self {
        Self {
            response_percent: 50,
            short_percent: 90,
            response_bytes: 1024 * 1024,
            socket_bytes: 64 * 1024,
            pause: ClockSpan::from_millis(2_500),
            max_pause: ClockSpan::from_millis(10_000),
            taking_span: ClockSpan::from_millis(20_000),
            least_taken: 10_000,
        }
    }
}

impl ReadAheadSettings {
    /// Whether to read more of a response of which `own` bytes wait for the caller.
    #[must_use]
    pub fn may_read(&self, memory: MemoryUse, own: usize) -> bool {
        own == 0 || (own < self.response_bytes && own < self.free(memory))
    }

    /// Whether memory is short.
    #[must_use]
    pub const fn is_short(&self, memory: MemoryUse) -> bool {
        memory.held >= memory.limit * self.short_percent / 100
    }

    /// What responses may still take.
    const fn free(&self, memory: MemoryUse) -> usize {
        let limit = memory.limit * self.response_percent / 100;
        limit.saturating_sub(memory.held)
    }
}

/// What request bodies and responses take of the memory that is meant for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryUse {
    /// What they may take, in bytes.
    pub limit: usize,
    /// What they take, in bytes.
    pub held: usize,
}

/// A response that waits for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingResponse {
    /// Its bytes in memory.
    pub held: usize,
    /// When the caller last took some, or the response began to wait.
    pub taken_at: ClockTime,
}

impl WaitingResponse {
    /// How much memory the caller's pause has used for how long, in bytes times
    /// milliseconds.
    fn cost(&self, now: ClockTime) -> u128 {
        let pause = now.since(self.taken_at).as_millis();
        self.held as u128 * u128::from(pause)
    }
}

/// Why a response is ended before its caller has all of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// The caller took nothing for longer than is allowed.
    NotTaken,
    /// Memory is short, and the caller took nothing for a while.
    NoMemory,
    /// Memory is short, and the caller has taken too little for long.
    TooSlow,
}

impl ResponseEnd {
    /// The name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotTaken => "not_taken",
            Self::NoMemory => "no_memory",
            Self::TooSlow => "too_slow",
        }
    }
}

/// The responses to end: their places in `responses`, and why.
///
/// While memory is short, those whose callers pause are ended, the largest product of
/// held bytes and pause first, until it is no longer short.
#[must_use]
pub fn paused_responses_to_end(
    settings: &ReadAheadSettings,
    mut memory: MemoryUse,
    responses: &[WaitingResponse],
    now: ClockTime,
) -> Vec<(usize, ResponseEnd)> {
    let mut ended = Vec::new();
    let mut paused = Vec::new();
    for (place, response) in responses.iter().enumerate() {
        let pause = now.since(response.taken_at);
        if pause >= settings.max_pause {
            memory.held = memory.held.saturating_sub(response.held);
            ended.push((place, ResponseEnd::NotTaken));
        } else if pause >= settings.pause {
            paused.push((response.cost(now), place));
        }
    }
    paused.sort_unstable_by(|one, other| other.cmp(one));
    for (_, place) in paused {
        if !settings.is_short(memory) {
            break;
        }
        memory.held = memory.held.saturating_sub(responses[place].held);
        ended.push((place, ResponseEnd::NoMemory));
    }
    ended
}
