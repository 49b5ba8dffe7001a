//! The service's calls.

use std::sync::Arc;

use http_types::Method;
use http_types::Response;
use http_types::StatusCode;

use crate::attempt::AttemptEntry;
use crate::attempt::AttemptSource;
use crate::attempt::refuse_known;
use crate::control;
use crate::http::Hangup;
use crate::http::HttpCall;
use crate::http::HttpReply;
use crate::http::json_reply;
use crate::http::problem_reply;
use crate::http::read_body;
use crate::http::retry_reply;
use crate::http::text_reply;
use crate::service::life::ServiceLife;
use crate::service::reply::expected_reply;

const ATTEMPTS: &str = "/v1/attempts/";

/// Answers one call.
pub(super) async fn serve(life: Arc<ServiceLife>, call: HttpCall) -> HttpReply {
    if life.base.faults.outage() {
        return Ok(retry_reply(StatusCode::ServiceUnavailable, "outage"));
    }
    let path: Box<str> = call.request.url().path().into();
    match (call.request.method(), &*path) {
        (Method::Post, path) => run(&life, call, path).await,
        (Method::Get, "/v1/load") => Ok(json_reply(&life.load())),
        (method, path) => match path.strip_prefix(ATTEMPTS) {
            Some(id) => Ok(attempt(&life, method, id)),
            None => Ok(control::unknown_path(method, path)),
        },
    }
}

async fn run(life: &ServiceLife, mut call: HttpCall, path: &str) -> HttpReply {
    let body = read_body(&mut call.request).await?;
    let Some(_place) = life.enter() else {
        let detail = "every slot is taken; the attempt was not run";
        return Ok(retry_reply(StatusCode::ServiceUnavailable, detail));
    };
    let source = AttemptSource::from_headers(&call.request);
    let attempt = source.attempt;
    let entry = Arc::new(AttemptEntry::new(source, path.into()));
    if let Err(known) = life.attempts.insert(&entry) {
        return Ok(refuse_known(&known));
    }
    if !life.run(&entry).await || life.base.faults.take_lost_answer() {
        return Err(Hangup);
    }
    let reply = expected_reply(&body);
    let mut response = text_reply(StatusCode::Ok, "application/json", &reply);
    response.insert_header("x-guavawell-attempt", attempt.to_string());
    Ok(response)
}

fn attempt(life: &ServiceLife, method: Method, id: &str) -> Response {
    let Ok(attempt) = id.parse() else {
        let detail = format!("`{id}` is not an attempt");
        return problem_reply(StatusCode::BadRequest, &detail);
    };
    match (method, life.attempts.get(attempt)) {
        (Method::Delete, _) => json_reply(&life.attempts.cancel(attempt)),
        (Method::Get, Some(entry)) => json_reply(&entry.record()),
        (Method::Get, None) => {
            let detail = format!("attempt {attempt} was never seen");
            problem_reply(StatusCode::NotFound, &detail)
        }
        _ => control::unknown_path(method, id),
    }
}
