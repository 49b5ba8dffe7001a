//! Lets single requests with a refused part through, to find out whether it still crashes
//! servers: a half-open circuit breaker for each part.
//!
//! One instance of the fleet runs the trials of a part. The first one comes some time after
//! the part was refused. Each good answer lets one more request run at the same time; a
//! crash ends the trials for a time that grows with each crash.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::poison::RequestFingerprint;

/// Time spans and sizes of [`PartTrials`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialSettings {
    /// Time from the refusal of a part to the first trial.
    pub first_pause: ClockSpan,
    /// How many times longer each pause after a crash is than the one before.
    pub pause_factor: u64,
    /// Longest pause.
    pub max_pause: ClockSpan,
    /// Most requests with one part that are tried at the same time.
    pub max_running: usize,
    /// Most parts that are tried.
    pub max_parts: usize,
    /// How long a part without trials is kept.
    pub retention: ClockSpan,
}

impl Default for TrialSettings {
    fn default() -> Self {
        Self {
            first_pause: ClockSpan::from_millis(5_000),
            pause_factor: 12,
            max_pause: ClockSpan::from_millis(300_000),
            max_running: 16,
            max_parts: 256,
            retention: ClockSpan::from_millis(600_000),
        }
    }
}

/// The trials of one part.
#[derive(Clone, Copy, Debug)]
struct PartTrial {
    part: RequestFingerprint,
    /// Pause after the next crash.
    pause: ClockSpan,
    /// No request is tried before this time.
    next_at: ClockTime,
    /// Requests that are being tried.
    running: usize,
    /// Good answers in a row.
    good: usize,
}

/// The trials of refused parts at one instance.
#[derive(Clone, Debug, Default)]
pub struct PartTrials {
    settings: TrialSettings,
    /// Sorted by part.
    trials: Vec<PartTrial>,
}

impl PartTrials {
    /// No trials.
    #[must_use]
    pub const fn new(settings: TrialSettings) -> Self {
        Self {
            settings,
            trials: Vec::new(),
        }
    }

    /// Whether a request with a refused part may be tried now. It then counts until
    /// [`end`](Self::end).
    pub fn begin(&mut self, part: RequestFingerprint, now: ClockTime) -> bool {
        let Some(place) = self.find_or_add(part, now) else {
            return false;
        };
        let trial = &mut self.trials[place];
        let most = self.settings.max_running.min(1 + trial.good);
        let is_allowed = now >= trial.next_at && trial.running < most;
        trial.running += usize::from(is_allowed);
        is_allowed
    }

    /// Ends the trial of one request.
    pub fn end(&mut self, part: RequestFingerprint) {
        if let Ok(place) = self.find(part) {
            let trial = &mut self.trials[place];
            trial.running = trial.running.saturating_sub(1);
        }
    }

    /// Records a good answer, and returns how many there were in a row; `None` if no
    /// request with the part is being tried: the answer may be to one from before its
    /// refusal.
    pub fn answered_well(&mut self, part: RequestFingerprint) -> Option<usize> {
        let place = self.find(part).ok()?;
        let trial = &mut self.trials[place];
        if trial.running == 0 {
            return None;
        }
        trial.good += 1;
        Some(trial.good)
    }

    /// Records a crash, which ends the trials for a time. Returns whether a trial may have
    /// caused it: requests that were sent before the part was refused may crash servers
    /// later.
    pub fn crashed(&mut self, part: RequestFingerprint, now: ClockTime) -> bool {
        let Ok(place) = self.find(part) else {
            return false;
        };
        let settings = self.settings;
        let trial = &mut self.trials[place];
        if now < trial.next_at {
            return false;
        }
        trial.good = 0;
        trial.next_at = now + trial.pause;
        trial.pause = longer_pause(settings, trial.pause);
        true
    }

    /// Forgets the trials of a part that is no longer refused.
    pub fn forget(&mut self, part: RequestFingerprint) {
        if let Ok(place) = self.find(part) {
            self.trials.remove(place);
        }
    }

    /// The place of a part, which is added if there is room for it.
    fn find_or_add(&mut self, part: RequestFingerprint, now: ClockTime) -> Option<usize> {
        let place = match self.find(part) {
            Ok(place) => return Some(place),
            Err(place) => place,
        };
        let settings = self.settings;
        if self.trials.len() >= settings.max_parts {
            let is_kept =
                |trial: &PartTrial| trial.running > 0 || now < trial.next_at + settings.retention;
            self.trials.retain(is_kept);
            if self.trials.len() >= settings.max_parts {
                return None;
            }
            return self.find_or_add(part, now);
        }
        let trial = PartTrial {
            part,
            pause: longer_pause(settings, settings.first_pause),
            next_at: now + settings.first_pause,
            running: 0,
            good: 0,
        };
        self.trials.insert(place, trial);
        Some(place)
    }

    fn find(&self, part: RequestFingerprint) -> Result<usize, usize> {
        self.trials.binary_search_by(|trial| trial.part.cmp(&part))
    }
}

fn longer_pause(settings: TrialSettings, pause: ClockSpan) -> ClockSpan {
    let millis = pause.as_millis().saturating_mul(settings.pause_factor);
    ClockSpan::from_millis(millis).min(settings.max_pause)
}
