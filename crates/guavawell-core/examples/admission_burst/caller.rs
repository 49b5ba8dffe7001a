//! Callers and their requests.

use guavawell_core::id::OrganisationId;
use guavawell_core::limits::AdmissionTicket;

/// Where a request stands.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum CallState {
    /// Between two tries, or asking.
    Asking,
    Queued,
    Running,
    Answering,
    Over,
}

/// One request.
pub struct CallerJob {
    pub organisation: usize,
    pub router: usize,
    pub arrived: u64,
    pub tokens: u64,
    pub tries: usize,
    pub state: CallState,
    pub engine: usize,
}

pub fn organisation_id(number: usize) -> OrganisationId {
    format!("o{number}").parse().expect("id")
}

/// The request that a ticket is for.
pub fn number(ticket: AdmissionTicket) -> usize {
    ticket.to_string().parse().expect("number")
}
