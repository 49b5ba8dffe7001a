//! Keeps the generations and sweeps, while this router is the one elected.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::retention::KeeperEffect;
use guavawell_core::retention::KeeperWrite;
use guavawell_core::retention::RetentionKeeper;
use guavawell_core::retention::RetentionSettings;
use guavawell_core::retention::RetentionView;
use smol::Timer;

use super::table::RetentionTable;
use crate::clock;
use crate::event::EventDraft;
use crate::event::EventLog;
use crate::platform::PlatformError;
use crate::platform::Table;

const MILLIS: u64 = 1_000;

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
            look_every: ClockSpan::from_millis(10_000),
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
    /// Whether this router is the one to sweep, as far as it knows.
    pub is_elected: Box<dyn Fn() -> bool + Send + Sync>,
}

/// One router's sweep.
pub struct RetentionDriver {
    parts: RetentionParts,
    table: RetentionTable,
    keeper: RetentionKeeper,
}

impl RetentionDriver {
    /// A driver that has seen nothing yet.
    #[must_use]
    pub fn new(parts: RetentionParts) -> Self {
        Self {
            table: RetentionTable::new(parts.table.clone()),
            keeper: RetentionKeeper::new(parts.settings),
            parts,
        }
    }

    /// Keeps and sweeps as long as it runs.
    pub async fn run(mut self) {
        loop {
            let pause = if (self.parts.is_elected)() {
                self.step_or_rest().await
            } else {
                self.keeper.forget();
                self.parts.pace.look_every
            };
            Timer::after(clock::duration(pause)).await;
        }
    }

    async fn step_or_rest(&mut self) -> ClockSpan {
        match self.step(clock::now).await {
            Ok(pause) => pause,
            Err(error) => {
                metrics::counter!("guavawell_retention_failed_total").increment(1);
                log::debug!("retention: {error}");
                self.parts.pace.look_every
            }
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
        self.keeper.read(view.clone(), now());
        set_generation(&view);
        match self.keeper.next(now()) {
            KeeperEffect::Rest => Ok(self.parts.pace.look_every),
            KeeperEffect::Write(write) => self.write(&view, &write).await,
            KeeperEffect::Scan { after, due_before } => {
                self.scan(after.as_deref(), due_before).await
            }
        }
    }

    async fn write(
        &mut self,
        view: &RetentionView,
        write: &KeeperWrite,
    ) -> Result<ClockSpan, PlatformError> {
        // Whatever comes of it, the span that it counts is used up.
        self.keeper.forget();
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

    async fn scan(
        &mut self,
        after: Option<&str>,
        due_before: u64,
    ) -> Result<ClockSpan, PlatformError> {
        let page = self.table.sweep_page(after, due_before, false).await?;
        metrics::counter!("guavawell_retention_rows_seen_total").increment(page.seen);
        metrics::counter!("guavawell_retention_rows_swept_total").increment(page.deleted);
        let is_over = page.cursor.is_none();
        if page.is_open {
            metrics::counter!("guavawell_retention_pages_reopened_total").increment(1);
            return Ok(self.parts.pace.look_every);
        }
        self.keeper.swept(page.cursor, page.deleted);
        if is_over {
            let event = EventDraft::new("retention.swept");
            self.parts.events.emit(event.field("before", due_before));
        }
        let rows = self.parts.pace.rows_per_second.max(1);
        Ok(ClockSpan::from_millis(page.deleted * MILLIS / rows))
    }
}

fn set_generation(view: &RetentionView) {
    let generation = view.generation.generation.get();
    #[expect(clippy::cast_precision_loss, reason = "a gauge of few generations")]
    metrics::gauge!("guavawell_retention_generation").set(generation as f64);
}
