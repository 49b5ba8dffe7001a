//! Writes one event with the decisions about each request, and its metrics.

use std::cell::RefCell;
use std::fmt::Display;
use std::rc::Rc;

use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::id::OrganisationId;
use guavawell_core::number::fraction;
use guavawell_fleet::event::EventDraft;

use crate::router::ForwardRouter;

/// What is known of a request while it is served. The event is written on drop,
/// so it also exists for a request whose caller disconnected.
#[derive(Debug)]
pub struct RequestRecord {
    router: Rc<ForwardRouter>,
    began: ClockTime,
    state: RefCell<RecordState>,
}

#[derive(Debug)]
struct RecordState {
    request: Box<str>,
    organisation: Option<OrganisationId>,
    fields: Vec<(&'static str, Box<str>)>,
    outcome: &'static str,
    status: u16,
}

impl RequestRecord {
    /// Starts the record of a request that was received at `began`.
    #[must_use]
    pub fn new(router: &Rc<ForwardRouter>, request: &str, began: ClockTime) -> Self {
        Self {
            router: Rc::clone(router),
            began,
            state: RefCell::new(RecordState {
                request: request.into(),
                organisation: None,
                fields: Vec::new(),
                outcome: "caller_gone",
                status: 0,
            }),
        }
    }

    /// Sets the organisation that sent the request.
    pub fn set_organisation(&self, organisation: &OrganisationId) {
        self.state.borrow_mut().organisation = Some(organisation.clone());
    }

    /// Sets a field of the event.
    pub fn note(&self, name: &'static str, value: impl Display) {
        let value = value.to_string().into();
        let fields = &mut self.state.borrow_mut().fields;
        match fields.iter_mut().find(|(field, _)| *field == name) {
            Some((_, current)) => *current = value,
            None => fields.push((name, value)),
        }
    }

    /// Records when the first part of a stream was sent to the caller.
    pub fn first_sent(&self, at: ClockTime) {
        let span = at.since(self.began);
        metrics::histogram!("guavawell_forward_first_part_seconds")
            .record(fraction(span.as_millis()) / 1_000.0);
        self.note("first_ms", span.as_millis());
    }

    /// Sets the outcome: the caller received a server's response.
    pub fn answered(&self, status: u16) {
        self.set_outcome("answered", status);
    }

    /// Sets the outcome: the router refused the request.
    pub fn refused(&self, refusal: ForwardRefusal, status: u16) {
        self.set_outcome(refusal.as_str(), status);
    }

    /// Sets the outcome: a response ended before it was complete.
    pub fn truncated(&self) {
        self.set_outcome("stream_cut", 200);
    }

    fn set_outcome(&self, outcome: &'static str, status: u16) {
        let mut state = self.state.borrow_mut();
        state.outcome = outcome;
        state.status = status;
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let state = self.state.borrow();
        let took = self.router.clock.now().since(self.began);
        metrics::counter!("guavawell_forward_requests_total", "outcome" => state.outcome)
            .increment(1);
        metrics::histogram!("guavawell_forward_request_seconds", "outcome" => state.outcome)
            .record(fraction(took.as_millis()) / 1_000.0);
        let mut draft = EventDraft::new("request.ended")
            .field("outcome", state.outcome)
            .field("status", state.status)
            .field("took_ms", took.as_millis());
        draft.request = state.request.parse().ok();
        draft.organisation.clone_from(&state.organisation);
        for (name, value) in &state.fields {
            draft = draft.field(name, value);
        }
        self.router.log.emit(draft);
    }
}
