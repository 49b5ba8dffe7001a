//! Detects whether a server that broke off a response has crashed.
//!
//! On a single connection, a crash looks like a reset connection or a lost
//! response. A new connection tells them apart: it is refused if the server's
//! process has ended and accepted otherwise. A link that is cut can refuse it too,
//! so another instance is asked as well. If it is neither refused nor accepted, the
//! server may be unreachable, and no crash is assumed.
//!
//! A process that ends closes its connections one by one and may close its
//! listener last. An accepted connection is therefore checked again after a
//! short delay: if it is still open, the server is alive.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerPhase;
use guavawell_core::poison::OrganisationTag;
use guavawell_core::poison::RequestFingerprint;
use guavawell_core::poison::SuspicionMark;
use smol::Timer;

use crate::clock::timer_span;
use crate::clock::wait_until;
use crate::connect::ServerPlace;
use crate::connect::confirm_refusal;
use crate::http::HttpChannel;
use crate::poison::parts::note_part_crash;
use crate::router::ForwardRouter;

/// Timeout of the connection that checks for a crash. A refusal takes one round
/// trip, and a request that may be retried waits for it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time for which other instances are asked whether the server refuses them
/// as well.
const CONFIRM_LIMIT: ClockSpan = ClockSpan::from_millis(100);
/// Delay after which an accepted connection is checked again. A process with
/// many connections closes all of them in less time.
const RECHECK_DELAY: Duration = Duration::from_millis(50);
/// Longest wait for the result of a check that another request has started.
const SHARED_CHECK_TIMEOUT: ClockSpan = ClockSpan::from_millis(150);
/// How long the result "no crash" applies to other requests that break off.
const NO_CRASH_TTL: ClockSpan = ClockSpan::from_millis(20);
/// Longest time between giving up an attempt and a crash that is attributed to
/// it. Requests queue at a busy server for about as long as they run, so a
/// server may start a request after the attempt was given up.
const ABANDONED_TTL: ClockSpan = ClockSpan::from_millis(2_000);
/// Number of abandoned attempts that are kept: about as many as a busy instance
/// abandons in one second.
const MAX_ABANDONED: usize = 256;
/// How long checks are kept.
const CHECK_TTL: ClockSpan = ClockSpan::from_millis(5_000);

/// One check of a server.
#[derive(Debug)]
struct CrashCheck {
    server: ServerIncarnation,
    began: ClockTime,
    /// Whether the server has crashed; `None` until the check is finished.
    crashed: Cell<Option<bool>>,
    finished: Event,
}

/// An attempt that was given up before the server responded, because it took
/// too long or the caller disconnected. The server may still run the request.
#[derive(Clone, Debug)]
pub struct AbandonedAttempt {
    /// The server to which the request was sent.
    pub server: ServerIncarnation,
    /// The request's fingerprint.
    pub fingerprint: RequestFingerprint,
    /// The organisation that sent the request.
    pub organisation: OrganisationTag,
    /// The suspicion mark of the request when it was sent.
    pub suspicion: SuspicionMark,
    /// The shared parts of its prompt, if a crash of the server is evidence against them:
    /// none if the answer went on well, or if it is not known how far it came.
    pub parts: Rc<[RequestFingerprint]>,
}

/// A connection that a server accepted right after it had broken off a response. The
/// platform may remove the server's entry before it is checked again.
#[derive(Debug)]
struct AcceptedConnection {
    place: ServerPlace,
    channel: HttpChannel,
}

/// Checks whether servers have crashed. All requests that one crash breaks off
/// share one check.
#[derive(Debug, Default)]
pub struct CrashChecks {
    checks: RefCell<Vec<Rc<CrashCheck>>>,
    /// The latest abandoned attempts, oldest first.
    abandoned: RefCell<VecDeque<(ClockTime, AbandonedAttempt)>>,
    /// Connections that are still to be checked again.
    accepted: RefCell<Vec<AcceptedConnection>>,
    accepted_event: Event,
}

impl CrashChecks {
    /// Returns a check of the server whose result still applies, or that is
    /// still running.
    fn find_check(&self, server: &ServerIncarnation, now: ClockTime) -> Option<Rc<CrashCheck>> {
        let mut checks = self.checks.borrow_mut();
        checks.retain(|check| now.since(check.began) < CHECK_TTL);
        let is_current = |check: &&Rc<CrashCheck>| {
            let age = now.since(check.began);
            let is_fresh = match check.crashed.get() {
                Some(true) => true,
                Some(false) => age < NO_CRASH_TTL,
                // An older check without a result was cancelled with the
                // request that ran it.
                None => age < SHARED_CHECK_TIMEOUT,
            };
            check.server == *server && is_fresh
        };
        checks.iter().rev().find(is_current).cloned()
    }

    fn start_check(&self, server: &ServerIncarnation, now: ClockTime) -> Rc<CrashCheck> {
        let check = Rc::new(CrashCheck {
            server: server.clone(),
            began: now,
            crashed: Cell::new(None),
            finished: Event::new(),
        });
        self.checks.borrow_mut().push(Rc::clone(&check));
        check
    }

    /// Keeps an attempt, in case its server crashes or is later found to have
    /// crashed.
    fn remember_abandoned(&self, now: ClockTime, attempt: AbandonedAttempt) {
        let mut abandoned = self.abandoned.borrow_mut();
        if abandoned.len() >= MAX_ABANDONED {
            abandoned.pop_front();
        }
        abandoned.push_back((now, attempt));
    }

    /// Removes and returns the attempts that were abandoned at a server within
    /// [`ABANDONED_TTL`].
    fn take_abandoned(&self, server: &ServerIncarnation, now: ClockTime) -> Vec<AbandonedAttempt> {
        let mut abandoned = self.abandoned.borrow_mut();
        abandoned.retain(|(at, _)| now.since(*at) < ABANDONED_TTL);
        let (matching, others): (VecDeque<_>, VecDeque<_>) = abandoned
            .drain(..)
            .partition(|(_, attempt)| attempt.server == *server);
        *abandoned = others;
        matching.into_iter().map(|(_, attempt)| attempt).collect()
    }
}

/// Records an attempt as abandoned when it is dropped, unless
/// [`settle`](Self::settle) was called. It is dropped unsettled if the caller
/// disconnects.
#[derive(Debug)]
pub struct AttemptWatch {
    router: Rc<ForwardRouter>,
    attempt: Option<AbandonedAttempt>,
}

impl AttemptWatch {
    /// Starts to watch an attempt that is about to be sent.
    #[must_use]
    pub fn new(router: &Rc<ForwardRouter>, attempt: AbandonedAttempt) -> Self {
        Self {
            router: Rc::clone(router),
            attempt: Some(attempt),
        }
    }

    /// Marks the outcome of the attempt as known, so that it is not recorded as
    /// abandoned.
    pub fn settle(&mut self) {
        self.attempt = None;
    }
}

impl Drop for AttemptWatch {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            let now = self.router.clock.now();
            self.router.crashes.remember_abandoned(now, attempt);
        }
    }
}

/// Handles an attempt whose server broke off the response. The crash is
/// reported at once if the server has crashed. Otherwise the attempt is kept,
/// in case a crash is detected later.
pub async fn note_lost_attempt(router: &ForwardRouter, attempt: AbandonedAttempt) {
    if has_crashed(router, &attempt.server).await {
        note_attempt_crash(router, &attempt);
    } else {
        router
            .crashes
            .remember_abandoned(router.clock.now(), attempt);
    }
}

/// Records that a server crashed while it ran an attempt.
fn note_attempt_crash(router: &ForwardRouter, attempt: &AbandonedAttempt) {
    router.poison.crashed(attempt);
    note_part_crash(router, attempt);
}

/// Whether a server that just broke off a response has crashed. A leaving
/// server is never treated as crashed.
async fn has_crashed(router: &ForwardRouter, server: &ServerIncarnation) -> bool {
    let listed = router.servers.borrow().get(server).map(|entry| entry.phase);
    if listed == Some(ServerPhase::Leaving) {
        return false;
    }
    let now = router.clock.now();
    if let Some(check) = router.crashes.find_check(server, now) {
        return wait_for_result(&check).await;
    }
    let check = router.crashes.start_check(server, now);
    let crashed = probe_server(router, server).await;
    check.crashed.set(Some(crashed));
    check.finished.notify(usize::MAX);
    crashed
}

/// Waits for the result of a check that another request runs. Returns false if
/// that check was cancelled.
async fn wait_for_result(check: &CrashCheck) -> bool {
    let finished = check.finished.listen();
    if let Some(crashed) = check.crashed.get() {
        return crashed;
    }
    wait_until(finished, timer_span(SHARED_CHECK_TIMEOUT)).await;
    check.crashed.get().unwrap_or(false)
}

async fn probe_server(router: &ForwardRouter, server: &ServerIncarnation) -> bool {
    let Some(place) = ServerPlace::of(router, server) else {
        return false;
    };
    if router.is_path_lost(&place.service) {
        return has_refused(router, &place).await;
    }
    metrics::counter!("guavawell_forward_connections_total").increment(1);
    match HttpChannel::connect(place.address, CONNECT_TIMEOUT).await {
        Ok(channel) => {
            let accepted = AcceptedConnection { place, channel };
            router.crashes.accepted.borrow_mut().push(accepted);
            router.crashes.accepted_event.notify(usize::MAX);
            false
        }
        Err(error) if error.is_connection_refused() => has_refused(router, &place).await,
        Err(error) => {
            log::debug!("cannot determine whether {server} has crashed: {error}");
            false
        }
    }
}

/// Whether a server that refused a connection after it had broken off a response has
/// crashed; its refusal may also be that of a link that is cut. Its entry may have been
/// removed meanwhile: only a server that announces its shutdown leaves.
async fn has_refused(router: &ForwardRouter, place: &ServerPlace) -> bool {
    let is_refused = confirm_refusal(router, place, CONFIRM_LIMIT).await;
    if is_refused {
        let leaves = router.servers.borrow().announced_leaving(&place.server);
        note_end(router, &place.server, leaves);
    }
    is_refused
}

/// Checks accepted connections again, until the process ends. A server that has
/// closed such a connection and refuses the next one has crashed.
pub async fn recheck_connections(router: Rc<ForwardRouter>) {
    loop {
        let accepted_event = router.crashes.accepted_event.listen();
        if router.crashes.accepted.borrow().is_empty() {
            accepted_event.await;
        }
        Timer::after(RECHECK_DELAY).await;
        for accepted in router.crashes.accepted.take() {
            recheck_connection(&router, accepted).await;
        }
    }
}

async fn recheck_connection(router: &ForwardRouter, accepted: AcceptedConnection) {
    let AcceptedConnection { place, channel } = accepted;
    if channel.is_quiet() {
        router.keep_idle(&place.server, channel);
        return;
    }
    let again = HttpChannel::connect(place.address, CONNECT_TIMEOUT).await;
    match again {
        Err(error) if error.is_connection_refused() => {
            has_refused(router, &place).await;
        }
        Err(error) => log::debug!(
            "cannot determine whether {} has crashed: {error}",
            place.server
        ),
        Ok(_) => {}
    }
}

/// Handles a refused connection: other servers are preferred for a while.
/// Unless the server was leaving, the refusal counts as a crash, and requests
/// abandoned at the server shortly before are suspected.
///
/// A server whose entry was removed counts as leaving here: operators may remove it
/// before they end it. One that broke off a response before (`has_refused`) leaves only
/// if it announced that, as its entry may have been removed because it crashed.
pub fn note_refused(router: &ForwardRouter, server: &ServerIncarnation) {
    let phase = router.servers.borrow().get(server).map(|entry| entry.phase);
    note_end(router, server, phase == Some(ServerPhase::Leaving));
}

/// Handles the end of a server: it has crashed unless it was leaving.
fn note_end(router: &ForwardRouter, server: &ServerIncarnation, leaves: bool) {
    let now = router.clock.now();
    let mut servers = router.servers.borrow_mut();
    if let Some(entry) = servers.get_mut(server) {
        entry.record_connect_failure(now);
        entry.warmth.note_refused(router.server_revision.get());
    }
    drop(servers);
    router.pool.borrow_mut().drop_connections(server);
    if leaves {
        return;
    }
    for attempt in router.crashes.take_abandoned(server, now) {
        note_attempt_crash(router, &attempt);
    }
}
