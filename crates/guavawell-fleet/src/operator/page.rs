//! The pages of the operators' port.

use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use super::MetricsPage;

/// What the pages show and do, given by the router.
pub struct OperatorPages {
    /// The metrics.
    pub metrics: MetricsPage,
    /// Whether the router may take callers' requests; the text tells why not.
    pub ready: Box<dyn Fn() -> Result<(), Box<str>> + Send + Sync>,
    /// The status document as JSON.
    pub status: Box<dyn Fn() -> String + Send + Sync>,
    /// The attempts in doubt as JSON.
    pub doubts: Box<dyn Fn() -> String + Send + Sync>,
    /// Begins a graceful shutdown.
    pub drain: Box<dyn Fn() + Send + Sync>,
}

/// Answers one operator's request.
#[must_use]
pub fn answer(pages: &OperatorPages, request: &Request) -> Response {
    let path = request.url().path();
    match (request.method(), path) {
        (Method::Get, "/health") => text(StatusCode::Ok, "alive\n"),
        (Method::Get, "/ready") => match (pages.ready)() {
            Ok(()) => text(StatusCode::Ok, "ready\n"),
            Err(reason) => text(StatusCode::ServiceUnavailable, &format!("{reason}\n")),
        },
        (Method::Get, "/metrics") => text(StatusCode::Ok, &pages.metrics.render()),
        (Method::Get, "/status") => json(&(pages.status)()),
        (Method::Get, "/doubts") => json(&(pages.doubts)()),
        (Method::Post, "/drain") => {
            (pages.drain)();
            text(StatusCode::Accepted, "leaving\n")
        }
        _ => text(StatusCode::NotFound, "no such page\n"),
    }
}

fn json(body: &str) -> Response {
    let mut response = text(StatusCode::Ok, body);
    response.insert_header("content-type", "application/json");
    response
}

fn text(status: StatusCode, body: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header("content-type", "text/plain; charset=utf-8");
    response
}
