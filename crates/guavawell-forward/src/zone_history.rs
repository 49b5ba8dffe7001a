//! Reads the ends of evacuations that this process did not see.
//!
//! The servers of a zone that is taken back are cold, and their entries may say
//! for a heartbeat that they are warm. The evacuation's row is gone by then, so
//! that a process that reads the table in full, at its start or after the store
//! did not answer, finds no trace of it. The store's history of the table tells:
//! it is read from the oldest entry on, or from what was read before. Until then
//! servers whose entries are older count as cold. Where neither the store nor another
//! instance can tell the changes any more, the servers themselves are asked.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use event_listener::EventListener;
use futures_lite::FutureExt;
use futures_lite::future::zip;
use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::HistorySearch;
use guavawell_core::forward::ServiceEntry;
use guavawell_core::forward::ZoneGap;
use guavawell_core::forward::ZoneState;
use guavawell_core::id::ServiceId;
use guavawell_fleet::event::EventDraft;
use smol::LocalExecutor;
use smol::Timer;

use crate::clock::timer_span;
use crate::clock::wait_while;
use crate::config::query_round;
use crate::router::ForwardRouter;
use crate::store::LocalFuture;
use crate::store::StoreFault;
use crate::warmth::ask_servers;
use crate::warmth::count_unheard;

/// Pause after the first query of the history that the store did not answer. It
/// doubles with each further one.
const FAULT_PAUSE: Duration = Duration::from_millis(150);
/// Largest number of doublings of that pause.
const MAX_PAUSE_DOUBLINGS: u32 = 3;
/// Pause after a query of other instances that none answered.
const PEER_PAUSE: Duration = Duration::from_millis(100);
/// Most queries of other instances for changes that the store no longer keeps.
const MAX_PEER_ROUNDS: u32 = 5;
/// Interval of checks whether servers can be used.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);
/// Longest time from the first list of servers until the process is ready.
const MAX_SETTLE_TIME: ClockSpan = ClockSpan::from_millis(5_000);
/// Time before servers are asked too: the answer of an instance costs them nothing.
const ASK_DELAY: Duration = Duration::from_millis(30);
/// Longest time for which changes that the store does not tell count as being read.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(500);

/// Reads the changes of evacuated zones after a revision, oldest first.
pub type ReadZoneChanges = Box<dyn Fn(u64) -> LocalFuture<Result<Vec<ZoneState>, StoreFault>>>;

/// How far the process has read the history of evacuated zones.
#[derive(Debug, Default)]
pub struct ZoneHistory {
    /// Notified when changes turn out to be unread, or have been read, and when a
    /// server has said whether it is cold.
    gap_event: Event,
    /// Whether the process may be ready.
    is_settled: Cell<bool>,
    /// Whether a request waited for the unread changes in vain.
    waited: Cell<bool>,
    /// Newest revision of any row when the table was last read in full. Changes
    /// after it are removals of rows and few others.
    newest_row: Cell<u64>,
}

impl ZoneHistory {
    /// Records that the unread changes are others than before.
    pub fn gap_changed(&self) {
        self.waited.set(false);
        self.gap_event.notify(usize::MAX);
    }

    /// Waits for any of these.
    pub(crate) fn listen(&self) -> EventListener {
        self.gap_event.listen()
    }

    /// Records that a server has said whether it is cold.
    pub fn server_heard(&self) {
        self.gap_event.notify(usize::MAX);
    }

    /// Sets the newest revision of any row of a table that was read in full.
    pub fn set_newest_row(&self, revision: u64) {
        self.newest_row.set(revision);
    }

    /// Whether the process may be ready: it knows which zones were taken back, and
    /// not all servers count as cold for that alone, or it has waited long enough.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.is_settled.get()
    }
}

impl ForwardRouter {
    /// Waits until the changes of evacuated zones are read, or a server of a service
    /// says that it is warm, for `max_wait` at most. Returns whether that came; if not,
    /// no further request waits.
    pub async fn await_zones(&self, service: &ServiceId, max_wait: ClockSpan) -> bool {
        let history = &self.zone_history;
        let count_warm = || {
            let span = self.cold_span(service).unwrap_or_default();
            let servers = self.servers.borrow();
            servers.count_warm(service, span, self.clock.now())
        };
        let warm = count_warm();
        let is_unread = || self.zone_gap().is_some() && count_warm() <= warm;
        if !is_unread() || history.waited.get() {
            return false;
        }
        let is_read = wait_while(&self.clock, &history.gap_event, max_wait, is_unread).await;
        history.waited.set(!is_read);
        is_read
    }

    /// Waits for changes that were not read.
    async fn wait_gap(&self) -> ZoneGap {
        loop {
            let changed = self.zone_history.gap_event.listen();
            if let Some(gap) = self.zone_gap() {
                return gap;
            }
            changed.await;
        }
    }

    /// Whether any service has servers that do not all count as cold only because
    /// their zones were taken back.
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
        config.services.iter().any(is_usable)
    }

    /// Whether any server counts as cold because its zone was taken back.
    fn has_presumed_cold_servers(&self) -> bool {
        let Some(config) = self.configs.current() else {
            return false;
        };
        let now = self.clock.now();
        let servers = self.servers.borrow();
        let is_concerned = |service: &ServiceEntry| {
            let span = service.slow_start.map(|slow_start| slow_start.span);
            span.is_some_and(|span| servers.any_presumed_cold(&service.id, span, now))
        };
        config.services.iter().any(is_concerned)
    }

    /// Revision of the oldest entry of a server whose service has a slow start.
    pub(crate) fn oldest_listing(&self) -> Option<u64> {
        let config = self.configs.current()?;
        let has_slow_start = |id: &ServiceId| {
            let service = config.service(id);
            service.is_some_and(|service| service.slow_start.is_some())
        };
        let servers = self.servers.borrow();
        servers.oldest_listing(self.clock.now(), has_slow_start)
    }

    /// The longest cold time of the services with a slow start.
    pub(crate) fn longest_cold_span(&self) -> Option<ClockSpan> {
        let config = self.configs.current()?;
        let services = config.services.iter();
        let spans = services.filter_map(|service| service.slow_start);
        spans.map(|slow_start| slow_start.span).max()
    }
}

/// Reads the history of evacuated zones wherever changes were not read, for as long
/// as the process runs.
pub async fn follow_zone_history(
    router: Rc<ForwardRouter>,
    executor: Rc<LocalExecutor<'static>>,
    read: ReadZoneChanges,
) {
    zip(close_gaps(&router, &executor, &read), settle(&router)).await;
}

async fn close_gaps(
    router: &Rc<ForwardRouter>,
    executor: &LocalExecutor<'static>,
    read: &ReadZoneChanges,
) {
    let has_slow_start = || router.has_lists() && router.longest_cold_span().is_some();
    loop {
        let gap = router.wait_gap().await;
        router.wait_loaded(has_slow_start).await;
        close_gap(router, executor, read, gap).await;
    }
}

/// Lets the process be ready once it knows which zones were taken back, and where
/// some servers can be used: callers are served better by other instances until then.
async fn settle(router: &ForwardRouter) {
    router.wait_loaded(|| router.has_lists()).await;
    if let Some(span) = router.longest_cold_span() {
        let limit = async {
            Timer::after(timer_span(span.min(MAX_SETTLE_TIME))).await;
        };
        wait_usable(router).or(query_ages(router)).or(limit).await;
    }
    router.zone_history.is_settled.set(true);
    // Ages are of use to a process that is ready, too.
    query_ages(router).await;
}

async fn wait_usable(router: &ForwardRouter) {
    while router.zone_gap().is_some() || !router.has_usable_servers() {
        Timer::after(SETTLE_PAUSE).await;
    }
}

/// Asks other instances when zones were taken back, as the history does not tell:
/// without an answer their servers count as cold for the whole cold time. Ends only
/// where no server counts as cold for that.
async fn query_ages(router: &ForwardRouter) {
    let mut is_answered = false;
    let is_needed = || router.zone_gap().is_some() || router.has_presumed_cold_servers();
    while router.longest_cold_span().is_some() && is_needed() {
        if router.zone_gap().is_none() && !is_answered {
            is_answered = query_round(router).await;
        }
        Timer::after(PEER_PAUSE).await;
    }
}

/// Reads the changes within a gap that the store still keeps, or lets other
/// instances tell them. If nobody answers for as long as servers are cold, the gap
/// no longer matters.
///
/// At the start of the process only the changes since the table's newest row are
/// waited for: the older ones hold every configuration since the oldest entry, and
/// would keep the process from serving for seconds. They are read afterwards.
async fn close_gap(
    router: &Rc<ForwardRouter>,
    executor: &LocalExecutor<'static>,
    read: &ReadZoneChanges,
    gap: ZoneGap,
) {
    let span = router.longest_cold_span().unwrap_or_default();
    let end = gap.at + span;
    let oldest = router.oldest_listing().unwrap_or(gap.to).min(gap.to);
    let from = match gap.from {
        0 => oldest.max(router.zone_history.newest_row.get()),
        known => known.max(oldest),
    };
    let timeout = async {
        Timer::after(timer_span(router.clock.left(end))).await;
        log_unread(router, gap);
        gap.to
    };
    let search = search_history(router, read, gap, from);
    let known_after = search.or(timeout).await;
    let interrupted = async {
        router.wait_gap().await;
    };
    if known_after > from {
        router.zones_narrowed(known_after, gap.to);
        let to = known_after.min(gap.to);
        find_out(router, executor, ZoneGap { to, ..gap }).await;
        ask_servers(router, executor).or(interrupted).await;
    } else {
        router.zones_read(known_after, gap.to);
        if gap.from == 0 && oldest < known_after {
            read_older(router, read, oldest).or(interrupted).await;
        }
    }
}

/// Asks other instances and the servers for what the store no longer tells. Requests
/// wait for their answers only for a limited time.
async fn find_out(router: &Rc<ForwardRouter>, executor: &LocalExecutor<'static>, gap: ZoneGap) {
    let instances = async {
        ask_instances(router, gap).await;
        if router.zone_gap() == Some(gap) {
            std::future::pending::<()>().await;
        }
    };
    let limit = async {
        Timer::after(MAX_ANSWER_TIME).await;
    };
    let servers = async {
        Timer::after(ASK_DELAY).await;
        ask_servers(router, executor).await;
    };
    instances.or(servers).or(limit).await;
    if router.zone_gap().is_some_and(|open| open.to <= gap.to) {
        log_lost(router, gap);
    }
    router.zones_lost(gap.to, gap.to);
}

/// Reads older changes, if the store still keeps them.
async fn read_older(router: &ForwardRouter, read: &ReadZoneChanges, from: u64) {
    match read(from).await {
        Ok(rows) => {
            router.apply_zone_history(&rows);
            router.older_zones_read(from);
        }
        Err(error) => log_failure(router, from, &error),
    }
}

/// Returns the revision after which the changes are known.
async fn search_history(
    router: &ForwardRouter,
    read: &ReadZoneChanges,
    gap: ZoneGap,
    from: u64,
) -> u64 {
    let mut search = HistorySearch::new(from, gap.to);
    let mut failures = 0;
    while let Some(since) = search.next_query() {
        match read(since).await {
            Ok(rows) => {
                router.apply_zone_history(&rows);
                search.found(since);
            }
            Err(StoreFault::HistoryGone) => search.gone(since),
            Err(error) => {
                if failures == 0 {
                    log_failure(router, since, &error);
                }
                let pause = FAULT_PAUSE * 2_u32.pow(failures.min(MAX_PAUSE_DOUBLINGS));
                // Jitter, so that instances that started together spread.
                Timer::after(pause.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
                failures += 1;
            }
        }
    }
    let known_after = search.known_after();
    let draft = EventDraft::new("zone.history_read")
        .field("from", from)
        .field("known_after", known_after)
        .field("newest", gap.to)
        .field("failures", failures);
    router.log.emit(draft);
    known_after
}

/// Asks other instances for changes that the store no longer keeps, until one closes
/// the gap or all have had the time to.
async fn ask_instances(router: &ForwardRouter, gap: ZoneGap) {
    for _ in 0..MAX_PEER_ROUNDS {
        if query_round(router).await && router.zone_gap() != Some(gap) {
            return;
        }
        Timer::after(PEER_PAUSE).await;
    }
}

fn log_failure(router: &ForwardRouter, since: u64, error: &StoreFault) {
    let draft = EventDraft::new("zone.history_unanswered")
        .field("since", since)
        .field("error", error);
    router.log.emit(draft);
}

/// Logs that changes can't be read, and how many servers have yet to say whether they
/// are cold.
fn log_lost(router: &ForwardRouter, gap: ZoneGap) {
    metrics::counter!("guavawell_forward_zone_changes_lost_total").increment(1);
    let draft = EventDraft::new("zone.history_lost")
        .field("from", gap.from)
        .field("known_after", gap.to)
        .field("unheard_servers", count_unheard(router));
    router.log.emit(draft);
}

fn log_unread(router: &ForwardRouter, gap: ZoneGap) {
    let draft = EventDraft::new("zone.history_unread")
        .field("from", gap.from)
        .field("to", gap.to);
    router.log.emit(draft);
}
