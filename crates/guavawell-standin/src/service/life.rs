//! One life of the service, from its start or a crash to the next crash.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use smol::Timer;

use crate::attempt::AttemptEntry;
use crate::attempt::AttemptPhase;
use crate::attempt::AttemptRegistry;
use crate::backend::BackendBase;
use crate::load::LoadReport;
use crate::load::renew_every;
use crate::load::wall_clock;
use crate::lock::lock;
use crate::service::settings::ServiceSettings;

const ROLE: &str = "service";

/// Everything that a crash forgets.
#[derive(Debug)]
pub struct ServiceLife {
    pub(super) base: Arc<BackendBase<ServiceSettings>>,
    pub(super) attempts: AttemptRegistry,
    running: AtomicUsize,
    report: Mutex<LoadReport>,
}

/// A place among the calls that run; dropping it gives the place back.
#[derive(Debug)]
pub(super) struct RunningCall<'a>(&'a AtomicUsize);

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl ServiceLife {
    pub(super) fn start(base: &Arc<BackendBase<ServiceSettings>>) -> Arc<Self> {
        let life = Arc::new(Self {
            base: Arc::clone(base),
            attempts: AttemptRegistry::new(base.settings.record_limit),
            running: AtomicUsize::new(0),
            report: Mutex::default(),
        });
        life.renew_report();
        renew_every(life.report_interval(), &life, Self::renew_report);
        life
    }

    /// Ends this life: its calls get no answer.
    pub(super) fn end(&self) {
        self.attempts.cancel_all();
    }

    /// Takes a place among the running calls; `None` if all are taken.
    pub(super) fn enter(&self) -> Option<RunningCall<'_>> {
        let slots = self.base.settings.slots;
        let raise = |running: usize| (running < slots).then_some(running + 1);
        let raised = self
            .running
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, raise);
        raised.ok().map(|_| RunningCall(&self.running))
    }

    /// Runs a call; false if it was cancelled meanwhile.
    pub(super) async fn run(&self, entry: &Arc<AttemptEntry>) -> bool {
        if !entry.begin() {
            return false;
        }
        self.base.truth.add(entry);
        let time = self.base.settings.service_time.as_millis() + self.base.faults.delay_ms();
        if time > 0 {
            Timer::after(Duration::from_millis(time)).await;
        }
        entry.advance(0);
        entry.view().phase == AttemptPhase::Done
    }

    /// The load as last reported.
    pub(super) fn load(&self) -> LoadReport {
        if self.report_interval().is_zero() {
            self.renew_report();
        }
        lock(&self.report).clone()
    }

    fn renew_report(&self) {
        *lock(&self.report) = LoadReport {
            at: wall_clock(),
            running: self.running.load(Ordering::SeqCst),
            slots: self.base.settings.slots,
            role: ROLE.into(),
            ..LoadReport::default()
        };
    }

    fn report_interval(&self) -> Duration {
        Duration::from_millis(self.base.settings.report_interval.as_millis())
    }
}
