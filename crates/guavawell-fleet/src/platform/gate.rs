//! Holds exchanges to the router's shares of writes and reads.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use guavawell_core::clock::ClockSpan;
use guavawell_core::platform::PlatformRate;
use guavawell_core::platform::PlatformShare;
use guavawell_core::platform::ReadClass;
use guavawell_core::platform::SharePolicy;
use guavawell_core::platform::ShareUrgency;
use guavawell_core::platform::TakeResult;
use guavawell_core::platform::WriteClass;
use smol::Timer;

use super::error::PlatformError;
use crate::clock::duration;
use crate::clock::now;

/// Objects are read by work that has time: it may wait so many times longer.
const BULK_PATIENCE: u64 = 15;

/// What a share gives now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareReading {
    /// The rate, after push-back.
    pub rate: PlatformRate,
    /// What work that can wait may take of it.
    pub spare: PlatformRate,
    /// What push-back left, in thousandths.
    pub part: u64,
    /// What this router could use.
    pub demand: PlatformRate,
}

/// One share in use; clones share it.
#[derive(Clone, Debug)]
struct ShareGate {
    share: Arc<Mutex<PlatformShare>>,
}

impl ShareGate {
    fn new(policy: SharePolicy) -> Self {
        Self {
            share: Arc::new(Mutex::new(PlatformShare::new(policy, now()))),
        }
    }

    async fn pass(
        &self,
        urgency: ShareUrgency,
        longest_wait: ClockSpan,
    ) -> Result<(), PlatformError> {
        let start = now();
        loop {
            let answer = self.lock().take(urgency, now());
            let TakeResult::Wait(wait) = answer else {
                return Ok(());
            };
            let waited = now().since(start).as_millis();
            if waited + wait.as_millis() > longest_wait.as_millis() {
                return Err(PlatformError::Throttled(wait));
            }
            Timer::after(duration(wait)).await;
        }
    }

    fn read(&self) -> ShareReading {
        let now = now();
        let mut share = self.lock();
        ShareReading {
            rate: share.rate(now),
            spare: share.background_rate(now),
            part: share.throttle_permille(now),
            demand: share.demand(now),
        }
    }

    fn lock(&self) -> MutexGuard<'_, PlatformShare> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The router's share of the platform's writes; clones share it.
///
/// Table and object store draw on one share, as they do at the platform.
#[derive(Clone, Debug)]
pub struct WriteGate {
    gate: ShareGate,
    longest_wait: ClockSpan,
}

impl WriteGate {
    /// A gate of `policy`; a write that would wait longer than `longest_wait`
    /// is turned away unsent.
    #[must_use]
    pub fn new(policy: SharePolicy, longest_wait: ClockSpan) -> Self {
        Self {
            gate: ShareGate::new(policy),
            longest_wait,
        }
    }

    /// Another share, after routers or demands came or went.
    pub fn set_policy(&self, policy: SharePolicy) {
        self.gate.lock().set_policy(policy, now());
    }

    /// What the share gives now.
    #[must_use]
    pub fn read(&self) -> ShareReading {
        self.gate.read()
    }

    /// Waits until a write of `class` may be sent.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Throttled`] if it would wait too long.
    pub(super) async fn pass(&self, class: WriteClass) -> Result<(), PlatformError> {
        let passed = self.gate.pass(class.into(), self.longest_wait).await;
        count_throttled(class.label(), &passed);
        passed
    }

    /// The platform has too much to do.
    pub(super) fn overloaded(&self) {
        self.gate.lock().overloaded(now());
    }

    /// The platform is back.
    pub(super) fn resumed(&self) {
        self.gate.lock().resumed(now());
    }
}

/// The router's share of the platform's reads; clones share it.
#[derive(Clone, Debug)]
pub struct ReadGate {
    gate: ShareGate,
    longest_wait: ClockSpan,
}

impl ReadGate {
    /// A gate of `policy`; a read that would wait longer than `longest_wait`
    /// is turned away unsent. Reads of objects have more patience.
    #[must_use]
    pub fn new(policy: SharePolicy, longest_wait: ClockSpan) -> Self {
        Self {
            gate: ShareGate::new(policy),
            longest_wait,
        }
    }

    /// Another share, after routers or demands came or went.
    pub fn set_policy(&self, policy: SharePolicy) {
        self.gate.lock().set_policy(policy, now());
    }

    /// What the share gives now.
    #[must_use]
    pub fn read(&self) -> ShareReading {
        self.gate.read()
    }

    /// Waits until a read of `class` may be sent.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Throttled`] if it would wait too long.
    pub(super) async fn pass(&self, class: ReadClass) -> Result<(), PlatformError> {
        let patience = match class {
            ReadClass::Row | ReadClass::Poll => 1,
            ReadClass::Bulk => BULK_PATIENCE,
        };
        let longest = self.longest_wait.as_millis().saturating_mul(patience);
        let longest = ClockSpan::from_millis(longest);
        let passed = self.gate.pass(class.into(), longest).await;
        count_throttled(class.label(), &passed);
        passed
    }

    /// The platform has too much to do.
    pub(super) fn overloaded(&self) {
        self.gate.lock().overloaded(now());
    }

    /// The platform is back.
    pub(super) fn resumed(&self) {
        self.gate.lock().resumed(now());
    }
}

fn count_throttled(label: &'static str, passed: &Result<(), PlatformError>) {
    if passed.is_err() {
        metrics::counter!("guavawell_platform_throttled_total", "class" => label).increment(1);
    }
}
