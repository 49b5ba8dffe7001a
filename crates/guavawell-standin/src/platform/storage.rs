//! The S3 REST interface over the objects, path style.

use std::fmt::Write;

use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use http_types::headers::ETAG;
use http_types::headers::IF_NONE_MATCH;

use crate::http::empty_reply;
use crate::http::text_reply;
use crate::platform::objects::ObjectPage;
use crate::platform::objects::ObjectStore;

/// Most keys of one listing, as S3 has it.
const MAX_KEYS: usize = 1000;

/// Where a listing begins and ends.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct ListQuery {
    bucket: Box<str>,
    prefix: Box<str>,
    after: Box<str>,
    most: usize,
}

/// The `bucket/key` that a request names.
pub(super) fn object_path(request: &Request) -> Box<str> {
    let path = request.url().path().trim_start_matches('/');
    percent_decode(path)
}

/// True if the request asks for a listing of a bucket.
pub(super) fn is_listing(request: &Request) -> bool {
    let mut pairs = request.url().query_pairs();
    pairs.any(|(name, value)| name == "list-type" && value == "2")
}

/// Reads the query of a listing.
pub(super) fn list_query(request: &Request) -> ListQuery {
    let mut query = ListQuery {
        bucket: object_path(request).trim_end_matches('/').into(),
        most: MAX_KEYS,
        ..ListQuery::default()
    };
    for (name, value) in request.url().query_pairs() {
        match &*name {
            "prefix" => query.prefix = value.into(),
            "start-after" | "continuation-token" => query.after = value.into(),
            "max-keys" => query.most = value.parse().map_or(MAX_KEYS, |n: usize| n.min(MAX_KEYS)),
            _ => {}
        }
    }
    query
}

/// Stores an object, honouring `If-None-Match: *`.
pub(super) fn put(store: &mut ObjectStore, request: &Request, body: Vec<u8>) -> Response {
    let only_new = request
        .header(IF_NONE_MATCH)
        .is_some_and(|value| value.as_str() == "*");
    match store.put(&object_path(request), body, only_new) {
        Ok(tag) => {
            let mut response = empty_reply(StatusCode::Ok);
            response.insert_header(ETAG, &*tag);
            response
        }
        Err(_) => error(StatusCode::PreconditionFailed, "PreconditionFailed"),
    }
}

/// Reads an object.
pub(super) fn get(store: &ObjectStore, request: &Request) -> Response {
    let Some(object) = store.get(&object_path(request)) else {
        return error(StatusCode::NotFound, "NoSuchKey");
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(object.content.to_vec());
    response.insert_header(ETAG, &*object.tag);
    response
}

/// Lists objects of a bucket.
pub(super) fn list(store: &ObjectStore, query: &ListQuery) -> Response {
    let bucket = &query.bucket;
    let prefix = format!("{bucket}/{}", query.prefix);
    let after = format!("{bucket}/{}", query.after);
    let page = store.list(&prefix, &after, query.most);
    text_reply(StatusCode::Ok, "application/xml", &listing(query, &page))
}

/// An S3 error document.
pub(super) fn error(status: StatusCode, code: &str) -> Response {
    let reason = status.canonical_reason();
    let text = format!("<Error><Code>{code}</Code><Message>{reason}</Message></Error>");
    text_reply(status, "application/xml", &text)
}

fn listing(query: &ListQuery, page: &ObjectPage) -> Box<str> {
    let mut text = String::from(r#"<?xml version="1.0" encoding="UTF-8"?>"#);
    text.push_str(r#"<ListBucketResult xmlns="http://s3.amazonaws.com/doc/2006-03-01/">"#);
    element(&mut text, "Name", &query.bucket);
    element(&mut text, "Prefix", &query.prefix);
    element(&mut text, "StartAfter", &query.after);
    element(&mut text, "KeyCount", &page.objects.len().to_string());
    element(&mut text, "MaxKeys", &query.most.to_string());
    element(&mut text, "IsTruncated", &page.truncated.to_string());
    for object in &page.objects {
        text.push_str("<Contents>");
        element(&mut text, "Key", key_of(&object.path));
        element(&mut text, "ETag", &object.tag);
        element(&mut text, "Size", &object.content.len().to_string());
        element(&mut text, "StorageClass", "STANDARD");
        text.push_str("</Contents>");
    }
    if let Some(last) = page.objects.last().filter(|_| page.truncated) {
        element(&mut text, "NextContinuationToken", key_of(&last.path));
    }
    text.push_str("</ListBucketResult>");
    text.into()
}

fn key_of(path: &str) -> &str {
    path.split_once('/').map_or("", |(_, key)| key)
}

fn element(text: &mut String, name: &str, value: &str) {
    let value = value
        .replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;");
    // Writing to a string cannot fail.
    let _ = write!(text, "<{name}>{value}</{name}>");
}

fn percent_decode(text: &str) -> Box<str> {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let escape = (bytes[index] == b'%')
            .then(|| text.get(index + 1..index + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(escape.unwrap_or(bytes[index]));
        index += if escape.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into()
}
