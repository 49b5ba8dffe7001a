//! Which events are shown.

use guavawell_core::clock::ClockTime;
use guavawell_core::event::EventRecord;
use guavawell_core::id::AttemptId;
use guavawell_core::id::BudgetId;
use guavawell_core::id::InstanceId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::RequestId;

/// Which events are shown: those that pass every list that is not empty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// Any of these requests.
    pub requests: Vec<RequestId>,
    /// Any of these attempts.
    pub attempts: Vec<AttemptId>,
    /// Any of these budgets.
    pub budgets: Vec<BudgetId>,
    /// Any of these organisations.
    pub organisations: Vec<OrganisationId>,
    /// Any of these instances.
    pub instances: Vec<InstanceId>,
    /// Any of these beginnings of a kind.
    pub kinds: Vec<Box<str>>,
    /// Not before this time by the instance's own clock.
    pub since: Option<ClockTime>,
    /// Before this time by the instance's own clock.
    pub until: Option<ClockTime>,
}

impl EventFilter {
    /// Whether an event is shown.
    #[must_use]
    pub fn passes(&self, record: &EventRecord) -> bool {
        passes_list(&self.requests, record.request.as_ref())
            && passes_list(&self.attempts, record.attempt.as_ref())
            && passes_list(&self.budgets, record.budget.as_ref())
            && passes_list(&self.organisations, record.organisation.as_ref())
            && passes_list(&self.instances, Some(&record.instance))
            && self.passes_kind(&record.kind)
            && self.since.is_none_or(|since| record.at >= since)
            && self.until.is_none_or(|until| record.at < until)
    }

    fn passes_kind(&self, kind: &str) -> bool {
        self.kinds.is_empty() || self.kinds.iter().any(|prefix| kind.starts_with(&**prefix))
    }
}

fn passes_list<T: PartialEq>(wanted: &[T], value: Option<&T>) -> bool {
    wanted.is_empty() || value.is_some_and(|value| wanted.contains(value))
}
