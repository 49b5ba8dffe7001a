//! One life of the engine, from its start or a crash to the next crash.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use guavawell_core::id::AttemptId;
use smol::Timer;
use smol::future::FutureExt;

use crate::attempt::AttemptEntry;
use crate::attempt::AttemptRecord;
use crate::attempt::AttemptRegistry;
use crate::backend::BackendBase;
use crate::engine::cache::CacheReport;
use crate::engine::cache::PrefixCache;
use crate::engine::orders::EngineOrder;
use crate::engine::orders::OrderBook;
use crate::engine::orders::OrderEffect;
use crate::engine::orders::OrderError;
use crate::engine::schedule::SlotAnswer;
use crate::engine::schedule::SlotSchedule;
use crate::engine::settings::EngineSettings;
use crate::engine::settings::duration;
use crate::load::LoadReport;
use crate::load::renew_every;
use crate::load::wall_clock;
use crate::lock::lock;
use crate::pool;

/// Everything that a crash forgets.
#[derive(Debug)]
pub struct EngineLife {
    pub(super) base: Arc<BackendBase<EngineSettings>>,
    pub(super) attempts: AttemptRegistry,
    pub(super) orders: Mutex<OrderBook>,
    schedule: Mutex<SlotSchedule>,
    cache: Mutex<PrefixCache>,
    report: Mutex<LoadReport>,
}

/// The times of one attempt.
#[derive(Clone, Copy, Debug)]
struct TokenPace {
    first: Duration,
    next: Duration,
}

impl EngineLife {
    pub(super) fn start(base: &Arc<BackendBase<EngineSettings>>) -> Arc<Self> {
        let settings = &base.settings;
        let orders = OrderBook::new(
            settings.models.clone(),
            settings.role.clone(),
            settings.fence_orders,
        );
        let life = Arc::new(Self {
            base: Arc::clone(base),
            attempts: AttemptRegistry::new(settings.record_limit),
            orders: Mutex::new(orders),
            schedule: Mutex::new(SlotSchedule::new(settings.slots, settings.queue)),
            cache: Mutex::new(PrefixCache::new(settings.cache_limit)),
            report: Mutex::default(),
        });
        life.renew_report();
        renew_every(
            duration(settings.report_interval),
            &life,
            Self::renew_report,
        );
        life
    }

    /// Ends this life: nothing of it runs on.
    pub(super) fn end(&self) {
        self.attempts.cancel_all();
    }

    /// Asks for a slot and runs the attempt as soon as it has one.
    pub(super) fn submit(
        self: &Arc<Self>,
        entry: &Arc<AttemptEntry>,
        prefix: u64,
        priority: u8,
    ) -> SlotAnswer {
        let answer = lock(&self.schedule).admit(entry, priority);
        match answer {
            SlotAnswer::Granted => {
                self.store_prefix(entry, prefix);
                self.launch(Arc::clone(entry));
            }
            SlotAnswer::Queued => self.store_prefix(entry, prefix),
            SlotAnswer::Full => {}
        }
        answer
    }

    /// Cancels an attempt, also one never seen.
    pub(super) fn cancel(&self, attempt: AttemptId) -> AttemptRecord {
        let record = self.attempts.cancel(attempt);
        lock(&self.schedule).withdraw(attempt);
        record
    }

    /// Applies an order; a model to be loaded is served after the load time.
    pub(super) fn apply(self: &Arc<Self>, order: EngineOrder) -> Result<(), OrderError> {
        let effect = lock(&self.orders).apply(order)?;
        if let OrderEffect::Load(model) = effect {
            let load_time = duration(self.base.settings.load_time);
            if load_time.is_zero() {
                lock(&self.orders).loaded(model);
                return Ok(());
            }
            let life = Arc::downgrade(self);
            let load = async move {
                Timer::after(load_time).await;
                if let Some(life) = life.upgrade() {
                    lock(&life.orders).loaded(model);
                }
            };
            pool::spawn(load).detach();
        }
        Ok(())
    }

    /// The load as last reported.
    pub(super) fn load(&self) -> LoadReport {
        if duration(self.base.settings.report_interval).is_zero() {
            self.renew_report();
        }
        lock(&self.report).clone()
    }

    pub(super) fn cache_events(&self, after: u64) -> CacheReport {
        let settings = &self.base.settings;
        let lag = duration(settings.cache_lag);
        lock(&self.cache).report(after, lag, settings.cache_gap, Instant::now())
    }

    /// Runs attempts on one slot until its turn takes time or the queue is empty.
    fn launch(self: &Arc<Self>, entry: Arc<AttemptEntry>) {
        let mut turn = Some(entry);
        while let Some(entry) = turn {
            if entry.begin() {
                self.base.truth.add(&entry);
                let pace = self.pace(&entry);
                if !self.is_instant(pace) {
                    let life = Arc::clone(self);
                    pool::spawn(async move { life.generate(entry, pace).await }).detach();
                    return;
                }
                entry.advance(entry.total);
            }
            turn = lock(&self.schedule).release();
        }
    }

    /// Generates the tokens of one attempt, then gives its slot on.
    async fn generate(self: Arc<Self>, entry: Arc<AttemptEntry>, pace: TokenPace) {
        sleep(pace.first, &entry).await;
        let mut going = true;
        while going && !self.token_time(pace).is_zero() {
            going = entry.advance(1);
            if going {
                sleep(self.token_time(pace), &entry).await;
            }
        }
        if going {
            entry.advance(entry.total);
        }
        let next = lock(&self.schedule).release();
        if let Some(next) = next {
            self.launch(next);
        }
    }

    fn pace(&self, entry: &AttemptEntry) -> TokenPace {
        let settings = &self.base.settings;
        let prefill = if entry.is_prefix_cached() {
            settings.cached_prefill_time
        } else {
            settings.prefill_time
        };
        let delay = Duration::from_millis(self.base.faults.delay_ms());
        TokenPace {
            first: duration(prefill) + delay,
            next: duration(settings.token_time),
        }
    }

    /// The time to the next token; the slow-server switch acts on running streams too.
    fn token_time(&self, pace: TokenPace) -> Duration {
        let switched = self.base.faults.token_ms();
        if switched > 0 {
            return Duration::from_millis(switched);
        }
        let settings = &self.base.settings;
        if settings.batch_micros == 0 {
            return pace.next;
        }
        let others = lock(&self.schedule).running().saturating_sub(1);
        let others = u64::try_from(others).unwrap_or(u64::MAX);
        pace.next + Duration::from_micros(settings.batch_micros.saturating_mul(others))
    }

    fn is_instant(&self, pace: TokenPace) -> bool {
        pace.first.is_zero() && self.token_time(pace).is_zero()
    }

    fn store_prefix(&self, entry: &AttemptEntry, prefix: u64) {
        let cached = lock(&self.cache).touch(prefix, Instant::now());
        entry.set_prefix_cached(cached);
    }

    fn renew_report(&self) {
        let mut report = LoadReport {
            at: wall_clock(),
            slots: self.base.settings.slots,
            ..LoadReport::default()
        };
        {
            let schedule = lock(&self.schedule);
            report.running = schedule.running();
            report.queued = schedule.queued();
        }
        {
            let orders = lock(&self.orders);
            report.models = orders.models().to_vec();
            report.role = orders.role().into();
        }
        *lock(&self.report) = report;
    }
}

/// Waits for a span, or for the attempt's cancellation if that comes first.
async fn sleep(span: Duration, entry: &AttemptEntry) {
    if span.is_zero() {
        return;
    }
    let timer = async {
        Timer::after(span).await;
    };
    timer.or(entry.cancelled()).await;
}
