//! Load reports of several servers in one datagram between routers.
//!
//! A report of one server takes about eleven bytes: a mark of its id, the
//! report's moment as a small difference, three small numbers and a flag.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::backend::LoadReport;
use crate::clock::ClockTime;
use crate::id::BackendId;

/// Most reports in one bundle, so that a datagram stays under 1,400 bytes.
pub const MAX_BUNDLED: usize = 64;

/// Bytes of a mark.
const MARK_BYTES: usize = 5;

/// The role of a server that takes no new work.
const LEAVING: &str = "leaving";

/// A hash of a server's id, 40 bits; of 2,200 servers two share one in two of
/// a million manifests, and reports of such servers are not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReportMark([u8; MARK_BYTES]);

impl ReportMark {
    /// The mark of a server.
    #[must_use]
    pub fn of(id: &BackendId) -> Self {
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        let hash = id.as_str().bytes().fold(0xcbf2_9ce4_8422_2325, step);
        let folded = (hash ^ (hash >> 40)).to_le_bytes();
        let mut mark = [0; MARK_BYTES];
        mark.copy_from_slice(&folded[..MARK_BYTES]);
        Self(mark)
    }
}

/// One server's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct BundledReport {
    mark: ReportMark,
    /// Moment by the server's clock, less the bundle's.
    at: i64,
    running: u32,
    queued: u32,
    slots: u32,
    leaving: bool,
}

/// Reports of several servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportBundle {
    at: ClockTime,
    reports: Vec<BundledReport>,
}

/// Why bytes are no bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BundleError {
    /// They are not of this layout.
    #[error("no bundle of load reports of this version")]
    Layout,
    /// They hold more than [`MAX_BUNDLED`] reports.
    #[error("more than {MAX_BUNDLED} load reports in one bundle")]
    TooMany,
}

impl ReportBundle {
    /// An empty bundle; `at` is a moment near those of the reports.
    #[must_use]
    pub fn new(at: ClockTime) -> Self {
        Self {
            at,
            reports: Vec::new(),
        }
    }

    /// Adds a report; false where the bundle is full.
    #[must_use]
    pub fn add(&mut self, server: &BackendId, report: &LoadReport) -> bool {
        if self.reports.len() >= MAX_BUNDLED {
            return false;
        }
        self.reports.push(BundledReport {
            mark: ReportMark::of(server),
            at: signed(report.at) - signed(self.at),
            running: report.running,
            queued: report.queued,
            slots: report.slots,
            leaving: &*report.role == LEAVING,
        });
        true
    }

    /// The reports, without the models that the servers hold.
    pub fn reports(&self) -> impl Iterator<Item = (ReportMark, LoadReport)> {
        self.reports.iter().map(|bundled| {
            let at = signed(self.at).saturating_add(bundled.at).max(0);
            let report = LoadReport {
                at: ClockTime::from_millis(at.cast_unsigned()),
                running: bundled.running,
                queued: bundled.queued,
                slots: bundled.slots,
                models: Vec::new(),
                role: if bundled.leaving { LEAVING } else { "" }.into(),
            };
            (bundled.mark, report)
        })
    }

    /// The bundle as bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoding fails.
    pub fn encode(&self) -> Result<Vec<u8>, BundleError> {
        postcard::to_allocvec(self).map_err(|_| BundleError::Layout)
    }

    /// Reads a bundle.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not exactly one bundle, or too many.
    pub fn decode(bytes: &[u8]) -> Result<Self, BundleError> {
        let read = postcard::take_from_bytes::<Self>(bytes);
        let (bundle, rest) = read.map_err(|_| BundleError::Layout)?;
        if !rest.is_empty() {
            return Err(BundleError::Layout);
        }
        if bundle.reports.len() > MAX_BUNDLED {
            return Err(BundleError::TooMany);
        }
        Ok(bundle)
    }
}

fn signed(time: ClockTime) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
