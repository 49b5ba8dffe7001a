//! The fields of a head.

use std::cmp::Ordering;
use std::ops::Range;

use httparse::Header;

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
    pub(crate) fn capture(bytes: &[u8], parsed: &[Header<'_>]) -> Self {
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
