//! An event before the log adds time, order and instance.

use std::fmt::Display;

use guavawell_core::event::EventField;
use guavawell_core::id::AttemptId;
use guavawell_core::id::BudgetId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::RequestId;

/// What happened, and to what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventDraft {
    /// What happened, as `subject.verb`.
    pub kind: Box<str>,
    /// The organisation concerned, if any.
    pub organisation: Option<OrganisationId>,
    /// The budget concerned, if any.
    pub budget: Option<BudgetId>,
    /// The request concerned, if any.
    pub request: Option<RequestId>,
    /// The attempt concerned, if any.
    pub attempt: Option<AttemptId>,
    /// Further fields, sorted by name.
    pub detail: Vec<EventField>,
}

impl EventDraft {
    /// An event of `kind` that concerns nothing in particular.
    #[must_use]
    pub fn new(kind: &str) -> Self {
        Self {
            kind: kind.into(),
            organisation: None,
            budget: None,
            request: None,
            attempt: None,
            detail: Vec::new(),
        }
    }

    /// Names the organisation.
    #[must_use]
    pub fn organisation(mut self, organisation: &OrganisationId) -> Self {
        self.organisation = Some(organisation.clone());
        self
    }

    /// Names the budget.
    #[must_use]
    pub fn budget(mut self, budget: &BudgetId) -> Self {
        self.budget = Some(budget.clone());
        self
    }

    /// Names the request.
    #[must_use]
    pub fn request(mut self, request: &RequestId) -> Self {
        self.request = Some(request.clone());
        self
    }

    /// Names the attempt.
    #[must_use]
    pub fn attempt(mut self, attempt: AttemptId) -> Self {
        self.attempt = Some(attempt);
        self
    }

    /// Adds the field `name`; a second of the same name replaces the first.
    #[must_use]
    pub fn field(mut self, name: &str, value: impl Display) -> Self {
        let field = EventField {
            name: name.into(),
            value: format!("{value}").into(),
        };
        let place = self
            .detail
            .binary_search_by(|entry| (*entry.name).cmp(name));
        match place {
            Ok(index) => self.detail[index] = field,
            Err(index) => self.detail.insert(index, field),
        }
        self
    }
}
