//! How long a server that states its pace takes to work off the requests it reported.
//!
//! Load pattern: many instances send short requests to one server. A response reports a
//! queue that is worked off within milliseconds, but an instance that takes the server for
//! full sends nothing, and so gets no newer report. If the report counted for seconds, the
//! instance would refuse all requests meanwhile, although the server has time for them.
//!
//! A server that states its pace shares its machine with others, and its queue grows
//! and shrinks many times per second. What it reported counts for the time that the
//! work takes, and no longer.

use std::num::NonZeroU32;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::clock::ClockSpan;
use crate::number::fraction;
use crate::number::whole;

/// Weight of the newest response in the usual time of a request.
const RESPONSE_WEIGHT: f64 = 0.1;
/// The pace at which work takes as long as usual, in percent.
const USUAL_PERCENT: f64 = 100.0;

/// How long work takes at a server now, in percent of the usual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkPace(NonZeroU32);

impl WorkPace {
    /// The factor by which work takes longer than usual.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0.get()) / USUAL_PERCENT
    }
}

impl FromStr for WorkPace {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// The time that requests take at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerWork {
    /// The pace that the last response stated.
    pace: Option<WorkPace>,
    /// Moving average of the time of one request without waiting at the usual pace, in
    /// milliseconds; `None` before the first response.
    usual_ms: Option<f64>,
}

impl ServerWork {
    /// Records the pace that a response states, `None` if it states none, and how long
    /// the response took while `waiting` other requests waited for the server's `slots`.
    pub fn record(&mut self, pace: Option<WorkPace>, took: ClockSpan, waiting: u32, slots: u32) {
        self.pace = pace;
        let Some(pace) = pace else {
            return;
        };
        let turns = 1.0 + f64::from(waiting) / f64::from(slots.max(1));
        let one_ms = fraction(took.as_millis().max(1)) / turns / pace.factor();
        let before = self.usual_ms.unwrap_or(one_ms);
        self.usual_ms = Some(before + RESPONSE_WEIGHT * (one_ms - before));
    }

    /// How many of `reported` requests the server still has after `age`, with `slots` of
    /// them running at a time; `None` if the server states no pace. Other requests that the
    /// server has do not slow this down, so the result is a lower bound.
    #[must_use]
    pub fn left_of(&self, reported: u32, slots: u32, age: ClockSpan) -> Option<u32> {
        let one_ms = self.usual_ms? * self.pace?.factor();
        let done = fraction(age.as_millis()) / one_ms * f64::from(slots);
        let done = u32::try_from(whole(done)).unwrap_or(u32::MAX);
        Some(reported.saturating_sub(done))
    }
}
