//! Sweeps the claims that fall to this router, and keeps the generations while
//! it is the one elected.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::ClaimGeneration;
use guavawell_core::id::OrganisationId;
use guavawell_core::retention::OrganisationSweep;
use guavawell_core::retention::RetentionEffect;
use guavawell_core::retention::RetentionScheduler;
use guavawell_core::retention::RetentionSettings;
use guavawell_core::retention::RetentionView;
use guavawell_core::retention::RetentionWrite;
use guavawell_core::retention::skip_covered;
use smol::Timer;

use super::table::PAGE_ROWS;
use super::table::PageAsk;
use super::table::PageReport;
use super::table::RetentionTable;
use crate::clock;
use crate::event::EventDraft;
use crate::event::EventLog;
use crate::platform::PlatformError;
use crate::platform::Table;

const MILLIS: u64 = 1_000;

/// Shortest pause between two pages.
const PAGE_PAUSE: ClockSpan = ClockSpan::from_millis(50);

/// Rows of a page among which strays are looked for: mostly organisations that
/// are stepped over at once.
const STRAY_ROWS: u64 = 20;

/// How fast the sweep goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SweepPace {
    /// Time between two looks while nothing is due.
    pub look_every: ClockSpan,
    /// Rows deleted a second at most, on average over a page.
    pub rows_per_second: u64,
}

impl Default for SweepPace {
    fn default() -> Self {
        Self {
            look_every: ClockSpan::from_millis(30_000),
            rows_per_second: 1_000,
        }
    }
}

/// What the driver needs.
pub struct RetentionParts {
    /// The platform's table.
    pub table: Table,
    /// How long things are kept.
    pub settings: RetentionSettings,
    /// How fast the rest goes.
    pub pace: SweepPace,
    /// Where changes are noted.
    pub events: EventLog,
    /// Whether this router is the one that keeps the generations, as far as
    /// it knows.
    pub is_elected: Box<dyn Fn() -> bool + Send + Sync>,
    /// The organisations whose claims fall to this router.
    pub toured: Box<dyn Fn() -> Vec<OrganisationId> + Send + Sync>,
    /// Whether an organisation falls to any router.
    pub is_toured: Box<dyn Fn(&OrganisationId) -> bool + Send + Sync>,
}

/// One router's sweep.
pub struct RetentionDriver {
    parts: RetentionParts,
    table: RetentionTable,
    keeper: RetentionScheduler,
    tour: OrganisationSweep,
}

impl RetentionDriver {
    /// A driver that has seen nothing yet.
    #[must_use]
    pub fn new(parts: RetentionParts) -> Self {
        Self {
            table: RetentionTable::new(parts.table.clone()),
            keeper: RetentionScheduler::new(parts.settings),
            tour: OrganisationSweep::new(ClaimGeneration::default(), Vec::new()),
            parts,
        }
    }

    /// Keeps and sweeps as long as it runs.
    pub async fn run(mut self) {
        loop {
            let pause = match self.step(clock::now).await {
                Ok(pause) => pause,
                Err(error) => {
                    metrics::counter!("guavawell_retention_failed_total").increment(1);
                    log::debug!("retention: {error}");
                    self.parts.pace.look_every
                }
            };
            Timer::after(clock::duration(pause)).await;
        }
    }

    /// One step, and the time until the next. `now` gives the time of a
    /// monotonic clock.
    ///
    /// # Errors
    ///
    /// [`PlatformError`]; the next step begins with a read.
    pub async fn step(&mut self, now: impl Fn() -> ClockTime) -> Result<ClockSpan, PlatformError> {
        if !self.parts.settings.sweeps_claims() {
            return Ok(self.parts.pace.look_every);
        }
        let view = self.table.read().await?;
        set_generation(&view);
        let effect = self.keep(&view, now);
        if let RetentionEffect::Write(write) = effect {
            return self.write(&view, &write).await;
        }
        self.begin_tour(&view);
        if self.tour.next().is_some() {
            return self.tour_page(view.due_before()).await;
        }
        match effect {
            RetentionEffect::Scan { after, due_before } => {
                self.stray_page(after.as_deref(), due_before).await
            }
            _ => Ok(self.parts.pace.look_every),
        }
    }

    /// What the generations' keeper wants, if this router is the one.
    fn keep(&mut self, view: &RetentionView, now: impl Fn() -> ClockTime) -> RetentionEffect {
        if !(self.parts.is_elected)() {
            self.keeper.reset();
            return RetentionEffect::Idle;
        }
        self.keeper.observe(view.clone(), now());
        self.keeper.next(now())
    }

    /// Each generation has a tour of its own.
    fn begin_tour(&mut self, view: &RetentionView) {
        let generation = view.generation.generation;
        if view.due_before() > 0 && self.tour.generation() < generation {
            self.tour = OrganisationSweep::new(generation, (self.parts.toured)());
        }
    }

    async fn write(
        &mut self,
        view: &RetentionView,
        write: &RetentionWrite,
    ) -> Result<ClockSpan, PlatformError> {
        // Whatever comes of it, the span that it counts is used up.
        self.keeper.reset();
        let is_written = self.table.write(view, write).await?;
        if let Some(row) = write.advance.filter(|_| is_written) {
            log::info!("claims are written in generation {} now", row.generation);
            let event = EventDraft::new("retention.generation");
            self.parts
                .events
                .emit(event.field("generation", row.generation));
        }
        Ok(ClockSpan::default())
    }

    /// Looks at a page of the organisations that fall to this router.
    async fn tour_page(&mut self, due_before: u64) -> Result<ClockSpan, PlatformError> {
        let Some((prefix, after)) = self.tour.next() else {
            return Ok(self.parts.pace.look_every);
        };
        let ask = PageAsk {
            prefix,
            after,
            most: PAGE_ROWS,
        };
        let page = self.table.sweep_page(&ask, due_before, false).await?;
        if !page.is_open {
            self.tour.record_page(page.cursor.clone());
        }
        Ok(self.paid(&page))
    }

    /// Looks at a page of all claims, and steps over toured organisations.
    async fn stray_page(
        &mut self,
        after: Option<&str>,
        due_before: u64,
    ) -> Result<ClockSpan, PlatformError> {
        let ask = PageAsk {
            most: STRAY_ROWS,
            ..PageAsk::all(after)
        };
        let page = self.table.sweep_page(&ask, due_before, false).await?;
        if !page.is_open {
            let is_toured = &self.parts.is_toured;
            let cursor = page.cursor.as_deref();
            let cursor = cursor.map(|key| skip_covered(key, is_toured));
            let is_over = cursor.is_none();
            self.keeper.record_page(cursor, page.deleted);
            if is_over {
                let event = EventDraft::new("retention.swept");
                self.parts.events.emit(event.field("before", due_before));
            }
        }
        Ok(self.paid(&page))
    }

    /// Counts a page, and gives the pause behind it.
    fn paid(&self, page: &PageReport) -> ClockSpan {
        metrics::counter!("guavawell_retention_rows_seen_total").increment(page.seen);
        metrics::counter!("guavawell_retention_rows_swept_total").increment(page.deleted);
        if page.is_open {
            metrics::counter!("guavawell_retention_pages_reopened_total").increment(1);
            return self.parts.pace.look_every;
        }
        let rows = self.parts.pace.rows_per_second.max(1);
        let span = ClockSpan::from_millis(page.deleted * MILLIS / rows);
        span.max(PAGE_PAUSE)
    }
}

fn set_generation(view: &RetentionView) {
    let generation = view.generation.generation.get();
    #[expect(clippy::cast_precision_loss, reason = "a gauge of few generations")]
    metrics::gauge!("guavawell_retention_generation").set(generation as f64);
}
