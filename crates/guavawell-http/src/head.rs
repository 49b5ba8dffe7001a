//! Parses request and response heads, and decides on the framing of the body.

use std::cmp::Ordering;
use std::ops::Range;
use std::ops::RangeInclusive;

use httparse::EMPTY_HEADER;
use httparse::Header;
use thiserror::Error;

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

/// Header fields in their original order and spelling.
#[derive(Clone, Debug, Default)]
pub struct FieldList {
    bytes: Box<[u8]>,
    fields: Vec<FieldSpan>,
}

/// Where a field stands in the bytes of its head.
#[derive(Clone, Copy, Debug)]
struct FieldSpan {
    name: ByteRange,
    value: ByteRange,
}

/// A range of bytes of a head, which is shorter than 4 GiB.
#[derive(Clone, Copy, Debug)]
struct ByteRange {
    start: u32,
    end: u32,
}

impl ByteRange {
    /// The range of a part in the whole that begins at `base`.
    fn of(base: usize, part: &[u8]) -> Self {
        let start = (part.as_ptr() as usize).saturating_sub(base);
        let place = |offset| u32::try_from(offset).unwrap_or(u32::MAX);
        Self {
            start: place(start),
            end: place(start + part.len()),
        }
    }

    #[inline]
    const fn range(self) -> Range<usize> {
        self.start as usize..self.end as usize
    }
}

impl FieldList {
    /// All fields in order.
    #[inline]
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|field| {
            let name = &self.bytes[field.name.range()];
            let value = &self.bytes[field.value.range()];
            (std::str::from_utf8(name).unwrap_or(""), value)
        })
    }

    /// The values of a field, in order.
    #[inline]
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let same = move |field: &&FieldSpan| {
            let field_name = &self.bytes[field.name.range()];
            field_name.eq_ignore_ascii_case(name.as_bytes())
        };
        let fields = self.fields.iter().filter(same);
        fields.map(|field| &self.bytes[field.value.range()])
    }

    /// The first value of a field, if it is valid UTF-8.
    #[must_use]
    #[inline]
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        let value = self.all(name).next()?;
        std::str::from_utf8(value).ok()
    }

    /// Whether a comma-separated field contains a token, ignoring case.
    #[must_use]
    #[inline]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.members(name)
            .any(|member| member.eq_ignore_ascii_case(token))
    }

    /// The members of a comma-separated field, in order.
    fn members<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let values = self.all(name);
        let texts = values.filter_map(|value| std::str::from_utf8(value).ok());
        texts.flat_map(|text| text.split(',')).map(str::trim)
    }

    /// Bytes of memory that the fields take.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.bytes.len() + self.fields.capacity() * size_of::<FieldSpan>()
    }

    /// The names of the fields that concern this connection only, as `Connection` lists
    /// them.
    #[must_use]
    pub fn hop_by_hop(&self) -> HopByHopNames<'_> {
        let mut listed: Vec<_> = self.members("connection").map(CaselessName).collect();
        listed.sort_unstable();
        listed.dedup();
        HopByHopNames { listed }
    }

    /// Copies `bytes` and the positions of the parsed fields, which are slices of it.
    fn capture(bytes: &[u8], parsed: &[Header<'_>]) -> Self {
        let base = bytes.as_ptr() as usize;
        let fields = parsed.iter().map(|field| FieldSpan {
            name: ByteRange::of(base, field.name.as_bytes()),
            value: ByteRange::of(base, field.value),
        });
        Self {
            fields: fields.collect(),
            bytes: bytes.into(),
        }
    }
}

/// A name of a field, whatever the case of its letters.
#[derive(Clone, Copy, Debug)]
struct CaselessName<'a>(&'a str);

impl CaselessName<'_> {
    fn bytes(&self) -> impl Iterator<Item = u8> {
        self.0.bytes().map(|byte| byte.to_ascii_lowercase())
    }
}

impl Ord for CaselessName<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.bytes().cmp(other.bytes())
    }
}

impl PartialOrd for CaselessName<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for CaselessName<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.0.eq_ignore_ascii_case(other.0)
    }
}

impl Eq for CaselessName<'_> {}

/// Names of fields that concern a single connection and must not be forwarded.
#[derive(Clone, Debug)]
pub struct HopByHopNames<'a> {
    /// What `Connection` lists, sorted: a head may list thousands.
    listed: Vec<CaselessName<'a>>,
}

impl HopByHopNames<'_> {
    /// Whether a field must not be forwarded.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        const NAMES: [&str; 9] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        ];
        let is_standard = NAMES.iter().any(|known| name.eq_ignore_ascii_case(known));
        is_standard || self.listed.binary_search(&CaselessName(name)).is_ok()
    }
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

fn request_framing(fields: &FieldList, is_http11: bool) -> Result<BodyFraming, HeadError> {
    let stated = stated_framing(fields, is_http11)?;
    Ok(stated.unwrap_or(BodyFraming::Empty))
}

fn response_framing(fields: &FieldList, is_http11: bool) -> Result<BodyFraming, HeadError> {
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
