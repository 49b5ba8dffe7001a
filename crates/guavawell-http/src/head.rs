//! Parses request and response heads.

use std::ops::RangeInclusive;

use httparse::EMPTY_HEADER;
use httparse::Header;
use thiserror::Error;

use crate::BodyFraming;
use crate::FieldList;
use crate::framing::request_framing;
use crate::framing::response_framing;

/// Fields of a head for which no memory is allocated while it is parsed.
const USUAL_FIELDS: usize = 96;
/// The statuses of the protocol. Others have three digits too, but no meaning (RFC 9110,
/// section 15).
const STATUSES: RangeInclusive<u16> = 100..=599;
/// The statuses of interim responses.
const INTERIM_STATUSES: RangeInclusive<u16> = 100..=199;
/// The status of a server that goes on in another protocol, as nobody asks here.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Why a head is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// It is not an HTTP/1 head.
    #[error("not an HTTP/1 head: {0}")]
    Syntax(httparse::Error),
    /// The status is none that a response to a request can have.
    #[error("a response has no status {0:03}")]
    Status(u16),
    /// The framing of the body is ambiguous or unsupported.
    #[error("ambiguous framing: {0}")]
    Framing(&'static str),
    /// The request does not have exactly one valid `Host` field.
    #[error("request needs exactly one valid Host field")]
    Host,
}

/// Room for the fields of a head, which has fewer than lines, unless they are few.
fn field_room(bytes: &[u8]) -> Option<Vec<Header<'_>>> {
    let lines = bytes.split(|byte| *byte == b'\n').count();
    (lines > USUAL_FIELDS).then(|| vec![EMPTY_HEADER; lines])
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: Box<str>,
    /// The request target as sent: path and query.
    pub target: Box<str>,
    /// The host without the port; empty if an HTTP/1.0 request names none.
    pub host: Box<str>,
    /// The header fields.
    pub fields: FieldList,
    /// The framing of the body.
    pub framing: BodyFraming,
    /// Whether the caller keeps the connection open.
    pub keep_alive: bool,
    /// Whether the caller accepts a chunked response, which HTTP/1.0 does not have.
    pub accepts_chunked: bool,
}

impl RequestHead {
    /// Parses a complete head, including the empty line.
    ///
    /// # Errors
    ///
    /// The head is malformed or its framing ambiguous.
    pub fn parse(bytes: &[u8]) -> Result<Self, HeadError> {
        match field_room(bytes) {
            None => Self::parse_into(bytes, &mut [EMPTY_HEADER; USUAL_FIELDS]),
            Some(mut room) => Self::parse_into(bytes, &mut room),
        }
    }

    fn parse_into<'a>(bytes: &'a [u8], room: &mut [Header<'a>]) -> Result<Self, HeadError> {
        let mut request = httparse::Request::new(room);
        let parsed = request.parse(bytes).map_err(HeadError::Syntax)?;
        check_length(parsed, bytes)?;
        let fields = FieldList::capture(bytes, request.headers);
        let is_http11 = request.version == Some(1);
        let framing = request_framing(&fields, is_http11)?;
        let host = parse_host(&fields, is_http11)?;
        Ok(Self {
            method: request.method.unwrap_or_default().into(),
            target: request.path.unwrap_or_default().into(),
            host,
            framing,
            keep_alive: keeps_alive(&fields, is_http11),
            accepts_chunked: is_http11,
            fields,
        })
    }

    /// The target's path, without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        let end = self.target.find('?').unwrap_or(self.target.len());
        &self.target[..end]
    }
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The reason phrase.
    pub reason: Box<str>,
    /// The header fields.
    pub fields: FieldList,
    /// The framing of the body.
    pub framing: BodyFraming,
    /// Whether the server keeps the connection open.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Whether it is an interim response, which the response to the same request follows.
    #[must_use]
    #[inline]
    pub fn is_interim(&self) -> bool {
        INTERIM_STATUSES.contains(&self.status)
    }

    /// Parses a complete head, including the empty line. `is_head_request` tells
    /// whether the request method was `HEAD`, whose responses have no body.
    ///
    /// # Errors
    ///
    /// The head is malformed or its framing ambiguous.
    pub fn parse(bytes: &[u8], is_head_request: bool) -> Result<Self, HeadError> {
        match field_room(bytes) {
            None => Self::parse_into(bytes, &mut [EMPTY_HEADER; USUAL_FIELDS], is_head_request),
            Some(mut room) => Self::parse_into(bytes, &mut room, is_head_request),
        }
    }

    fn parse_into<'a>(
        bytes: &'a [u8],
        room: &mut [Header<'a>],
        is_head_request: bool,
    ) -> Result<Self, HeadError> {
        let mut response = httparse::Response::new(room);
        let parsed = response.parse(bytes).map_err(HeadError::Syntax)?;
        check_length(parsed, bytes)?;
        let fields = FieldList::capture(bytes, response.headers);
        let is_http11 = response.version == Some(1);
        let status = check_status(response.code.unwrap_or_default())?;
        // A response without a body may state the framing that another one would have.
        let stated_framing = response_framing(&fields, is_http11)?;
        let bodiless = is_head_request || matches!(status, 100..200 | 204 | 304);
        let framing = if bodiless {
            BodyFraming::Empty
        } else {
            stated_framing
        };
        Ok(Self {
            status,
            reason: response.reason.unwrap_or_default().into(),
            framing,
            keep_alive: keeps_alive(&fields, is_http11) && framing != BodyFraming::UntilClose,
            fields,
        })
    }
}

/// Checks that the parser took all bytes for the head. An empty line that ends with a bare
/// LF ends a head for it before the bytes that end it here.
fn check_length(parsed: httparse::Status<usize>, bytes: &[u8]) -> Result<(), HeadError> {
    if parsed == httparse::Status::Complete(bytes.len()) {
        Ok(())
    } else {
        Err(HeadError::Syntax(httparse::Error::Token))
    }
}

fn check_status(status: u16) -> Result<u16, HeadError> {
    if STATUSES.contains(&status) && status != SWITCHING_PROTOCOLS {
        Ok(status)
    } else {
        Err(HeadError::Status(status))
    }
}

/// The length of the head at the start of `bytes`; `None` if it is incomplete. The first
/// `searched` bytes were searched before.
#[must_use]
pub fn head_length(bytes: &[u8], searched: usize) -> Option<usize> {
    let rest = bytes.get(searched..)?;
    let index = rest.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(searched + index + 4)
}

/// Whether a line, which ends with a line break, is a field.
pub(crate) fn is_field_line(line: &[u8]) -> bool {
    let lines = [line, b"\r\n"].concat();
    let mut room = [EMPTY_HEADER; 1];
    let parsed = httparse::parse_headers(&lines, &mut room);
    matches!(parsed, Ok(httparse::Status::Complete((_, [_]))))
}

fn keeps_alive(fields: &FieldList, is_http11: bool) -> bool {
    if is_http11 {
        !fields.has_token("connection", "close")
    } else {
        fields.has_token("connection", "keep-alive")
    }
}

fn parse_host(fields: &FieldList, is_http11: bool) -> Result<Box<str>, HeadError> {
    let mut hosts = fields.all("host");
    let host = match (hosts.next(), hosts.next()) {
        (Some(host), None) => std::str::from_utf8(host).map_err(|_| HeadError::Host)?,
        (None, None) if !is_http11 => "",
        _ => return Err(HeadError::Host),
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Ok(name.into())
}
