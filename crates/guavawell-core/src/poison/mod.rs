//! Detection of poison requests: requests that crash the servers that run them.
//!
//! A client retries such a request under a new id, at any instance. Each server
//! that starts to run it crashes, and with it every other request on that
//! server. One crash is weak evidence: all requests on the server failed
//! together, and machines, racks and processes fail for other reasons too.
//! Therefore only consecutive crashes count: an attempt counts if it started
//! after the previous crash was known and its own server crashed as well. A
//! complete answer resets the count. A crash that several instances observe
//! counts once, because one incarnation of a server, from its start to its end,
//! can crash only once. If three servers that run a popular request fail together, its count is one, and the next
//! answer resets it to zero.
//!
//! The state per [`RequestFingerprint`] is a [`SuspicionMark`]. Marks are
//! ordered and the greater of two wins, so instances can exchange them in any
//! order, late, repeatedly or not at all.
//!
//! Requests that are not alike may crash servers because of one part of their prompts.
//! Crashes and good answers are counted for each part ([`PartTable`]); a part that is to
//! blame gets the mark of a request that is refused. Crashes alone do not show that it is
//! to blame, so requests with it are tried from time to time ([`PartTrials`]).
//!
//! This module does no I/O and reads no clock.

mod fingerprint;
mod mark;
mod part;
mod server;
mod shared;
mod table;
mod trial;

pub use fingerprint::FingerprintError;
pub use fingerprint::OrganisationTag;
pub use fingerprint::RequestFingerprint;
pub use mark::SuspicionMark;
pub use part::GoodCount;
pub use part::PartSettings;
pub use part::PartTable;
pub use part::PartVerdict;
pub use server::CrashedServers;
pub use server::ServerTag;
pub use shared::SharedSuspicion;
pub use shared::SuspicionList;
pub use table::MarkChange;
pub use table::PoisonSettings;
pub use table::PoisonTable;
pub use table::PoisonVerdict;
pub use table::SuspicionEntry;
pub use trial::PartTrials;
pub use trial::TrialSettings;
