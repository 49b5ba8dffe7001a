//! Detects requests that crash servers, and shares the suspicions with the fleet.
//!
//! Suspicions spread in two ways, since either may fail. Each instance writes its
//! own row in the store and all read them, so a process that starts has the earlier
//! suspicions. Instances also send them directly to each other, which works while
//! the store is out of reach.

mod judge;
pub(crate) mod parts;
mod publish;
mod trial;

use std::cell::Cell;
use std::cell::RefCell;

use event_listener::Event;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::grant::StoreClock;
use guavawell_core::grant::decode_row;
use guavawell_core::id::InstanceId;
use guavawell_core::poison::CrashedServers;
use guavawell_core::poison::MarkChange;
use guavawell_core::poison::OrganisationTag;
use guavawell_core::poison::PoisonSettings;
use guavawell_core::poison::PoisonTable;
use guavawell_core::poison::PoisonVerdict;
use guavawell_core::poison::RequestFingerprint;
use guavawell_core::poison::ServerTag;
use guavawell_core::poison::SharedSuspicion;
use guavawell_core::poison::SuspicionList;
use guavawell_core::poison::SuspicionMark;
use guavawell_fleet::event::EventDraft;
use guavawell_fleet::event::EventLog;
use smol::Timer;

pub use self::judge::judge_parts;
pub use self::parts::report_crashes;
pub(crate) use self::trial::TrialPermit;
use crate::clock::SteadyClock;
use crate::clock::timer_span;
use crate::crash::AbandonedAttempt;
use crate::store::RowStore;

/// Table of the suspicions: one row per instance, all in the part with the empty
/// name.
pub const POISON_TABLE: &str = "guavawell_suspects";

/// Delay before a crash is published, so that the other requests of the crashed
/// server are in the same message.
const CRASH_BATCH_DELAY: ClockSpan = ClockSpan::from_millis(10);
/// Delay before a cleared suspicion is published. It is longer because no request
/// waits for it.
const CLEAR_BATCH_DELAY: ClockSpan = ClockSpan::from_millis(300);

/// The suspicions known to this process.
#[derive(Debug)]
pub struct PoisonTracker {
    instance: InstanceId,
    clock: SteadyClock,
    log: EventLog,
    store: RowStore,
    table: RefCell<PoisonTable>,
    /// Whether all rows of the store were read once.
    rows_loaded: Cell<bool>,
    store_clock: Cell<StoreClock>,
    /// The last known version of this instance's own row.
    row_version: Cell<u64>,
    /// When the own row is to be written, if a change is unpublished.
    write_due_at: Cell<Option<ClockTime>>,
    /// Notified when the own row may have to be written.
    row_wakeup: Event,
    /// Requests whose change was not yet sent directly to other instances.
    unsent_changes: RefCell<Vec<RequestFingerprint>>,
    /// Notified when `unsent_changes` grows.
    broadcast_wakeup: Event,
}

impl PoisonTracker {
    /// Creates a tracker without suspicions.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        settings: PoisonSettings,
        clock: SteadyClock,
        log: EventLog,
        store: RowStore,
    ) -> Self {
        Self {
            instance,
            clock,
            log,
            store,
            table: RefCell::new(PoisonTable::new(settings)),
            rows_loaded: Cell::new(false),
            store_clock: Cell::default(),
            row_version: Cell::new(0),
            write_due_at: Cell::new(None),
            row_wakeup: Event::new(),
            unsent_changes: RefCell::default(),
            broadcast_wakeup: Event::new(),
        }
    }

    /// The suspicion mark of a request.
    #[must_use]
    pub fn mark(&self, fingerprint: RequestFingerprint) -> SuspicionMark {
        self.table.borrow().mark(fingerprint)
    }

    /// Returns the fingerprint if servers crashed while they ran the request and it
    /// is not refused yet.
    #[must_use]
    pub fn suspect(&self, fingerprint: RequestFingerprint) -> Option<RequestFingerprint> {
        (self.verdict(fingerprint) == PoisonVerdict::Suspect).then_some(fingerprint)
    }

    /// How long the request must not be sent to a server; `None` if it may be sent.
    #[must_use]
    pub fn refused_for(&self, fingerprint: RequestFingerprint) -> Option<ClockSpan> {
        match self.verdict(fingerprint) {
            PoisonVerdict::Refused(span) | PoisonVerdict::Undecided(span) => Some(span),
            PoisonVerdict::Clear | PoisonVerdict::Suspect => None,
        }
    }

    /// Checks a new request: returns how long it is refused because of itself or of a part,
    /// or `None` if it may be sent. While the verdict is undecided, waits for it up to
    /// `max_wait`.
    pub async fn await_verdict(
        &self,
        fingerprint: RequestFingerprint,
        max_wait: ClockSpan,
    ) -> Option<ClockSpan> {
        let deadline = self.clock.now() + max_wait;
        while let PoisonVerdict::Undecided(span) = self.verdict(fingerprint) {
            let pause = span.min(self.clock.left(deadline));
            if pause == ClockSpan::ZERO {
                return Some(span);
            }
            Timer::after(timer_span(pause)).await;
        }
        self.refused_for(fingerprint)
    }

    /// Records that a request was refused because of itself, which keeps it refused, or
    /// because of a part of its prompt, which does not.
    pub(crate) fn note_refused(&self, suspect: RequestFingerprint, is_part: bool) {
        metrics::counter!("guavawell_forward_poison_refused_total").increment(1);
        if !is_part {
            let now = self.clock.now();
            self.table.borrow_mut().refused(suspect, now);
        }
    }

    /// How long a request must not be sent to a server, because of itself or of one of
    /// its parts; `None` if it may be sent.
    #[must_use]
    pub fn refused_with_parts(
        &self,
        fingerprint: RequestFingerprint,
        parts: impl IntoIterator<Item = RequestFingerprint>,
    ) -> Option<ClockSpan> {
        let refused = std::iter::once(fingerprint)
            .chain(parts)
            .filter_map(|fingerprint| self.refused_for(fingerprint));
        refused.max()
    }

    /// Whether a failed attempt of the request may be retried.
    #[must_use]
    pub fn may_retry(&self, fingerprint: RequestFingerprint) -> bool {
        self.table.borrow().may_retry(fingerprint)
    }

    /// Records that a server crashed while it ran an attempt.
    pub fn crashed(&self, attempt: &AbandonedAttempt) {
        let (fingerprint, organisation) = (attempt.fingerprint, attempt.organisation);
        let now = self.clock.now();
        let mut table = self.table.borrow_mut();
        let server = ServerTag::of(&attempt.server);
        let change = table.crashed(fingerprint, organisation, attempt.suspicion, server, now);
        drop(table);
        if let Some(change) = change {
            self.record_change(change, &format_args!("crash of {}", attempt.server));
            self.schedule_publication(change, CRASH_BATCH_DELAY);
        }
    }

    /// Records a complete answer to a request, which clears its suspicion.
    pub fn answered(&self, fingerprint: RequestFingerprint) {
        let now = self.clock.now();
        let change = self.table.borrow_mut().answered(fingerprint, now);
        self.clear(change, &"answer");
    }

    /// Clears the suspicion of a request at an operator's command; false if it is
    /// not suspected.
    pub fn acquit(&self, fingerprint: RequestFingerprint) -> bool {
        let now = self.clock.now();
        let change = self.table.borrow_mut().acquit(fingerprint, now);
        self.clear(change, &"operator");
        change.is_some()
    }

    /// Publishes that servers crashed under a part of prompts.
    pub(crate) fn suspect_part(
        &self,
        part: RequestFingerprint,
        organisation: OrganisationTag,
        servers: CrashedServers,
    ) {
        let now = self.clock.now();
        let mut table = self.table.borrow_mut();
        let change = table.suspect_part(part, organisation, servers, now);
        drop(table);
        if let Some(change) = change {
            if change.before != change.mark {
                self.record_change(change, &"crash under a part of prompts");
            }
            self.schedule_publication(change, CRASH_BATCH_DELAY);
        }
    }

    /// The last servers whose crashes count against a request or part.
    pub(crate) fn servers(&self, fingerprint: RequestFingerprint) -> CrashedServers {
        self.table.borrow().servers(fingerprint)
    }

    /// Marks a part of prompts that is to blame for crashes.
    pub(crate) fn convict_part(&self, part: RequestFingerprint, organisation: OrganisationTag) {
        let now = self.clock.now();
        let change = self.table.borrow_mut().convict(part, organisation, now);
        if let Some(change) = change {
            self.record_change(change, &"crashes under a part of prompts");
            self.schedule_publication(change, CRASH_BATCH_DELAY);
        }
    }

    /// Clears a part of prompts that was refused while instances did not tell their good
    /// answers.
    pub(crate) fn clear_part(&self, part: RequestFingerprint) {
        let now = self.clock.now();
        let change = self.table.borrow_mut().acquit(part, now);
        self.clear(change, &"good answers with a part of prompts");
    }

    fn clear(&self, change: Option<MarkChange>, cause: &dyn std::fmt::Display) {
        if let Some(change) = change {
            self.record_change(change, cause);
            let refusal_threshold = self.table.borrow().settings().refusal_threshold;
            let urgent = change.before.crashes >= refusal_threshold;
            self.schedule_publication(
                change,
                if urgent {
                    CRASH_BATCH_DELAY
                } else {
                    CLEAR_BATCH_DELAY
                },
            );
        }
    }

    /// Merges a list of suspicions that another instance sent.
    pub fn learn(&self, list: &SuspicionList, from: &dyn std::fmt::Display) {
        self.apply_list(list, false, from);
    }

    /// Merges a row read from [`POISON_TABLE`]; `time` is the store's steady time when
    /// it answered.
    pub fn apply_row(&self, key: &str, version: u64, bytes: &[u8], time: Option<ClockTime>) {
        let now = self.clock.now();
        if let Some(time) = time {
            let mut clock = self.store_clock.get();
            clock.observe(time, now);
            self.store_clock.set(clock);
        }
        let own = key == self.instance.as_str();
        if own {
            self.row_version.set(self.row_version.get().max(version));
        }
        match decode_row::<SuspicionList>(bytes) {
            Ok(list) => self.apply_list(&list, own, &key),
            Err(error) => {
                let draft = EventDraft::new("store.row_unreadable")
                    .field("row", format_args!("{POISON_TABLE}/{key}"))
                    .field("version", version)
                    .field("error", error);
                self.log.emit(draft);
            }
        }
    }

    /// Records that all rows were read once, so that the own row may be written.
    pub fn set_rows_loaded(&self) {
        if !self.rows_loaded.replace(true) {
            self.row_wakeup.notify(usize::MAX);
        }
    }

    /// Whether all rows were read once.
    #[must_use]
    pub fn has_loaded_rows(&self) -> bool {
        self.rows_loaded.get()
    }

    /// Removes expired suspicions.
    pub fn sweep(&self) {
        let now = self.clock.now();
        self.table.borrow_mut().sweep(now);
    }

    /// Lists the suspicions for an operator, one line per request.
    #[must_use]
    pub fn listing(&self) -> String {
        let now = self.clock.now();
        let table = self.table.borrow();
        let lines = table.entries().iter().map(|entry| {
            let verdict = match table.verdict(entry.fingerprint, now) {
                PoisonVerdict::Clear => "clear",
                PoisonVerdict::Suspect => "suspect",
                PoisonVerdict::Undecided(_) => "undecided",
                PoisonVerdict::Refused(_) => "refused",
            };
            let age = now.since(entry.refreshed_at).as_millis();
            let (fingerprint, mark) = (entry.fingerprint, entry.mark);
            format!(
                "{fingerprint} {verdict} crashes={} age_ms={age}\n",
                mark.crashes
            )
        });
        lines.collect()
    }

    fn verdict(&self, fingerprint: RequestFingerprint) -> PoisonVerdict {
        self.table.borrow().verdict(fingerprint, self.clock.now())
    }

    fn apply_list(&self, list: &SuspicionList, own: bool, from: &dyn std::fmt::Display) {
        let now = self.clock.now();
        let mut merged = 0;
        for suspicion in list.aged(self.store_clock.get().now(now)) {
            let change = self.table.borrow_mut().learn(suspicion, own, now);
            let Some(change) = change else {
                continue;
            };
            if change.mark != suspicion.mark {
                self.clear(Some(change), &"answer");
            } else if has_own_event(change) {
                self.record_change(change, &format_args!("told by {from}"));
            } else {
                merged += 1;
            }
        }
        if merged > 0 {
            let draft = EventDraft::new("poison.learned")
                .field("from", from)
                .field("requests", merged);
            self.log.emit(draft);
        }
    }

    fn record_change(&self, change: MarkChange, cause: &dyn std::fmt::Display) {
        let refusal_threshold = self.table.borrow().settings().refusal_threshold;
        let kind = match change.mark.crashes {
            0 => "poison.cleared",
            crashes if crashes < refusal_threshold => "poison.suspected",
            _ => "poison.refused",
        };
        metrics::counter!("guavawell_forward_poison_changes_total", "kind" => kind).increment(1);
        let draft = EventDraft::new(kind)
            .field("fingerprint", change.fingerprint)
            .field("before", change.before)
            .field("mark", change.mark)
            .field("cause", cause);
        self.log.emit(draft);
    }

    /// Schedules a change to be written to the own row after `delay`, and sent to
    /// other instances.
    fn schedule_publication(&self, change: MarkChange, delay: ClockSpan) {
        let at = self.clock.now() + delay;
        let due = self.write_due_at.get().map_or(at, |due| due.min(at));
        self.write_due_at.set(Some(due));
        self.row_wakeup.notify(usize::MAX);
        let mut unsent_changes = self.unsent_changes.borrow_mut();
        if !unsent_changes.contains(&change.fingerprint) {
            unsent_changes.push(change.fingerprint);
        }
        self.broadcast_wakeup.notify(usize::MAX);
    }

    /// Waits for changes to send directly to other instances, and returns at most as
    /// many as a row may hold.
    pub async fn next_broadcast(&self) -> Vec<SharedSuspicion> {
        loop {
            let wakeup = self.broadcast_wakeup.listen();
            if !self.unsent_changes.borrow().is_empty() {
                break;
            }
            wakeup.await;
        }
        Timer::after(timer_span(CRASH_BATCH_DELAY)).await;
        let now = self.clock.now();
        let table = self.table.borrow();
        let mut unsent_changes = self.unsent_changes.borrow_mut();
        // A message holds no more than a row does; the rest is in the next one.
        let batch_size = unsent_changes.len().min(table.settings().max_published);
        let remaining = unsent_changes.split_off(batch_size);
        let batch = std::mem::replace(&mut *unsent_changes, remaining);
        batch
            .into_iter()
            .filter_map(|fingerprint| table.shared(fingerprint, now))
            .collect()
    }
}

/// Whether a change that another instance reported gets an event of its own. A first
/// crash marks every request at a server and an answer clears nearly all of them, so
/// these changes share one event for each list.
const fn has_own_event(change: MarkChange) -> bool {
    change.mark.crashes > 1 || change.before.crashes > 1
}
