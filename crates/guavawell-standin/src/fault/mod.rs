//! Fault switches, set at run time.
//!
//! Owns the switches; whoever serves asks them. It breaks nothing by itself.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Deserialize;
use serde::Serialize;

/// The values of all switches; zero and `false` are off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultSettings {
    /// Every answer is 503.
    pub outage: bool,
    /// Milliseconds before every answer (platform) or first token (backend server).
    pub delay_ms: u64,
    /// How many more writes or requests take effect without an answer.
    pub lose_answers: u64,
    /// How many more writes to the platform close without effect.
    pub refuse_writes: u64,
    /// Connections open at the moment of switching on are silent for good.
    pub silent: bool,
    /// How many more streams first replay a frame of an older attempt.
    pub late_frames: u64,
    /// How many more streams carry a frame of another attempt in the middle.
    pub crossed_frames: u64,
    /// How many more streams leave out one sequence number.
    pub skip_frames: u64,
    /// Milliseconds between tokens; zero keeps the engine's own setting.
    pub token_ms: u64,
    /// The backend server is down and has forgotten every attempt.
    pub crash: bool,
    /// Age of the platform's instance list, in milliseconds.
    pub list_lag_ms: u64,
}

/// The switches to replace; those left out keep their values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// See [`FaultSettings::outage`].
    pub outage: Option<bool>,
    /// See [`FaultSettings::delay_ms`].
    pub delay_ms: Option<u64>,
    /// See [`FaultSettings::lose_answers`].
    pub lose_answers: Option<u64>,
    /// See [`FaultSettings::refuse_writes`].
    pub refuse_writes: Option<u64>,
    /// See [`FaultSettings::silent`].
    pub silent: Option<bool>,
    /// See [`FaultSettings::late_frames`].
    pub late_frames: Option<u64>,
    /// See [`FaultSettings::crossed_frames`].
    pub crossed_frames: Option<u64>,
    /// See [`FaultSettings::skip_frames`].
    pub skip_frames: Option<u64>,
    /// See [`FaultSettings::token_ms`].
    pub token_ms: Option<u64>,
    /// See [`FaultSettings::crash`].
    pub crash: Option<bool>,
    /// See [`FaultSettings::list_lag_ms`].
    pub list_lag_ms: Option<u64>,
}

/// The switches as the stand-ins read them on the path of a request.
#[derive(Debug, Default)]
pub(crate) struct FaultSwitches {
    outage: AtomicBool,
    delay_ms: AtomicU64,
    lose_answers: AtomicU64,
    refuse_writes: AtomicU64,
    silent: AtomicBool,
    late_frames: AtomicU64,
    crossed_frames: AtomicU64,
    skip_frames: AtomicU64,
    token_ms: AtomicU64,
    crash: AtomicBool,
    list_lag_ms: AtomicU64,
}

impl FaultSwitches {
    pub(crate) fn settings(&self) -> FaultSettings {
        FaultSettings {
            outage: self.outage.load(Ordering::SeqCst),
            delay_ms: self.delay_ms.load(Ordering::SeqCst),
            lose_answers: self.lose_answers.load(Ordering::SeqCst),
            refuse_writes: self.refuse_writes.load(Ordering::SeqCst),
            silent: self.silent.load(Ordering::SeqCst),
            late_frames: self.late_frames.load(Ordering::SeqCst),
            crossed_frames: self.crossed_frames.load(Ordering::SeqCst),
            skip_frames: self.skip_frames.load(Ordering::SeqCst),
            token_ms: self.token_ms.load(Ordering::SeqCst),
            crash: self.crash.load(Ordering::SeqCst),
            list_lag_ms: self.list_lag_ms.load(Ordering::SeqCst),
        }
    }

    pub(crate) fn apply(&self, change: &FaultChange) {
        set_flag(&self.outage, change.outage);
        set_number(&self.delay_ms, change.delay_ms);
        set_number(&self.lose_answers, change.lose_answers);
        set_number(&self.refuse_writes, change.refuse_writes);
        set_flag(&self.silent, change.silent);
        set_number(&self.late_frames, change.late_frames);
        set_number(&self.crossed_frames, change.crossed_frames);
        set_number(&self.skip_frames, change.skip_frames);
        set_number(&self.token_ms, change.token_ms);
        set_flag(&self.crash, change.crash);
        set_number(&self.list_lag_ms, change.list_lag_ms);
    }

    pub(crate) fn outage(&self) -> bool {
        self.outage.load(Ordering::Relaxed)
    }

    pub(crate) fn delay_ms(&self) -> u64 {
        self.delay_ms.load(Ordering::Relaxed)
    }

    pub(crate) fn token_ms(&self) -> u64 {
        self.token_ms.load(Ordering::Relaxed)
    }

    pub(crate) fn list_lag_ms(&self) -> u64 {
        self.list_lag_ms.load(Ordering::Relaxed)
    }

    pub(crate) fn take_lost_answer(&self) -> bool {
        take(&self.lose_answers)
    }

    pub(crate) fn take_refused_write(&self) -> bool {
        take(&self.refuse_writes)
    }

    pub(crate) fn take_late_frame(&self) -> bool {
        take(&self.late_frames)
    }

    pub(crate) fn take_crossed_frame(&self) -> bool {
        take(&self.crossed_frames)
    }

    pub(crate) fn take_skipped_frame(&self) -> bool {
        take(&self.skip_frames)
    }
}

/// Takes one off a count; false if it is at zero.
fn take(count: &AtomicU64) -> bool {
    if count.load(Ordering::Relaxed) == 0 {
        return false;
    }
    let lower = |left: u64| left.checked_sub(1);
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, lower)
        .is_ok()
}

fn set_flag(flag: &AtomicBool, value: Option<bool>) {
    if let Some(value) = value {
        flag.store(value, Ordering::SeqCst);
    }
}

fn set_number(number: &AtomicU64, value: Option<u64>) {
    if let Some(value) = value {
        number.store(value, Ordering::SeqCst);
    }
}
