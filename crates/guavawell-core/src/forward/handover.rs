//! Decides between an attempt that is late and a second one beside it.
//!
//! Load pattern: all servers of a service send nothing for a second or two and then go
//! on, while the configuration changes, or one of them stays silent for good. An attempt
//! that is late may still bring its response, and what another server would bring is
//! not known before it is there. So the late attempt stays open until the other one has
//! brought what the caller needs next.

use crate::clock::ClockSpan;
use crate::forward::AttemptEnd;
use crate::forward::RouteEntry;

/// How many times the pause that callers accept between events a stream may be quiet:
/// half of what makes callers give it up.
const LATE_PAUSES: u64 = 4;

/// One of the attempts that may be open for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptSide {
    /// The attempt that was sent first.
    First,
    /// The one that was sent because the first is late.
    Second,
}

/// What happens while a request waits for the next part of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverEvent {
    /// The first attempt is late, and a second one may be sent.
    Late,
    /// An attempt brought what the caller needs next.
    Brought(AttemptSide),
    /// An attempt ended without that.
    Ended(AttemptSide, AttemptEnd),
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverStep {
    /// Wait for the open attempts.
    Wait,
    /// Send a second attempt.
    SendSecond,
    /// Go on with this attempt and close the other one.
    Continue(AttemptSide),
    /// No attempt is open: the request's last one ended in this way.
    End(AttemptEnd),
}

/// The attempts that are open for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenAttempts {
    /// How the first attempt ended; `None` while it is open.
    first_end: Option<AttemptEnd>,
    second_open: bool,
}

impl OpenAttempts {
    /// Whether an attempt is open.
    #[must_use]
    pub const fn is_open(&self, side: AttemptSide) -> bool {
        match side {
            AttemptSide::First => self.first_end.is_none(),
            AttemptSide::Second => self.second_open,
        }
    }

    /// Applies an event. An attempt that ends never ends the request while the other
    /// one is open.
    pub const fn apply(&mut self, event: HandoverEvent) -> HandoverStep {
        match event {
            HandoverEvent::Late if self.first_end.is_none() && !self.second_open => {
                self.second_open = true;
                HandoverStep::SendSecond
            }
            HandoverEvent::Late => HandoverStep::Wait,
            HandoverEvent::Brought(side) => HandoverStep::Continue(side),
            HandoverEvent::Ended(AttemptSide::First, end) => {
                self.first_end = Some(end);
                if self.second_open {
                    HandoverStep::Wait
                } else {
                    HandoverStep::End(end)
                }
            }
            HandoverEvent::Ended(AttemptSide::Second, _) => {
                self.second_open = false;
                match self.first_end {
                    Some(end) => HandoverStep::End(end),
                    None => HandoverStep::Wait,
                }
            }
        }
    }
}

/// Shortest times after which attempts count as late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatenessFloor {
    /// A response that is not a stream.
    pub plain: ClockSpan,
    /// A stream of a route that states no pause between events.
    pub stream: ClockSpan,
}

impl RouteEntry {
    /// How long a response of the route may bring nothing before it is late. `begun`
    /// tells whether the caller has a part of it, `left` how long the caller waited on
    /// when it last brought something: half of that is left for another server.
    #[must_use]
    pub fn late_after(&self, begun: bool, left: ClockSpan, floor: LatenessFloor) -> ClockSpan {
        let half = ClockSpan::from_millis(left.as_millis() / 2);
        self.accepted_quiet(begun, floor).min(half)
    }

    /// How long callers accept that a response brings nothing.
    fn accepted_quiet(&self, begun: bool, floor: LatenessFloor) -> ClockSpan {
        if !self.streaming {
            let usual = self.target.as_millis() * 3 / 2;
            return ClockSpan::from_millis(usual).max(floor.plain);
        }
        let pause = self.pause_target.map(ClockSpan::as_millis);
        let quiet = pause.map_or(floor.stream, |pause| {
            ClockSpan::from_millis(pause * LATE_PAUSES)
        });
        if begun { quiet } else { quiet.max(self.target) }
    }
}
