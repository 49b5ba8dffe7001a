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
/// The number has ten digits, so that a writer's segments are listed in order.
/// An incarnation numbers its segments of a slot itself, so nobody else
/// writes under its names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentName {
    /// The slot whose charges it holds.
    pub slot: SlotId,
    /// The router that wrote it.
    pub router: InstanceIncarnation,
    /// Its number, from 0.
    pub sequence: u64,
}

/// What is wrong with a segment.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SegmentError {
    /// The key is no segment's.
    #[error("`{0}` is not `journal/SHARD/ZONE/INSTANCE-INCARNATION-SEQUENCE`")]
    BadName(Box<str>),
    /// A line is no record.
    #[error("line {line} is no billing record: {detail}")]
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

/// Instances may hold `-` in their names, so the last part is read from its end.
fn parse_name(text: &str) -> Option<SegmentName> {
    let mut parts = text.strip_prefix(PREFIX)?.strip_prefix('/')?.splitn(3, '/');
    let shard = parts.next()?.parse().ok()?;
    let zone = parts.next()?.parse().ok()?;
    let mut ends = parts.next()?.rsplitn(3, '-');
    let sequence = ends.next()?.parse().ok()?;
    let incarnation: IncarnationId = ends.next()?.parse().ok()?;
    let instance = ends.next()?.parse().ok()?;
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
    /// The object's body: one JSON record a line.
    ///
    /// # Panics
    ///
    /// Never: records hold text and numbers only.
    #[must_use]
    pub fn body(&self) -> Vec<u8> {
        let mut body = Vec::new();
        for record in &self.records {
            serde_json::to_writer(&mut body, record).expect("a record serialises");
            body.push(b'\n');
        }
        body
    }
}

/// The records of a segment's body.
///
/// # Errors
///
/// The first line that is no record.
pub fn read_segment(body: &[u8]) -> Result<Vec<BillingRecord>, SegmentError> {
    let lines = body.split(|byte| *byte == b'\n').enumerate();
    let full = lines.filter(|(_, line)| !line.is_empty());
    full.map(|(place, line)| {
        serde_json::from_slice(line).map_err(|error| SegmentError::BadRecord {
            line: place + 1,
            detail: error.to_string().into(),
        })
    })
    .collect()
}
