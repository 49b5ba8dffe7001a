//! Whether a server that broke an answer off has crashed.
//!
//! A crash, a connection that was reset and an answer that was lost look alike
//! on one connection. What tells them apart is a new connection: a server whose
//! process has ended refuses it, all others take it. One that is cut off does
//! neither, and nothing is believed of it.
//!
//! A process that ends closes its connections one by one, its listener perhaps
//! last. So a connection that was taken is looked at again after a moment: one
//! that stayed open shows that the server lives.

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
use crate::http::HttpChannel;
use crate::router::ForwardRouter;

/// Longest wait for a connection that tells: a refusal takes one way there and
/// back, and a request that may be repeated waits for it.
const CHECK_LIMIT: Duration = Duration::from_millis(100);
/// Time after which a connection that a server took is looked at again: a
/// process of many connections closes all of them in less.
const SECOND_LOOK: Duration = Duration::from_millis(50);
/// Longest wait for another request's look at the same server.
const WAIT_LIMIT: ClockSpan = ClockSpan::from_millis(150);
/// How long a look that found no crash stands for requests that broke off
/// meanwhile.
const STANDS: ClockSpan = ClockSpan::from_millis(20);
/// How long before a crash an attempt may have been abandoned for the crash to
/// count: requests wait at a busy server for about as long as they run.
const ABANDONED_FOR: ClockSpan = ClockSpan::from_millis(2_000);
/// Abandoned attempts that are remembered: those of a second of a busy instance.
const MAX_ABANDONED: usize = 256;
/// How long looks are remembered.
const REMEMBERED: ClockSpan = ClockSpan::from_millis(5_000);

/// One look at a server.
#[derive(Debug)]
struct CrashCheck {
    server: ServerIncarnation,
    began: ClockTime,
    /// Whether it has crashed, once that is known.
    crashed: Cell<Option<bool>>,
    known: Event,
}

/// An attempt that ended before its server told anything: it took too long, or
/// its caller left. The server may still have run it.
#[derive(Clone, Debug)]
pub struct AbandonedAttempt {
    /// The server.
    pub server: ServerIncarnation,
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Whose it is.
    pub organisation: OrganisationTag,
    /// How far it was suspected when it was sent.
    pub began: SuspicionMark,
}

/// Looks at servers: one serves all requests that a crash breaks off.
#[derive(Debug, Default)]
pub struct CrashChecks {
    checks: RefCell<Vec<Rc<CrashCheck>>>,
    /// The last attempts that were abandoned, oldest first.
    abandoned: RefCell<VecDeque<(ClockTime, AbandonedAttempt)>>,
    /// Connections that servers took, to be looked at again.
    taken: RefCell<Vec<(ServerIncarnation, HttpChannel)>>,
    bell: Event,
}

impl CrashChecks {
    /// A look that still tells of the server now.
    fn find(&self, server: &ServerIncarnation, now: ClockTime) -> Option<Rc<CrashCheck>> {
        let mut checks = self.checks.borrow_mut();
        checks.retain(|check| now.since(check.began) < REMEMBERED);
        let tells = |check: &&Rc<CrashCheck>| {
            let age = now.since(check.began);
            let stands = match check.crashed.get() {
                Some(true) => true,
                Some(false) => age < STANDS,
                // Older ones ended with the request that looked.
                None => age < WAIT_LIMIT,
            };
            check.server == *server && stands
        };
        checks.iter().rev().find(tells).cloned()
    }

    fn begin(&self, server: &ServerIncarnation, now: ClockTime) -> Rc<CrashCheck> {
        let check = Rc::new(CrashCheck {
            server: server.clone(),
            began: now,
            crashed: Cell::new(None),
            known: Event::new(),
        });
        self.checks.borrow_mut().push(Rc::clone(&check));
        check
    }

    /// Remembers an attempt for the case that its server crashes, or turns out
    /// to have crashed.
    fn abandon(&self, now: ClockTime, attempt: AbandonedAttempt) {
        let mut abandoned = self.abandoned.borrow_mut();
        if abandoned.len() >= MAX_ABANDONED {
            abandoned.pop_front();
        }
        abandoned.push_back((now, attempt));
    }

    /// Attempts that were abandoned at a server shortly before it crashed.
    fn take_abandoned(&self, server: &ServerIncarnation, now: ClockTime) -> Vec<AbandonedAttempt> {
        let mut abandoned = self.abandoned.borrow_mut();
        abandoned.retain(|(at, _)| now.since(*at) < ABANDONED_FOR);
        let (there, others): (VecDeque<_>, VecDeque<_>) = abandoned
            .drain(..)
            .partition(|(_, attempt)| attempt.server == *server);
        *abandoned = others;
        there.into_iter().map(|(_, attempt)| attempt).collect()
    }
}

/// Remembers an attempt unless it is told that the server said what became of
/// it. Dropped with a request whose caller left.
#[derive(Debug)]
pub struct AttemptWatch {
    router: Rc<ForwardRouter>,
    attempt: Option<AbandonedAttempt>,
}

impl AttemptWatch {
    /// Watches an attempt that is about to be sent.
    #[must_use]
    pub fn new(router: &Rc<ForwardRouter>, attempt: AbandonedAttempt) -> Self {
        Self {
            router: Rc::clone(router),
            attempt: Some(attempt),
        }
    }

    /// What became of the attempt is known.
    pub fn settle(&mut self) {
        self.attempt = None;
    }
}

impl Drop for AttemptWatch {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            let now = self.router.clock.now();
            self.router.crashes.abandon(now, attempt);
        }
    }
}

/// Takes note of an attempt that its server broke off: it counts at once if the
/// server has crashed, and later if that turns out.
pub async fn note_lost(router: &ForwardRouter, attempt: AbandonedAttempt) {
    if has_crashed(router, &attempt.server).await {
        router.poison.crashed(&attempt);
    } else {
        router.crashes.abandon(router.clock.now(), attempt);
    }
}

/// Whether a server that just broke off has crashed. One that leaves has not.
async fn has_crashed(router: &ForwardRouter, server: &ServerIncarnation) -> bool {
    let listed = router.servers.borrow().get(server).map(|held| held.phase);
    if listed == Some(ServerPhase::Leaving) {
        return false;
    }
    let now = router.clock.now();
    if let Some(check) = router.crashes.find(server, now) {
        return wait_for(&check).await;
    }
    let check = router.crashes.begin(server, now);
    let crashed = look(router, server).await;
    check.crashed.set(Some(crashed));
    check.known.notify(usize::MAX);
    crashed
}

/// Waits for another request's look; if that request ended, nothing is known.
async fn wait_for(check: &CrashCheck) -> bool {
    let known = check.known.listen();
    if let Some(crashed) = check.crashed.get() {
        return crashed;
    }
    wait_until(known, timer_span(WAIT_LIMIT)).await;
    check.crashed.get().unwrap_or(false)
}

async fn look(router: &ForwardRouter, server: &ServerIncarnation) -> bool {
    let Some(address) = router.servers.borrow().get(server).map(|held| held.address) else {
        return false;
    };
    metrics::counter!("guavawell_forward_connections_total").increment(1);
    match HttpChannel::connect(address, CHECK_LIMIT).await {
        Ok(channel) => {
            let taken = (server.clone(), channel);
            router.crashes.taken.borrow_mut().push(taken);
            router.crashes.bell.notify(usize::MAX);
            false
        }
        Err(error) if error.is_refusal() => {
            refused(router, server);
            true
        }
        Err(error) => {
            log::debug!("whether {server} has crashed is not known: {error}");
            false
        }
    }
}

/// Looks again at servers that took a connection, for as long as the process
/// lives. One that closed it and refuses the next has crashed.
pub async fn look_again(router: Rc<ForwardRouter>) {
    loop {
        let bell = router.crashes.bell.listen();
        if router.crashes.taken.borrow().is_empty() {
            bell.await;
        }
        Timer::after(SECOND_LOOK).await;
        for (server, channel) in router.crashes.taken.take() {
            let now = router.clock.now();
            if channel.is_quiet() {
                let idle = router.settings.times.idle;
                router.pool.borrow_mut().put(&server, channel, now, idle);
                continue;
            }
            let address = router
                .servers
                .borrow()
                .get(&server)
                .map(|held| held.address);
            let Some(address) = address else {
                continue;
            };
            let again = HttpChannel::connect(address, CHECK_LIMIT).await;
            if again.is_err_and(|error| error.is_refusal()) {
                refused(&router, &server);
            }
        }
    }
}

/// A server refused a connection: others are asked first for a while, and what
/// was abandoned there lately is held against the requests.
pub fn refused(router: &ForwardRouter, server: &ServerIncarnation) {
    let now = router.clock.now();
    let mut servers = router.servers.borrow_mut();
    let mut leaves = false;
    if let Some(entry) = servers.get_mut(server) {
        entry.record_connect_failure(now);
        leaves = entry.phase == ServerPhase::Leaving;
    }
    drop(servers);
    router.pool.borrow_mut().forget(server);
    let abandoned = router.crashes.take_abandoned(server, now);
    for attempt in abandoned.iter().filter(|_| !leaves) {
        router.poison.crashed(attempt);
    }
}
