//! Admission to one target: a concurrency limit, a bounded fair queue and
//! deadlines.

use super::demand::DemandRate;
use super::fair::FairQueue;
use super::hold::HoldTime;
use super::share::RunningShares;
use super::ticket::AdmissionAnswer;
use super::ticket::AdmissionEffect;
use super::ticket::AdmissionRefusal;
use super::ticket::AdmissionRequest;
use super::ticket::AdmissionTicket;
use super::ticket::RefusalCause;
use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::id::OrganisationId;

/// One slot in this many is kept for organisations within their share.
const RESERVE_DIVISOR: u32 = 6;
/// All of that is kept once the demand passes the slots by one part in this
/// many; nothing while the slots are enough for all.
const EXCESS_DIVISOR: u64 = 2;

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
    open_limit: u32,
    slots: Option<u32>,
    shares: RunningShares,
    queue: FairQueue,
    hold: HoldTime,
    demand: DemandRate,
    /// No waiting request is late before this; `None` if none has a deadline.
    next_expiry: Option<ClockTime>,
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
            open_limit: settings.limit,
            slots: None,
            settings,
            shares: RunningShares::default(),
            queue: FairQueue::default(),
            hold: HoldTime::default(),
            demand: DemandRate::default(),
            next_expiry: None,
        }
    }

    /// A request asks to run. `effects` receives what becomes of others.
    pub fn submit(
        &mut self,
        request: AdmissionRequest,
        now: ClockTime,
        effects: &mut Vec<AdmissionEffect>,
    ) -> AdmissionAnswer {
        self.tick(now, effects);
        self.demand.record_arrival();
        self.shares
            .mark_active(&request.organisation, request.weight, now);
        let runs_now = self
            .shares
            .may_run(&request.organisation, self.open_limit, self.limit);
        let wait = if runs_now {
            ClockSpan::default()
        } else {
            self.expected_wait(&request, now)
        };
        if let Some(overrun) = deadline_overrun(&request, wait, now) {
            return AdmissionAnswer::Refused(AdmissionRefusal {
                cause: RefusalCause::Deadline,
                retry_after: overrun,
            });
        }
        if runs_now {
            self.begin(&request.organisation, now);
            return AdmissionAnswer::Run;
        }
        if wait > self.settings.max_wait {
            return AdmissionAnswer::Refused(AdmissionRefusal {
                cause: RefusalCause::WaitTooLong,
                retry_after: wait,
            });
        }
        if self.queue.len() >= self.queue_capacity() && !self.displace(&request, now, effects) {
            return AdmissionAnswer::Refused(queue_full(wait));
        }
        if let Some(latest) = request.latest_start() {
            let next = self.next_expiry.map_or(latest, |next| next.min(latest));
            self.next_expiry = Some(next);
        }
        self.queue.push(request);
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
        if self.next_expiry.is_none_or(|expiry| expiry >= now) {
            return;
        }
        for request in self.queue.take_expired(now) {
            let wait = self.expected_wait(&request, now);
            let refusal = AdmissionRefusal {
                cause: RefusalCause::Deadline,
                retry_after: at_least_one_ms(wait),
            };
            effects.push(AdmissionEffect::Refuse(request.ticket, refusal));
        }
        self.next_expiry = self.queue.earliest_expiry();
    }

    /// When a waiting request will have to be given up, if none runs before.
    #[must_use]
    pub fn next_wake(&self) -> Option<ClockTime> {
        self.next_expiry
            .map(|expiry| expiry + ClockSpan::from_millis(1))
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
        self.shares.update(now);
        self.demand.update(now);
        let open_limit = |slots| limit.min(slots - self.reserved_slots(slots, now));
        self.open_limit = self.slots.map_or(limit, open_limit);
        self.dispatch(now, effects);
    }

    /// Expected wait of a request before it runs.
    #[must_use]
    pub fn expected_wait(&self, request: &AdmissionRequest, now: ClockTime) -> ClockSpan {
        let running = self.shares.running();
        // Where the limit fell, the first ends let nobody in.
        let above_limit = u64::from(running.saturating_sub(self.limit));
        let position = self.queue.ahead_of(request) + 1 + above_limit;
        let hold = self.hold_time(now);
        let parallel = u64::from(running.max(1));
        ClockSpan::from_millis(position.saturating_mul(hold.as_millis()) / parallel)
    }

    /// Whether an organisation runs no more than its weighted share of the
    /// limit among the organisations that were active lately.
    #[must_use]
    pub fn is_within_share(&self, organisation: &OrganisationId) -> bool {
        self.shares.is_within(organisation, 0, self.open_limit)
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
            let (shares, open_limit, limit) = (&self.shares, self.open_limit, self.limit);
            let may_run =
                |organisation: &OrganisationId| shares.may_run(organisation, open_limit, limit);
            let Some(request) = self.queue.pop(may_run) else {
                return;
            };
            self.begin(&request.organisation, now);
            effects.push(AdmissionEffect::Run(request.ticket));
        }
    }

    /// Slots kept for organisations within their share. While the slots are
    /// enough for the demand nobody has to be refused for their sake; the more
    /// it passes them, the less those kept matter to who asks for most.
    fn reserved_slots(&self, slots: u32, now: ClockTime) -> u32 {
        let max_reserved = self.shares.unused(slots).min(slots / RESERVE_DIVISOR);
        let hold = self.hold_time(now);
        let excess_demand = self
            .demand
            .slots_needed(hold)
            .saturating_sub(u64::from(slots));
        let all_slots = u64::from(slots).max(1);
        let reserved =
            u64::from(max_reserved) * (excess_demand * EXCESS_DIVISOR).min(all_slots) / all_slots;
        u32::try_from(reserved).unwrap_or(max_reserved)
    }

    fn hold_time(&self, now: ClockTime) -> ClockSpan {
        let running = self.shares.running();
        self.hold.mean(running, self.settings.hold_guess, now)
    }

    fn begin(&mut self, organisation: &OrganisationId, now: ClockTime) {
        self.hold.began(self.shares.running(), now);
        self.shares.begin(organisation);
    }

    fn queue_capacity(&self) -> usize {
        let limit = usize::try_from(self.limit).unwrap_or(usize::MAX);
        self.settings.queue.max(limit)
    }

    fn displace(
        &mut self,
        request: &AdmissionRequest,
        now: ClockTime,
        effects: &mut Vec<AdmissionEffect>,
    ) -> bool {
        let Some(displaced) = self.queue.displace(request) else {
            return false;
        };
        let wait = self.expected_wait(&displaced, now);
        effects.push(AdmissionEffect::Refuse(displaced.ticket, queue_full(wait)));
        true
    }
}

/// By how much a request would miss its deadline, if it would.
fn deadline_overrun(
    request: &AdmissionRequest,
    wait: ClockSpan,
    now: ClockTime,
) -> Option<ClockSpan> {
    let deadline = request.deadline?;
    let expected = now + wait + request.first_token;
    (expected > deadline).then(|| expected.since(deadline))
}

fn queue_full(wait: ClockSpan) -> AdmissionRefusal {
    AdmissionRefusal {
        cause: RefusalCause::QueueFull,
        retry_after: at_least_one_ms(wait),
    }
}

fn at_least_one_ms(wait: ClockSpan) -> ClockSpan {
    wait.max(ClockSpan::from_millis(1))
}
