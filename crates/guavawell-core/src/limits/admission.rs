//! Admission to one target: a concurrency limit, a bounded fair queue and
//! deadlines.

use super::demand::DemandRate;
use super::fair::FairQueue;
use super::hold::HoldTime;
use super::share::RunningShares;
use super::ticket::AdmissionAnswer;
use super::ticket::AdmissionAsk;
use super::ticket::AdmissionEffect;
use super::ticket::AdmissionTicket;
use super::ticket::RefusalCause;
use super::ticket::WaitRefusal;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::OrganisationId;

/// One slot in this many is kept for organisations within their share.
const LAST_PART: u32 = 6;
/// All of that is kept once the demand passes the slots by one part in this
/// many; nothing while the slots are enough for all.
const EXCESS_PART: u64 = 2;

/// Bounds of admission to one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Requests run at a time until [`Admission::set_limit`] says otherwise.
    pub limit: u32,
    /// Requests that may wait, or as many as may run where that is more: the
    /// bound in time is `max_wait`.
    pub queue: usize,
    /// Longest expected wait with which a request is still queued.
    pub max_wait: ClockSpan,
    /// Time that a request runs, assumed until measured.
    pub hold_guess: ClockSpan,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            limit: 64,
            queue: 64,
            max_wait: ClockSpan::from_millis(3_000),
            hold_guess: ClockSpan::from_millis(2_000),
        }
    }
}

/// Admission to one target of one router.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    limit: u32,
    /// The limit for organisations above their share.
    open: u32,
    slots: Option<u32>,
    shares: RunningShares,
    queue: FairQueue,
    hold: HoldTime,
    demand: DemandRate,
    /// No waiting request is late before this; `None` if none has a deadline.
    next_late: Option<ClockTime>,
}

/// What operators see of admission to one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionView {
    /// Requests that may run at a time.
    pub limit: u32,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: usize,
    /// Organisations waiting.
    pub organisations: usize,
}

impl Admission {
    /// Admission with nothing running.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            limit: settings.limit,
            open: settings.limit,
            slots: None,
            settings,
            shares: RunningShares::default(),
            queue: FairQueue::default(),
            hold: HoldTime::default(),
            demand: DemandRate::default(),
            next_late: None,
        }
    }

    /// A request asks to run. `effects` receives what becomes of others.
    pub fn submit(
        &mut self,
        ask: AdmissionAsk,
        now: ClockTime,
        effects: &mut Vec<AdmissionEffect>,
    ) -> AdmissionAnswer {
        self.tick(now, effects);
        self.demand.note();
        self.shares.note(&ask.organisation, ask.weight, now);
        let idle = self
            .shares
            .may_run(&ask.organisation, self.open, self.limit);
        let wait = if idle {
            ClockSpan::default()
        } else {
            self.expected_wait(&ask, now)
        };
        if let Some(excess) = excess(&ask, wait, now) {
            return AdmissionAnswer::Refused(WaitRefusal {
                cause: RefusalCause::Deadline,
                retry_after: excess,
            });
        }
        if idle {
            self.begin(&ask.organisation, now);
            return AdmissionAnswer::Run;
        }
        if wait > self.settings.max_wait {
            return AdmissionAnswer::Refused(WaitRefusal {
                cause: RefusalCause::LongWait,
                retry_after: wait,
            });
        }
        if self.queue.len() >= self.most_waiting() && !self.displace(&ask, now, effects) {
            return AdmissionAnswer::Refused(queue_full(wait));
        }
        if let Some(latest) = ask.latest_start() {
            let next = self.next_late.map_or(latest, |next| next.min(latest));
            self.next_late = Some(next);
        }
        self.queue.push(ask);
        AdmissionAnswer::Queued
    }

    /// A running request of `organisation` has ended.
    pub fn finish(
        &mut self,
        organisation: &OrganisationId,
        now: ClockTime,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        self.hold.ended(self.shares.running(), now);
        self.shares.finish(organisation, now);
        self.dispatch(now, effects);
    }

    /// A waiting request's caller has gone; false if it does not wait.
    pub fn cancel(&mut self, ticket: AdmissionTicket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Time has passed; call it no later than [`next_wake`](Self::next_wake).
    pub fn tick(&mut self, now: ClockTime, effects: &mut Vec<AdmissionEffect>) {
        if self.next_late.is_none_or(|late| late >= now) {
            return;
        }
        for ask in self.queue.take_late(now) {
            let wait = self.expected_wait(&ask, now);
            let refusal = WaitRefusal {
                cause: RefusalCause::Deadline,
                retry_after: at_least_one(wait),
            };
            effects.push(AdmissionEffect::Refuse(ask.ticket, refusal));
        }
        self.next_late = self.queue.earliest();
    }

    /// When a waiting request will have to be given up, if none runs before.
    #[must_use]
    pub fn next_wake(&self) -> Option<ClockTime> {
        self.next_late.map(|late| late + ClockSpan::from_millis(1))
    }

    /// Tells how many slots of the target's servers this router may take, which
    /// may be less than its limit; takes effect with
    /// [`set_limit`](Self::set_limit).
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = Some(slots);
    }

    /// Changes the number of requests run at a time.
    pub fn set_limit(&mut self, limit: u32, now: ClockTime, effects: &mut Vec<AdmissionEffect>) {
        self.limit = limit;
        self.shares.review(now);
        self.demand.review(now);
        let open = |slots| limit.min(slots - self.kept(slots, now));
        self.open = self.slots.map_or(limit, open);
        self.dispatch(now, effects);
    }

    /// Expected wait of a request before it runs.
    #[must_use]
    pub fn expected_wait(&self, ask: &AdmissionAsk, now: ClockTime) -> ClockSpan {
        let running = self.shares.running();
        // Where the limit fell, the first ends let nobody in.
        let excess = u64::from(running.saturating_sub(self.limit));
        let count = self.queue.ahead_of(ask) + 1 + excess;
        let hold = self.hold_time(now);
        let turns = u64::from(running.max(1));
        ClockSpan::from_millis(count.saturating_mul(hold.as_millis()) / turns)
    }

    /// Whether an organisation runs no more than its weighted share of the
    /// limit among the organisations that were active lately.
    #[must_use]
    pub fn is_within_share(&self, organisation: &OrganisationId) -> bool {
        self.shares.is_within(organisation, 0, self.open)
    }

    /// What operators see.
    #[must_use]
    pub fn view(&self) -> AdmissionView {
        AdmissionView {
            limit: self.limit,
            running: self.shares.running(),
            waiting: self.queue.len(),
            organisations: self.queue.organisations(),
        }
    }

    fn dispatch(&mut self, now: ClockTime, effects: &mut Vec<AdmissionEffect>) {
        self.tick(now, effects);
        while self.shares.running() < self.limit {
            let (shares, open, limit) = (&self.shares, self.open, self.limit);
            let may_run = |organisation: &OrganisationId| shares.may_run(organisation, open, limit);
            let Some(ask) = self.queue.pop(may_run) else {
                return;
            };
            self.begin(&ask.organisation, now);
            effects.push(AdmissionEffect::Run(ask.ticket));
        }
    }

    /// Slots kept for organisations within their share. While the slots are
    /// enough for the demand nobody has to be refused for their sake; the more
    /// it passes them, the less those kept matter to who asks for most.
    fn kept(&self, slots: u32, now: ClockTime) -> u32 {
        let most = self.shares.unused(slots).min(slots / LAST_PART);
        let hold = self.hold_time(now);
        let excess = self.demand.slots(hold).saturating_sub(u64::from(slots));
        let whole = u64::from(slots).max(1);
        let part = u64::from(most) * (excess * EXCESS_PART).min(whole) / whole;
        u32::try_from(part).unwrap_or(most)
    }

    fn hold_time(&self, now: ClockTime) -> ClockSpan {
        let running = self.shares.running();
        self.hold.mean(running, self.settings.hold_guess, now)
    }

    fn begin(&mut self, organisation: &OrganisationId, now: ClockTime) {
        self.hold.began(self.shares.running(), now);
        self.shares.begin(organisation);
    }

    fn most_waiting(&self) -> usize {
        let limit = usize::try_from(self.limit).unwrap_or(usize::MAX);
        self.settings.queue.max(limit)
    }

    fn displace(
        &mut self,
        ask: &AdmissionAsk,
        now: ClockTime,
        effects: &mut Vec<AdmissionEffect>,
    ) -> bool {
        let Some(displaced) = self.queue.displace(ask) else {
            return false;
        };
        let wait = self.expected_wait(&displaced, now);
        effects.push(AdmissionEffect::Refuse(displaced.ticket, queue_full(wait)));
        true
    }
}

/// By how much a request would miss its deadline, if it would.
fn excess(ask: &AdmissionAsk, wait: ClockSpan, now: ClockTime) -> Option<ClockSpan> {
    let deadline = ask.deadline?;
    let expected = now + wait + ask.first_token;
    (expected > deadline).then(|| expected.since(deadline))
}

fn queue_full(wait: ClockSpan) -> WaitRefusal {
    WaitRefusal {
        cause: RefusalCause::QueueFull,
        retry_after: at_least_one(wait),
    }
}

fn at_least_one(wait: ClockSpan) -> ClockSpan {
    wait.max(ClockSpan::from_millis(1))
}
