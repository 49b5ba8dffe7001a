//! Admission control for one target: a concurrency limit, a bounded fair queue
//! and deadlines.

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

/// At most one slot in this many is reserved for organisations within their share.
const RESERVE_DIVISOR: u32 = 6;
/// The full reserve applies once the demand exceeds the slots by one slot in this
/// many. Nothing is reserved while the slots suffice for the demand.
const EXCESS_DIVISOR: u64 = 2;

/// Limits on running and waiting requests of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Most running requests, until [`Admission::set_limit`] changes it.
    pub limit: u32,
    /// Most waiting requests, or the number that may run if that is greater.
    /// The time that they wait is bounded by `max_wait`.
    pub queue: usize,
    /// Longest expected wait with which a request is queued.
    pub max_wait: ClockSpan,
    /// Assumed running time of a request until one has been measured.
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

/// Admission control for one target of one router.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    limit: u32,
    /// The limit for organisations above their share: `limit` less the reserve.
    open_limit: u32,
    /// Slots of the target's servers that this router may use, if known.
    slots: Option<u32>,
    shares: RunningShares,
    queue: FairQueue,
    hold: HoldTime,
    demand: DemandRate,
    /// The earliest time at which a waiting request can still start and meet its
    /// deadline, or an earlier time; `None` if none has a deadline.
    next_expiry: Option<ClockTime>,
}

/// Gauges of the admission to one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionView {
    /// Most running requests.
    pub limit: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: usize,
    /// Number of organisations with waiting requests.
    pub organisations: usize,
}

impl Admission {
    /// Admission control without running or waiting requests.
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

    /// Submits a request. Outcomes of other, waiting requests are appended to
    /// `effects`.
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

    /// Records that a running request of `organisation` has ended.
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

    /// Removes a waiting request whose client disconnected; false if it is not
    /// waiting.
    pub fn cancel(&mut self, ticket: AdmissionTicket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Refuses the waiting requests that can no longer meet their deadlines. Call
    /// this at [`next_wake`](Self::next_wake) at the latest.
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

    /// When [`tick`](Self::tick) must be called, if any waiting request has a
    /// deadline.
    #[must_use]
    pub fn next_wake(&self) -> Option<ClockTime> {
        self.next_expiry
            .map(|expiry| expiry + ClockSpan::from_millis(1))
    }

    /// Sets how many slots of the target's servers this router may use, which
    /// may be less than its limit. Takes effect with the next
    /// [`set_limit`](Self::set_limit).
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = Some(slots);
    }

    /// Sets the most running requests, and updates the averages and the reserve.
    pub fn set_limit(&mut self, limit: u32, now: ClockTime, effects: &mut Vec<AdmissionEffect>) {
        self.limit = limit;
        self.shares.update(now);
        self.demand.update(now);
        let open_limit = |slots| limit.min(slots - self.reserved_slots(slots, now));
        self.open_limit = self.slots.map_or(limit, open_limit);
        self.dispatch(now, effects);
    }

    /// Expected wait of a request before it can run.
    #[must_use]
    pub fn expected_wait(&self, request: &AdmissionRequest, now: ClockTime) -> ClockSpan {
        let running = self.shares.running();
        // After a lowered limit, this many requests must end before one starts.
        let above_limit = u64::from(running.saturating_sub(self.limit));
        let position = self.queue.ahead_of(request) + 1 + above_limit;
        let hold = self.hold_time(now);
        let parallel = u64::from(running.max(1));
        ClockSpan::from_millis(position.saturating_mul(hold.as_millis()) / parallel)
    }

    /// Whether an organisation runs no more than its weighted share of the
    /// limit among the recently active organisations.
    #[must_use]
    pub fn is_within_share(&self, organisation: &OrganisationId) -> bool {
        self.shares.is_within(organisation, 0, self.open_limit)
    }

    /// The current gauges.
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

    /// Slots reserved for organisations within their share. While the slots
    /// suffice for the demand, none are reserved, so that no request is refused
    /// because of a reserve. The reserve grows with the excess demand, as it then
    /// matters less to the organisations with the most requests.
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

/// By how much a request would miss its deadline, or `None` if it would not.
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
