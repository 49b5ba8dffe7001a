//! Which request bodies that are being received are given up for others.
//!
//! A body is reserved when its head states its length, so a few clients that send slowly,
//! or stop, could keep all the memory for bodies. Nobody is given up while there is room.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Span over which it is measured how fast a body arrives. A body that is younger is not
/// given up as too slow.
const PACE_SPAN: ClockSpan = ClockSpan::from_millis(500);

/// How much of a body had been received at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ProgressMark {
    at: ClockTime,
    received: usize,
}

/// How a body arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyProgress {
    began: ClockTime,
    received: usize,
    /// The two last marks, at least [`PACE_SPAN`] apart.
    marks: [ProgressMark; 2],
}

impl BodyProgress {
    /// Nothing has been received.
    #[must_use]
    pub fn new(now: ClockTime) -> Self {
        let mark = ProgressMark {
            at: now,
            received: 0,
        };
        Self {
            began: now,
            received: 0,
            marks: [mark; 2],
        }
    }

    /// Takes note of what has been received so far.
    pub fn note_received(&mut self, received: usize, now: ClockTime) {
        self.received = received;
        let [_, last] = self.marks;
        if now.since(last.at) >= PACE_SPAN {
            self.marks = [last, ProgressMark { at: now, received }];
        }
    }
}

/// A body that is being received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivingBody {
    /// Memory that is reserved for it, in bytes.
    pub size: usize,
    /// Whether its head states its length.
    pub states_length: bool,
    /// Time limit of its request.
    pub time_limit: ClockSpan,
    /// How it arrives.
    pub progress: BodyProgress,
}

impl ArrivingBody {
    /// Whether it arrives so slowly that its whole time limit would not suffice for it.
    #[must_use]
    pub fn is_too_slow(&self, now: ClockTime) -> bool {
        let [start, _] = self.progress.marks;
        let span = now.since(start.at);
        if span < PACE_SPAN {
            return false;
        }
        let gained = self.progress.received - start.received;
        let possible = gained as u128 * u128::from(self.time_limit.as_millis());
        possible < self.size as u128 * u128::from(span.as_millis())
    }

    /// How much memory it has used for how long, in bytes times milliseconds.
    fn cost(&self, now: ClockTime) -> u128 {
        let age = now.since(self.progress.began).as_millis() + 1;
        self.size as u128 * u128::from(age)
    }
}

/// Why a body is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BodyEnd {
    /// It arrives too slowly, and others need the memory.
    TooSlow,
    /// It states no length, so that nothing is reserved for it, and others need the memory.
    Displaced,
}

/// The bodies to give up so that `needed` bytes become free: their places in `bodies`, and
/// why. Empty if giving up all that may be given up would not suffice.
///
/// Those that arrive too slowly go first, then those that state no length; of either kind
/// first those that have used most memory for longest.
#[must_use]
pub fn bodies_to_end(
    bodies: &[ArrivingBody],
    needed: usize,
    now: ClockTime,
) -> Vec<(usize, BodyEnd)> {
    let places = bodies.iter().enumerate();
    let mut candidates: Vec<_> = places
        .filter_map(|(place, body)| {
            let end = if body.is_too_slow(now) {
                BodyEnd::TooSlow
            } else if body.states_length {
                return None;
            } else {
                BodyEnd::Displaced
            };
            Some((end, std::cmp::Reverse(body.cost(now)), place))
        })
        .collect();
    candidates.sort_unstable();
    let mut freed = 0;
    let mut ended = Vec::new();
    for (end, _, place) in candidates {
        if freed >= needed {
            break;
        }
        freed += bodies[place].size;
        ended.push((place, end));
    }
    if freed >= needed { ended } else { Vec::new() }
}
