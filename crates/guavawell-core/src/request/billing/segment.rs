//! Segments of the billing journal: their names and their bodies.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use super::record::BillingRecord;
use crate::budget::InstanceIncarnation;
use crate::budget::SlotId;
use crate::id::IncarnationId;

/// The prefix of every segment's key.
const PREFIX: &str = "journal";

/// The object key of a segment: `journal/{shard}/{zone}/{instance}-{incarnation}-{sequence}`.
///
/// The sequence number has ten digits, so that the segments of a writer are
/// listed in order. Each incarnation of a router numbers its own segments of a
/// slot, so that no other writer uses its names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentName {
    /// The slot whose charges it holds.
    pub slot: SlotId,
    /// The router that wrote it.
    pub router: InstanceIncarnation,
    /// The sequence number, from 0.
    pub sequence: u64,
}

/// Why a segment cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SegmentError {
    /// The key is not the name of a segment.
    #[error("`{0}` is not `journal/SHARD/ZONE/INSTANCE-INCARNATION-SEQUENCE`")]
    BadName(Box<str>),
    /// A line is not a billing record.
    #[error("line {line} is not a billing record: {detail}")]
    BadRecord {
        /// The line, from 1.
        line: usize,
        /// What is wrong.
        detail: Box<str>,
    },
}

impl fmt::Display for SegmentName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SlotId { zone, shard } = &self.slot;
        let InstanceIncarnation {
            instance,
            incarnation,
        } = &self.router;
        let sequence = self.sequence;
        write!(
            formatter,
            "{PREFIX}/{shard}/{zone}/{instance}-{incarnation}-{sequence:010}"
        )
    }
}

impl FromStr for SegmentName {
    type Err = SegmentError;

    fn from_str(text: &str) -> Result<Self, SegmentError> {
        parse_name(text).ok_or_else(|| SegmentError::BadName(text.into()))
    }
}

/// Parses the key of a segment. Instance names may contain `-`, so the last
/// part is split from its end.
fn parse_name(text: &str) -> Option<SegmentName> {
    let mut parts = text.strip_prefix(PREFIX)?.strip_prefix('/')?.splitn(3, '/');
    let shard = parts.next()?.parse().ok()?;
    let zone = parts.next()?.parse().ok()?;
    let mut parts_from_end = parts.next()?.rsplitn(3, '-');
    let sequence = parts_from_end.next()?.parse().ok()?;
    let incarnation: IncarnationId = parts_from_end.next()?.parse().ok()?;
    let instance = parts_from_end.next()?.parse().ok()?;
    Some(SegmentName {
        slot: SlotId { zone, shard },
        router: InstanceIncarnation {
            instance,
            incarnation,
        },
        sequence,
    })
}

/// A closed segment; its records never change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalSegment {
    /// Its key.
    pub name: SegmentName,
    /// Its records.
    pub records: Vec<BillingRecord>,
}

impl JournalSegment {
    /// The object's body: one JSON record per line.
    ///
    /// # Panics
    ///
    /// Never: records contain only strings and numbers.
    #[must_use]
    pub fn body(&self) -> Vec<u8> {
        let mut body = Vec::new();
        for record in &self.records {
            serde_json::to_writer(&mut body, record).expect("a record can be serialised");
            body.push(b'\n');
        }
        body
    }
}

/// Parses the body of a segment.
///
/// # Errors
///
/// Fails at the first line that is not a billing record.
pub fn read_segment(body: &[u8]) -> Result<Vec<BillingRecord>, SegmentError> {
    let lines = body.split(|byte| *byte == b'\n').enumerate();
    let records = lines.filter(|(_, line)| !line.is_empty());
    records
        .map(|(index, line)| {
            serde_json::from_slice(line).map_err(|error| SegmentError::BadRecord {
                line: index + 1,
                detail: error.to_string().into(),
            })
        })
        .collect()
}
