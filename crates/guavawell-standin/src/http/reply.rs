//! Building answers and reading request bodies.

use http_types::Body;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use http_types::headers::CONTENT_TYPE;
use http_types::headers::RETRY_AFTER;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use smol::io::AsyncBufRead;

/// Closes the connection without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hangup;

/// An answer, or none at all.
pub type HttpReply = Result<Response, Hangup>;

/// Reads the whole body of a request.
///
/// # Errors
///
/// [`Hangup`] if the caller closes before the end of its body.
pub async fn read_body(request: &mut Request) -> Result<Vec<u8>, Hangup> {
    request.body_bytes().await.map_err(|_| Hangup)
}

/// Reads a JSON body; the inner error is the 400 answer.
///
/// # Errors
///
/// [`Hangup`] if the caller closes before the end of its body.
pub async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
) -> Result<Result<T, Response>, Hangup> {
    let body = read_body(request).await?;
    let parsed = serde_json::from_slice(&body);
    Ok(parsed.map_err(|error| problem_reply(StatusCode::BadRequest, &error.to_string())))
}

/// A 200 answer with a JSON body.
#[must_use]
pub fn json_reply(value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_bytes(body));
    response.insert_header(CONTENT_TYPE, "application/json");
    response
}

/// An answer with a text body of the given type.
#[must_use]
pub fn text_reply(status: StatusCode, media_type: &str, text: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(Body::from_bytes(text.as_bytes().to_vec()));
    response.insert_header(CONTENT_TYPE, media_type);
    response
}

/// An answer with a status and no body.
#[must_use]
pub fn empty_reply(status: StatusCode) -> Response {
    let mut response = Response::new(status);
    response.set_body(Body::empty());
    response
}

/// An error answer as a problem document.
#[must_use]
pub fn problem_reply(status: StatusCode, detail: &str) -> Response {
    let problem = json!({
        "type": "about:blank",
        "title": status.canonical_reason(),
        "status": u16::from(status),
        "detail": detail,
    });
    let mut response = json_reply(&problem);
    response.set_status(status);
    response.insert_header(CONTENT_TYPE, "application/problem+json");
    response
}

/// An error answer that asks for another try after a second.
#[must_use]
pub fn retry_reply(status: StatusCode, detail: &str) -> Response {
    let mut response = problem_reply(status, detail);
    response.insert_header(RETRY_AFTER, "1");
    response
}

/// A chunked answer of server-sent events.
#[must_use]
pub fn stream_reply(reader: impl AsyncBufRead + Unpin + Send + Sync + 'static) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(reader, None));
    response.insert_header(CONTENT_TYPE, "text/event-stream");
    response.insert_header("cache-control", "no-cache");
    response
}
