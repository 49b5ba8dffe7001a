//! The refusal of an attempt that is already known.

use http_types::Response;
use http_types::StatusCode;

use crate::attempt::entry::AttemptEntry;
use crate::attempt::entry::AttemptPhase;
use crate::http::problem_reply;

/// An attempt runs once, and not at all once it was cancelled.
pub(crate) fn refuse_known(known: &AttemptEntry) -> Response {
    let attempt = known.source.attempt;
    if known.view().phase == AttemptPhase::Cancelled {
        let detail = format!("attempt {attempt} was cancelled");
        return problem_reply(StatusCode::Gone, &detail);
    }
    let detail = format!("attempt {attempt} was sent before");
    problem_reply(StatusCode::Conflict, &detail)
}
