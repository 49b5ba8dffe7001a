//! Start-time fair queueing between the organisations that wait.
//!
//! Each organisation has a queue of its own, ordered by priority and age. The
//! head with the smallest start tag goes first; its cost, divided by its
//! organisation's weight, moves that organisation's next tag. Work depends on
//! the number of waiting requests, which is bounded, never on the number of
//! organisations.

use super::ticket::AdmissionAsk;
use super::ticket::AdmissionTicket;
use super::ticket::FairWeight;
use crate::clock::ClockTime;
use crate::id::OrganisationId;

/// Fixed-point scale of tags.
const SCALE: u64 = 1_024;
/// Finish tags remembered of organisations that do not wait.
const MAX_IDLE: usize = 1_024;

/// The waiting requests of one organisation, never empty.
#[derive(Clone, Debug)]
struct OrganisationQueue {
    organisation: OrganisationId,
    weight: FairWeight,
    /// Start tag of the head.
    start: u64,
    /// By priority (high first), then by age.
    waiting: Vec<AdmissionAsk>,
}

/// The last finish tag of an organisation that does not wait.
#[derive(Clone, Debug)]
struct IdleTag {
    organisation: OrganisationId,
    finish: u64,
}

/// All waiting requests of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    /// Sorted by organisation.
    queues: Vec<OrganisationQueue>,
    /// Sorted by organisation.
    idle: Vec<IdleTag>,
    virtual_time: u64,
    len: usize,
}

impl FairQueue {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Organisations that wait.
    pub(super) fn organisations(&self) -> usize {
        self.queues.len()
    }

    pub(super) fn push(&mut self, ask: AdmissionAsk) {
        self.len += 1;
        match self.find(&ask.organisation) {
            Ok(place) => {
                let queue = &mut self.queues[place];
                queue.weight = ask.weight;
                queue.insert(ask);
            }
            Err(place) => {
                let start = self.take_idle(&ask.organisation).max(self.virtual_time);
                let queue = OrganisationQueue {
                    organisation: ask.organisation.clone(),
                    weight: ask.weight,
                    start,
                    waiting: vec![ask],
                };
                self.queues.insert(place, queue);
            }
        }
    }

    /// The request whose turn it is among the organisations that `may_run`.
    pub(super) fn pop(
        &mut self,
        may_run: impl Fn(&OrganisationId) -> bool,
    ) -> Option<AdmissionAsk> {
        let order = |queue: &OrganisationQueue| (queue.start, queue.waiting[0].ticket);
        let place = (0..self.queues.len())
            .filter(|place| may_run(&self.queues[*place].organisation))
            .min_by_key(|place| order(&self.queues[*place]))?;
        let queue = &mut self.queues[place];
        let ask = queue.waiting.remove(0);
        self.virtual_time = self.virtual_time.max(queue.start);
        let charge = ask.cost.max(1).saturating_mul(SCALE) / u64::from(queue.weight.get());
        queue.start = queue.start.saturating_add(charge.max(1));
        self.len -= 1;
        self.retire(place);
        Some(ask)
    }

    /// Removes one request.
    pub(super) fn remove(&mut self, ticket: AdmissionTicket) -> Option<AdmissionAsk> {
        self.take_if(|ask| ask.ticket == ticket).pop()
    }

    /// Removes the requests that can no longer start in time.
    pub(super) fn take_late(&mut self, now: ClockTime) -> Vec<AdmissionAsk> {
        self.take_if(|ask| ask.latest_start().is_some_and(|latest| latest < now))
    }

    /// The earliest last moment to start of all that wait.
    pub(super) fn earliest(&self) -> Option<ClockTime> {
        let all = self.queues.iter().flat_map(|queue| &queue.waiting);
        all.filter_map(AdmissionAsk::latest_start).min()
    }

    /// Makes room for `ask` in a full queue: takes the last request of the
    /// organisation that waits with most for its weight, if that is another
    /// one with more than the asking one would have, or the asking one's own
    /// last if that has a lower priority.
    pub(super) fn displace(&mut self, ask: &AdmissionAsk) -> Option<AdmissionAsk> {
        let (place, longest) = self
            .queues
            .iter()
            .enumerate()
            .max_by_key(|(_, queue)| queue.backlog(0))?;
        let own = self.find(&ask.organisation).ok();
        let own_backlog = own.map_or_else(
            || SCALE / u64::from(ask.weight.get()),
            |own| self.queues[own].backlog(1),
        );
        if own != Some(place) && longest.backlog(0) > own_backlog {
            return self.take_last(place);
        }
        let own = own?;
        let last = self.queues[own].waiting.last()?;
        if last.priority < ask.priority {
            return self.take_last(own);
        }
        None
    }

    /// Requests expected to run before `ask` would: those of its organisation
    /// that go first, and the fair share of the others meanwhile.
    pub(super) fn ahead_of(&self, ask: &AdmissionAsk) -> u64 {
        let own = self.find(&ask.organisation).ok();
        let own_ahead = own.map_or(0, |place| self.queues[place].ahead_of(ask) as u64);
        let weight = u64::from(ask.weight.get());
        let others = self
            .queues
            .iter()
            .enumerate()
            .filter(|(place, _)| Some(*place) != own);
        let share = |queue: &OrganisationQueue| {
            let turns = (own_ahead + 1) * u64::from(queue.weight.get());
            turns.div_ceil(weight).min(queue.waiting.len() as u64)
        };
        own_ahead + others.map(|(_, queue)| share(queue)).sum::<u64>()
    }

    fn find(&self, organisation: &OrganisationId) -> Result<usize, usize> {
        self.queues
            .binary_search_by(|queue| queue.organisation.cmp(organisation))
    }

    fn take_last(&mut self, place: usize) -> Option<AdmissionAsk> {
        let ask = self.queues[place].waiting.pop();
        self.len -= usize::from(ask.is_some());
        self.retire(place);
        ask
    }

    fn take_if(&mut self, wanted: impl Fn(&AdmissionAsk) -> bool) -> Vec<AdmissionAsk> {
        let mut taken = Vec::new();
        for place in (0..self.queues.len()).rev() {
            let waiting = &mut self.queues[place].waiting;
            taken.extend(waiting.extract_if(.., |ask| wanted(ask)));
            self.retire(place);
        }
        self.len -= taken.len();
        taken
    }

    /// Moves an emptied queue's tag to the idle ones.
    fn retire(&mut self, place: usize) {
        if !self.queues[place].waiting.is_empty() {
            return;
        }
        let queue = self.queues.remove(place);
        if self.queues.is_empty() {
            self.idle.clear();
            self.virtual_time = 0;
            return;
        }
        if self.idle.len() >= MAX_IDLE {
            let passed = self.virtual_time;
            self.idle.retain(|tag| tag.finish > passed);
        }
        if queue.start > self.virtual_time && self.idle.len() < MAX_IDLE {
            self.put_idle(queue.organisation, queue.start);
        }
    }

    fn put_idle(&mut self, organisation: OrganisationId, finish: u64) {
        let place = self
            .idle
            .partition_point(|tag| tag.organisation < organisation);
        let tag = IdleTag {
            organisation,
            finish,
        };
        self.idle.insert(place, tag);
    }

    fn take_idle(&mut self, organisation: &OrganisationId) -> u64 {
        let place = self
            .idle
            .binary_search_by(|tag| tag.organisation.cmp(organisation));
        place.map_or(0, |place| self.idle.remove(place).finish)
    }
}

impl OrganisationQueue {
    fn insert(&mut self, ask: AdmissionAsk) {
        let place = self.ahead_of(&ask);
        self.waiting.insert(place, ask);
    }

    fn ahead_of(&self, ask: &AdmissionAsk) -> usize {
        self.waiting
            .partition_point(|other| other.priority >= ask.priority)
    }

    /// Waiting requests, and `more`, for its weight.
    fn backlog(&self, more: u64) -> u64 {
        (self.waiting.len() as u64 + more) * SCALE / u64::from(self.weight.get())
    }
}
