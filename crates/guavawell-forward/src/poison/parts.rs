//! Finds the parts of prompts that crash servers.
//!
//! Two instances, ranked by the part, judge it: all others report crashes to them. When
//! enough servers have crashed under a part, its judge asks all instances for their good
//! answers with it ([`judge`](super::judge)). A part that is to blame is marked like a
//! request that is refused, and told to all in the same way.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use guavawell_core::clock::ClockSpan;
use guavawell_core::grant::spread_over_zones;
use guavawell_core::poison::OrganisationTag;
use guavawell_core::poison::PartSettings;
use guavawell_core::poison::PartTable;
use guavawell_core::poison::PartTrials;
use guavawell_core::poison::RequestFingerprint;
use guavawell_core::poison::ServerTag;
use serde::Deserialize;
use serde::Serialize;
use smol::LocalExecutor;

use super::judge::DuePart;
use super::trial::note_crashed_trial;
use super::trial::note_good_trials;
use crate::clock::SteadyClock;
use crate::crash::AbandonedAttempt;
use crate::peer::AddressBatches;
use crate::peer::PeerRequest;
use crate::router::ForwardRouter;

/// Instances that judge a part.
const JUDGE_COUNT: usize = 2;
/// Most reports in one message, and most parts that are judged together.
pub(super) const MAX_BATCH: usize = 256;
/// Most reports that wait to be sent. The oldest ones are dropped.
const MAX_WAITING: usize = 2_048;
/// Counts reports that did not arrive.
const UNTOLD: &str = "guavawell_forward_part_crashes_untold_total";
/// Time after which a process has had good answers, if there are any.
const MIN_RUN_TIME: ClockSpan = ClockSpan::from_millis(3_000);
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// A server that crashed while it began to answer a request with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// The part.
    pub part: RequestFingerprint,
    /// The organisation that sent the request.
    pub organisation: OrganisationTag,
    /// The server.
    pub server: ServerTag,
}

/// What this instance knows about parts of prompts.
#[derive(Debug)]
pub struct PartTracker {
    /// The crashes that this instance saw, those that others reported as it judges their
    /// parts, and its own good answers.
    pub(super) table: RefCell<PartTable>,
    /// The trials of refused parts that are judged here.
    pub(super) trials: RefCell<PartTrials>,
    /// Crashes that were not reported yet.
    unreported: RefCell<Vec<PartCrash>>,
    /// Notified when `unreported` grows.
    crash_added: Event,
    /// Parts that are to be judged here.
    pub(super) due: RefCell<Vec<DuePart>>,
    /// Notified when `due` grows.
    pub(super) due_added: Event,
}

impl Default for PartTracker {
    fn default() -> Self {
        Self {
            table: RefCell::new(PartTable::new(PartSettings::default())),
            trials: RefCell::default(),
            unreported: RefCell::default(),
            crash_added: Event::new(),
            due: RefCell::default(),
            due_added: Event::new(),
        }
    }
}

impl PartTracker {
    /// Adds a part that is to be judged.
    pub(super) fn judge_later(&self, due: DuePart) {
        self.due.borrow_mut().push(due);
        self.due_added.notify(usize::MAX);
    }
}

/// Records that a server crashed during an attempt whose answer had not begun well.
pub(crate) fn note_part_crash(router: &ForwardRouter, attempt: &AbandonedAttempt) {
    let crashes: Vec<PartCrash> = attempt
        .parts
        .iter()
        .map(|part| PartCrash {
            part: *part,
            organisation: attempt.organisation,
            server: ServerTag::of(&attempt.server),
        })
        .collect();
    for crash in &crashes {
        record_crash(router, *crash);
    }
    router.parts.unreported.borrow_mut().extend(crashes);
    router.parts.crash_added.notify(usize::MAX);
}

/// Adds a crash to those that are known. If the part is suspected, they are published,
/// as judges may end before they know enough crashes. Returns whether the crash is new
/// and the part may be to blame.
fn record_crash(router: &ForwardRouter, crash: PartCrash) -> bool {
    let now = router.clock.now();
    let PartCrash {
        part, organisation, ..
    } = crash;
    let mut table = router.parts.table.borrow_mut();
    let before = table.crash_count(part, now);
    // The mark may have arrived before the report, so it may hold this server as well.
    let known = router.poison.servers(part);
    for server in known.iter().chain([crash.server]) {
        table.crashed(part, organisation, server, now);
    }
    let is_new = table.crash_count(part, now) > before;
    let may_be_to_blame = is_new && table.may_be_to_blame(part, now);
    let is_suspected = table.is_suspected(part, now);
    let servers = table.last_servers(part);
    drop(table);
    if is_suspected {
        router.poison.suspect_part(part, organisation, servers);
    }
    if is_new {
        note_crashed_trial(router, &crash);
    }
    may_be_to_blame
}

/// Whether a failed attempt of a request with these parts may be retried.
pub(crate) fn may_retry_parts(router: &ForwardRouter, parts: &[RequestFingerprint]) -> bool {
    let now = router.clock.now();
    router.parts.table.borrow().may_retry(parts, now)
}

/// Records an answer to a request with these parts that goes on well.
pub(crate) fn note_good_parts(router: &ForwardRouter, parts: &[RequestFingerprint]) {
    let now = router.clock.now();
    router.parts.table.borrow_mut().answered_well(parts, now);
    note_good_trials(router, parts);
}

/// Whether this process has run for long enough to know good answers. What the process
/// before it knew is lost.
pub(super) fn knows_good_answers(router: &ForwardRouter) -> bool {
    router.clock.now().since(SteadyClock::ORIGIN) >= MIN_RUN_TIME
}

/// What another instance is told: nothing that counts while too little is known.
pub(crate) fn told_good_counts(router: &ForwardRouter, parts: &[RequestFingerprint]) -> Vec<usize> {
    if knows_good_answers(router) {
        good_counts(router, parts)
    } else {
        Vec::new()
    }
}

/// Numbers of recent good answers of this instance with each of these parts.
pub(super) fn good_counts(router: &ForwardRouter, parts: &[RequestFingerprint]) -> Vec<usize> {
    let now = router.clock.now();
    let table = router.parts.table.borrow();
    parts
        .iter()
        .map(|part| table.good_count(*part, now))
        .collect()
}

/// Records crashes, which another instance reported, under parts that are judged here.
pub(crate) fn learn_crashes(router: &ForwardRouter, crashes: &[PartCrash]) {
    let may_be_to_blame = |crash: &&PartCrash| record_crash(router, **crash);
    let due = crashes.iter().filter(may_be_to_blame).copied().collect();
    judge_now(router, due);
}

fn judge_now(router: &ForwardRouter, crashes: Vec<PartCrash>) {
    let now = router.clock.now();
    for crash in crashes {
        router.parts.judge_later(DuePart {
            crash,
            since: now,
            next_at: now,
        });
    }
}

/// Forgets the crashes under a part, after an operator has cleared it.
pub(crate) fn forget_crashes(router: &ForwardRouter, part: RequestFingerprint) {
    router.parts.table.borrow_mut().acquit(part);
    router.parts.trials.borrow_mut().forget(part);
}

/// Reports crashes to the judges of their parts, until the process ends.
pub async fn report_crashes(router: Rc<ForwardRouter>, executor: Rc<LocalExecutor<'static>>) {
    loop {
        let crash_added = router.parts.crash_added.listen();
        if router.parts.unreported.borrow().is_empty() {
            crash_added.await;
        }
        let mut crashes = router.parts.unreported.take();
        let excess = crashes.len().saturating_sub(MAX_WAITING);
        crashes.drain(..excess);
        report(&router, &crashes, &executor);
    }
}

/// Reports crashes to the judges of their parts, this instance included.
fn report(
    router: &Rc<ForwardRouter>,
    crashes: &[PartCrash],
    executor: &Rc<LocalExecutor<'static>>,
) {
    let members = router.peers.members();
    let mut batches = AddressBatches::new(MAX_BATCH);
    let mut own = Vec::new();
    for crash in crashes {
        let order = spread_over_zones(&members, crash.part.short());
        let judges = &order[..order.len().min(JUDGE_COUNT)];
        if judges.contains(&&router.settings.instance) {
            own.push(*crash);
        }
        for address in router.peers.addresses_of(judges.iter().copied()) {
            batches.add(address, *crash);
        }
    }
    let now = router.clock.now();
    let table = router.parts.table.borrow();
    own.retain(|crash| table.may_be_to_blame(crash.part, now));
    drop(table);
    judge_now(router, own);
    for (address, batch) in batches {
        let router = Rc::clone(router);
        let send = async move {
            let request = PeerRequest::PartCrashes(batch);
            let told = router
                .peers
                .tell_within(address, &request, UNTOLD, REPORT_TIMEOUT);
            told.await;
        };
        executor.spawn(send).detach();
    }
}
