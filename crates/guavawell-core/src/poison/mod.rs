//! Requests that crash the servers that run them.
//!
//! Such a request comes again under another id, at any instance; each server
//! that begins to run it is lost with everything that it runs. A crash alone
//! says little: all requests at the server were lost with it, and machines,
//! racks and processes fail for other reasons too. So crashes count only in a
//! row: an attempt that began after a crash was known, and whose server crashed
//! as well, is evidence, and a complete answer takes all evidence back. A server's life ends once:
//! two instances that saw the same one crash saw one crash. A
//! popular request at three servers that fail together has one crash to its
//! name, and the next answer to it leaves none.
//!
//! What is believed is a [`SuspicionMark`] for each [`RequestFingerprint`]. Marks are
//! ordered and the greater one holds, so that instances may tell each other
//! theirs in any order, late, twice or not at all.
//!
//! This folder does no I/O and reads no clock.

mod fingerprint;
mod mark;
mod server;
mod shared;
mod table;

pub use fingerprint::FingerprintError;
pub use fingerprint::OrganisationTag;
pub use fingerprint::RequestFingerprint;
pub use mark::SuspicionMark;
pub use server::CrashedServers;
pub use server::ServerTag;
pub use shared::SharedSuspicion;
pub use shared::SuspicionList;
pub use table::MarkChange;
pub use table::PoisonSettings;
pub use table::PoisonTable;
pub use table::PoisonVerdict;
pub use table::SuspicionEntry;
