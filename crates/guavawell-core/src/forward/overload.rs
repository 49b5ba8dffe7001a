//! Decides how many new connections an instance takes while its processor is full.
//!
//! Load pattern: the load balancer hands most new connections of a zone to one instance,
//! which needs several times its processor time for them. All its requests are late then,
//! also those that it could have served alone. A connection that is closed before its
//! request was read costs its caller nothing: the caller opens another one, at another
//! instance.
//!
//! A full processor shows in the delay of a task that is ready to run. A burst fills the
//! queue of tasks as well, but leaves it empty at times: only a delay that stays high for
//! several windows counts. Then the share of connections that are taken falls by a
//! factor for each such window, and rises by steps once the queue is empty again.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Share of an instance that takes all connections, in percent.
const WHOLE_SHARE: u8 = 100;

/// Thresholds of an [`AcceptShare`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverloadSettings {
    /// A delay above this one shows a full processor. A request is scheduled about five
    /// times until it is at its server.
    pub high_delay: ClockSpan,
    /// Length of a window, whose smallest delay counts.
    pub window: ClockSpan,
    /// Full windows in a row after which the first connections are refused.
    pub full_windows: u32,
    /// What is left of the share after a full window, in percent.
    pub decrease: u8,
    /// By how much a window that is not full raises the share, in percent points.
    pub increase: u8,
    /// Smallest share, in percent: other instances may be full too.
    pub min_share: u8,
}

impl Default for OverloadSettings {
    fn default() -> Self {
        Self {
            high_delay: ClockSpan::from_millis(30),
            window: ClockSpan::from_millis(200),
            full_windows: 4,
            decrease: 70,
            increase: 5,
            min_share: 5,
        }
    }
}

/// The share of new connections that an instance takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptShare {
    settings: OverloadSettings,
    /// In percent.
    share: u8,
    /// Full windows in a row.
    full_windows: u32,
    window_began: ClockTime,
    /// Smallest delay in the present window.
    least_delay: Option<ClockSpan>,
}

impl AcceptShare {
    /// An instance that takes all connections.
    #[must_use]
    pub const fn new(settings: OverloadSettings) -> Self {
        Self {
            settings,
            share: WHOLE_SHARE,
            full_windows: 0,
            window_began: ClockTime::from_millis(0),
            least_delay: None,
        }
    }

    /// Records for how long a task that was ready had to wait.
    pub fn observe(&mut self, delay: ClockSpan, now: ClockTime) {
        let least = self.least_delay.map_or(delay, |least| least.min(delay));
        self.least_delay = Some(least);
        if now.since(self.window_began) < self.settings.window {
            return;
        }
        self.end_window(least > self.settings.high_delay);
        self.window_began = now;
        self.least_delay = None;
    }

    /// Whether all connections are taken.
    #[must_use]
    pub const fn takes_all(&self) -> bool {
        self.share == WHOLE_SHARE
    }

    /// The share of connections that are taken, in percent.
    #[must_use]
    pub const fn percent(&self) -> u8 {
        self.share
    }

    /// Whether to take a connection; `draw` is a random number.
    #[must_use]
    pub const fn takes(&self, draw: u8) -> bool {
        draw % WHOLE_SHARE < self.share
    }

    fn end_window(&mut self, is_full: bool) {
        let settings = self.settings;
        if !is_full {
            self.full_windows = 0;
            self.share = self
                .share
                .saturating_add(settings.increase)
                .min(WHOLE_SHARE);
            return;
        }
        self.full_windows += 1;
        // Once connections are refused, each full window counts.
        if self.full_windows >= settings.full_windows || !self.takes_all() {
            let left =
                u16::from(self.share) * u16::from(settings.decrease) / u16::from(WHOLE_SHARE);
            let left = u8::try_from(left).unwrap_or(WHOLE_SHARE);
            self.share = left.max(settings.min_share);
        }
    }
}

impl Default for AcceptShare {
    fn default() -> Self {
        Self::new(OverloadSettings::default())
    }
}
