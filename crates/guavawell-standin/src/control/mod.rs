//! The control address: fault switches, counters, truth.
//!
//! Owns the answers of that address. It is never served to routers.

use http_types::Method;
use http_types::Response;
use http_types::StatusCode;

use crate::fault::FaultChange;
use crate::fault::FaultSettings;
use crate::http::Hangup;
use crate::http::HttpCall;
use crate::http::HttpReply;
use crate::http::json_reply;
use crate::http::problem_reply;
use crate::http::read_json;

/// Answers `GET /faults`.
pub(crate) fn show_faults(settings: &FaultSettings) -> Response {
    json_reply(settings)
}

/// Reads the body of `PUT /faults` and applies it.
pub(crate) async fn change_faults<F>(call: &mut HttpCall, apply: F) -> HttpReply
where
    F: AsyncFnOnce(FaultChange) -> Result<FaultSettings, Hangup>,
{
    match read_json::<FaultChange>(&mut call.request).await? {
        Ok(change) => Ok(json_reply(&apply(change).await?)),
        Err(response) => Ok(response),
    }
}

/// The answer to a path that the address does not have.
pub(crate) fn unknown_path(method: Method, path: &str) -> Response {
    problem_reply(
        StatusCode::NotFound,
        &format!("no {method} {path} at this address"),
    )
}
