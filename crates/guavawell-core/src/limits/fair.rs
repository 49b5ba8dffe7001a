//! Start-time fair queueing between organisations.
//!
//! Each organisation has its own queue, ordered by priority and age. The head
//! with the smallest start tag runs first. Its cost, divided by the weight of its
//! organisation, is added to that organisation's next start tag. The work per
//! call depends on the number of waiting requests, which is bounded, and not on
//! the number of organisations.

use super::ticket::AdmissionRequest;
use super::ticket::AdmissionTicket;
use super::ticket::FairWeight;
use crate::clock::ClockTime;
use crate::id::OrganisationId;

/// Fixed-point scale of tags.
const SCALE: u64 = 1_024;
/// Most finish tags remembered for organisations without waiting requests.
const MAX_IDLE_TAGS: usize = 1_024;

/// The waiting requests of one organisation. Never empty.
#[derive(Clone, Debug)]
struct OrganisationQueue {
    organisation: OrganisationId,
    weight: FairWeight,
    /// Start tag of the first request.
    start_tag: u64,
    /// Sorted by priority, highest first, then by age, oldest first.
    waiting: Vec<AdmissionRequest>,
}

/// The last finish tag of an organisation without waiting requests.
#[derive(Clone, Debug)]
struct IdleTag {
    organisation: OrganisationId,
    finish_tag: u64,
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

    /// Number of organisations with waiting requests.
    pub(super) fn organisations(&self) -> usize {
        self.queues.len()
    }

    pub(super) fn push(&mut self, request: AdmissionRequest) {
        self.len += 1;
        match self.find(&request.organisation) {
            Ok(index) => {
                let queue = &mut self.queues[index];
                queue.weight = request.weight;
                queue.insert(request);
            }
            Err(index) => {
                let start_tag = self
                    .remove_idle_tag(&request.organisation)
                    .max(self.virtual_time);
                let queue = OrganisationQueue {
                    organisation: request.organisation.clone(),
                    weight: request.weight,
                    start_tag,
                    waiting: vec![request],
                };
                self.queues.insert(index, queue);
            }
        }
    }

    /// Removes the next request in fair order, among the organisations for which
    /// `may_run` holds.
    pub(super) fn pop(
        &mut self,
        may_run: impl Fn(&OrganisationId) -> bool,
    ) -> Option<AdmissionRequest> {
        let order = |queue: &OrganisationQueue| (queue.start_tag, queue.waiting[0].ticket);
        let index = (0..self.queues.len())
            .filter(|index| may_run(&self.queues[*index].organisation))
            .min_by_key(|index| order(&self.queues[*index]))?;
        let queue = &mut self.queues[index];
        let request = queue.waiting.remove(0);
        self.virtual_time = self.virtual_time.max(queue.start_tag);
        let charge = request.cost.max(1).saturating_mul(SCALE) / u64::from(queue.weight.get());
        queue.start_tag = queue.start_tag.saturating_add(charge.max(1));
        self.len -= 1;
        self.remove_if_empty(index);
        Some(request)
    }

    /// Removes the request with this ticket.
    pub(super) fn remove(&mut self, ticket: AdmissionTicket) -> Option<AdmissionRequest> {
        self.remove_matching(|request| request.ticket == ticket)
            .pop()
    }

    /// Removes the requests that can no longer meet their deadlines.
    pub(super) fn take_expired(&mut self, now: ClockTime) -> Vec<AdmissionRequest> {
        self.remove_matching(|request| request.latest_start().is_some_and(|latest| latest < now))
    }

    /// The earliest [`latest_start`](AdmissionRequest::latest_start) of all
    /// waiting requests.
    pub(super) fn earliest_expiry(&self) -> Option<ClockTime> {
        let all = self.queues.iter().flat_map(|queue| &queue.waiting);
        all.filter_map(AdmissionRequest::latest_start).min()
    }

    /// Makes room for `request` in a full queue and returns the removed request.
    ///
    /// Removes the last request of the organisation with the largest backlog
    /// relative to its weight, if that is another organisation with more than
    /// the submitting one would have. Otherwise removes the submitting
    /// organisation's own last request, if its priority is lower.
    pub(super) fn displace(&mut self, request: &AdmissionRequest) -> Option<AdmissionRequest> {
        let (index, longest) = self
            .queues
            .iter()
            .enumerate()
            .max_by_key(|(_, queue)| queue.backlog(0))?;
        let own = self.find(&request.organisation).ok();
        let own_backlog = own.map_or_else(
            || SCALE / u64::from(request.weight.get()),
            |own| self.queues[own].backlog(1),
        );
        if own != Some(index) && longest.backlog(0) > own_backlog {
            return self.take_last(index);
        }
        let own = own?;
        let last = self.queues[own].waiting.last()?;
        if last.priority < request.priority {
            return self.take_last(own);
        }
        None
    }

    /// Number of requests expected to run before `request`: those ahead of it in
    /// its organisation's queue, and the fair share of the other organisations
    /// in the same time.
    pub(super) fn ahead_of(&self, request: &AdmissionRequest) -> u64 {
        let own = self.find(&request.organisation).ok();
        let own_ahead = own.map_or(0, |index| self.queues[index].ahead_of(request) as u64);
        let weight = u64::from(request.weight.get());
        let others = self
            .queues
            .iter()
            .enumerate()
            .filter(|(index, _)| Some(*index) != own);
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

    fn take_last(&mut self, index: usize) -> Option<AdmissionRequest> {
        let request = self.queues[index].waiting.pop();
        self.len -= usize::from(request.is_some());
        self.remove_if_empty(index);
        request
    }

    fn remove_matching(
        &mut self,
        wanted: impl Fn(&AdmissionRequest) -> bool,
    ) -> Vec<AdmissionRequest> {
        let mut taken = Vec::new();
        for index in (0..self.queues.len()).rev() {
            let waiting = &mut self.queues[index].waiting;
            taken.extend(waiting.extract_if(.., |request| wanted(request)));
            self.remove_if_empty(index);
        }
        self.len -= taken.len();
        taken
    }

    /// Removes the queue at `index` if it is empty. If its tag is ahead of the
    /// virtual time, the tag is kept, so that an organisation gains nothing by
    /// leaving the queue for a moment. Removing the last queue resets all tags and
    /// the virtual time.
    fn remove_if_empty(&mut self, index: usize) {
        if !self.queues[index].waiting.is_empty() {
            return;
        }
        let queue = self.queues.remove(index);
        if self.queues.is_empty() {
            self.idle.clear();
            self.virtual_time = 0;
            return;
        }
        if self.idle.len() >= MAX_IDLE_TAGS {
            let passed = self.virtual_time;
            self.idle.retain(|tag| tag.finish_tag > passed);
        }
        if queue.start_tag > self.virtual_time && self.idle.len() < MAX_IDLE_TAGS {
            self.insert_idle_tag(queue.organisation, queue.start_tag);
        }
    }

    fn insert_idle_tag(&mut self, organisation: OrganisationId, finish_tag: u64) {
        let index = self
            .idle
            .partition_point(|tag| tag.organisation < organisation);
        let tag = IdleTag {
            organisation,
            finish_tag,
        };
        self.idle.insert(index, tag);
    }

    fn remove_idle_tag(&mut self, organisation: &OrganisationId) -> u64 {
        let index = self
            .idle
            .binary_search_by(|tag| tag.organisation.cmp(organisation));
        index.map_or(0, |index| self.idle.remove(index).finish_tag)
    }
}

impl OrganisationQueue {
    fn insert(&mut self, request: AdmissionRequest) {
        let index = self.ahead_of(&request);
        self.waiting.insert(index, request);
    }

    fn ahead_of(&self, request: &AdmissionRequest) -> usize {
        self.waiting
            .partition_point(|other| other.priority >= request.priority)
    }

    /// Number of waiting requests plus `more`, relative to the weight.
    fn backlog(&self, more: u64) -> u64 {
        (self.waiting.len() as u64 + more) * SCALE / u64::from(self.weight.get())
    }
}
