//! Decides by the fields of a head how its body is framed.

use crate::FieldList;
use crate::HeadError;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body has the chunked transfer coding.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

/// The framing of a request's body.
pub(crate) fn request_framing(
    fields: &FieldList,
    is_http11: bool,
) -> Result<BodyFraming, HeadError> {
    let stated = stated_framing(fields, is_http11)?;
    Ok(stated.unwrap_or(BodyFraming::Empty))
}

/// The framing of a response's body, if it has one.
pub(crate) fn response_framing(
    fields: &FieldList,
    is_http11: bool,
) -> Result<BodyFraming, HeadError> {
    let stated = stated_framing(fields, is_http11)?;
    Ok(stated.unwrap_or(BodyFraming::UntilClose))
}

/// The framing that the fields state; `None` if they state none.
fn stated_framing(fields: &FieldList, is_http11: bool) -> Result<Option<BodyFraming>, HeadError> {
    let length = content_length(fields)?;
    let chunked = is_chunked(fields)?;
    match (length, chunked) {
        (Some(_), true) => Err(HeadError::Framing(
            "Content-Length together with Transfer-Encoding",
        )),
        (None, true) if !is_http11 => Err(HeadError::Framing("Transfer-Encoding before HTTP/1.1")),
        (None, true) => Ok(Some(BodyFraming::Chunked)),
        (Some(length), false) => Ok(Some(BodyFraming::Length(length))),
        (None, false) => Ok(None),
    }
}

fn content_length(fields: &FieldList) -> Result<Option<u64>, HeadError> {
    let malformed = HeadError::Framing("invalid or conflicting Content-Length");
    let mut length = None;
    for value in fields.all("content-length") {
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).ok().filter(|_| digits);
        let number: Option<u64> = text.and_then(|text| text.parse().ok());
        if number.is_none() || length.is_some_and(|previous| Some(previous) != number) {
            return Err(malformed);
        }
        length = number;
    }
    Ok(length)
}

fn is_chunked(fields: &FieldList) -> Result<bool, HeadError> {
    let mut codings = fields.all("transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(value), None) if value.eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(HeadError::Framing("unsupported Transfer-Encoding")),
    }
}
