//! Reads the ends of evacuations that this process did not see.
//!
//! The servers of a zone that is taken back are cold, and their entries may say
//! for a heartbeat that they are warm. The evacuation's row is gone by then, so
//! that a process that reads the table in full, at its start or after the store
//! did not answer, finds no trace of it. The store's history of the table tells:
//! it is read from the oldest entry on, or from what was read before.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use futures_lite::FutureExt;
use futures_lite::future::zip;
use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ForwardConfig;
use guavawell_core::forward::HistorySearch;
use guavawell_core::forward::ServiceEntry;
use guavawell_core::forward::ZoneState;
use guavawell_fleet::event::EventDraft;
use smol::Timer;

use crate::clock::timer_span;
use crate::config::query_round;
use crate::router::ForwardRouter;
use crate::store::LocalFuture;
use crate::store::StoreFault;

/// Pause after a query of the history that the store did not answer.
const FAULT_PAUSE: Duration = Duration::from_millis(150);

/// Pause after a query of other instances that none answered.
const PEER_PAUSE: Duration = Duration::from_millis(100);
/// Most queries of other instances after the history was read.
const MAX_AGE_QUERIES: u32 = 20;
/// Interval of checks whether servers can be used.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);
/// Longest time from the first list of servers until the process serves.
const MAX_SETTLE_TIME: ClockSpan = ClockSpan::from_millis(5_000);

/// Reads the changes of evacuated zones after a revision, oldest first.
pub type ReadZoneChanges = Box<dyn Fn(u64) -> LocalFuture<Result<Vec<ZoneState>, StoreFault>>>;

/// Which changes of evacuated zones this process has not read.
#[derive(Debug, Default)]
pub struct ZoneHistory {
    /// Revision after which changes were not read; 0 at the start of the process.
    gap: Cell<Option<u64>>,
    /// Notified when a gap is added.
    gap_added: Event,
    /// Whether the store's history or another instance has told the ends of
    /// evacuations.
    is_told: Cell<bool>,
    /// Whether the process may serve: the ends of evacuations before its start are
    /// known, or it has waited long enough.
    is_settled: Cell<bool>,
}

impl ZoneHistory {
    /// Records that changes after `revision` were not read.
    pub fn add_gap(&self, revision: u64) {
        let earliest = self.gap.get().map_or(revision, |gap| gap.min(revision));
        self.gap.set(Some(earliest));
        self.gap_added.notify(usize::MAX);
    }

    /// Records that the ends of evacuations were told.
    pub fn note_told(&self) {
        self.is_told.set(true);
    }

    async fn wait_gap(&self) -> u64 {
        loop {
            let added = self.gap_added.listen();
            if let Some(gap) = self.gap.take() {
                return gap;
            }
            added.await;
        }
    }
}

impl ForwardRouter {
    /// Whether the ends of evacuations before the start of the process are known,
    /// or do not matter, as no service has a slow start.
    #[must_use]
    pub fn zones_settled(&self) -> bool {
        let config = self.configs.current();
        let matters = || config.is_some_and(|config| longest_cold_span(&config).is_some());
        self.zone_history.is_settled.get() || !matters()
    }

    /// Whether each service with a slow start has a server that does not count as
    /// cold only because its zone was taken back.
    fn has_usable_servers(&self) -> bool {
        let Some(config) = self.configs.current() else {
            return false;
        };
        let now = self.clock.now();
        let servers = self.servers.borrow();
        let is_usable = |service: &ServiceEntry| {
            let span = service.slow_start.map(|slow_start| slow_start.span);
            span.is_none_or(|span| !servers.all_presumed_cold(&service.id, span, now))
        };
        config.services.iter().all(is_usable)
    }
}

/// The longest cold time of the services with a slow start.
fn longest_cold_span(config: &ForwardConfig) -> Option<ClockSpan> {
    let spans = config
        .services
        .iter()
        .filter_map(|service| service.slow_start);
    spans.map(|slow_start| slow_start.span).max()
}

/// Reads the history of evacuated zones wherever changes were not read, for as long
/// as the process runs.
pub async fn follow_zone_history(router: Rc<ForwardRouter>, read: ReadZoneChanges) {
    zip(close_gaps(&router, &read), settle(&router)).await;
}

async fn close_gaps(router: &ForwardRouter, read: &ReadZoneChanges) {
    loop {
        let gap = router.zone_history.wait_gap().await;
        close_gap(router, read, gap).await;
        router.zone_history.note_told();
        router.notify_loaded();
        query_ages(router).await;
    }
}

/// Asks other instances when zones were taken back, as the history does not tell:
/// without an answer their servers count as cold for the whole cold time.
async fn query_ages(router: &ForwardRouter) {
    for _ in 0..MAX_AGE_QUERIES {
        let is_needed = router.servers.borrow().has_return_after_listing();
        if !is_needed || query_round(router).await {
            return;
        }
        Timer::after(PEER_PAUSE).await;
    }
}

/// Lets the process serve once it knows which zones were taken back, and where not
/// all servers of a service count as cold for that alone: callers are served
/// better by other instances until then.
async fn settle(router: &ForwardRouter) {
    let known = async {
        let history = &router.zone_history;
        router
            .wait_loaded(|| router.has_lists() && history.is_told.get())
            .await;
        while !router.has_usable_servers() {
            Timer::after(SETTLE_PAUSE).await;
        }
    };
    known.or(outlast_settling(router)).await;
    router.zone_history.is_settled.set(true);
    router.notify_loaded();
}

/// Waits until the first list of servers is older than any cold time, or the
/// process has waited long enough.
async fn outlast_settling(router: &ForwardRouter) {
    router.wait_loaded(|| router.has_lists()).await;
    let config = router.configs.current();
    let span = config.and_then(|config| longest_cold_span(&config));
    let limit = span.unwrap_or_default().min(MAX_SETTLE_TIME);
    Timer::after(timer_span(limit)).await;
}

/// Reads the changes after `gap` that the store still keeps, until it has answered
/// or the cold time is over.
async fn close_gap(router: &ForwardRouter, read: &ReadZoneChanges, gap: u64) {
    router.wait_loaded(|| router.has_lists()).await;
    let Some(config) = router.configs.current() else {
        return;
    };
    let Some(span) = longest_cold_span(&config) else {
        return;
    };
    let has_slow_start = |id: &_| {
        config
            .service(id)
            .is_some_and(|service| service.slow_start.is_some())
    };
    let oldest = router.servers.borrow().oldest_listing(has_slow_start);
    let Some(oldest) = oldest else {
        return;
    };
    let timeout = async {
        Timer::after(timer_span(span)).await;
    };
    search_history(router, read, gap.max(oldest))
        .or(timeout)
        .await;
}

async fn search_history(router: &ForwardRouter, read: &ReadZoneChanges, from: u64) {
    let known_after = router.servers.borrow().evacuations().revision();
    let mut search = HistorySearch::new(from, known_after);
    let mut failures = 0;
    while let Some(since) = search.next_query() {
        match read(since).await {
            Ok(rows) => {
                router.apply_zone_history(&rows);
                search.found(since);
            }
            Err(StoreFault::HistoryGone) => search.gone(since),
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    log_failure(router, since, &error);
                }
                Timer::after(FAULT_PAUSE).await;
            }
        }
    }
    let draft = EventDraft::new("zone.history_read")
        .field("from", from)
        .field("known_after", search.known_after())
        .field("newest", known_after)
        .field("failures", failures);
    router.log.emit(draft);
}

fn log_failure(router: &ForwardRouter, since: u64, error: &StoreFault) {
    let draft = EventDraft::new("zone.history_unanswered")
        .field("since", since)
        .field("error", error);
    router.log.emit(draft);
}
