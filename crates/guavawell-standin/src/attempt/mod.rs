//! Attempts as a backend server sees them: progress, records and retention.
//!
//! Owns what is remembered of an attempt, so that none is begun twice. It runs
//! none: `engine` and `service` do.

mod entry;
mod refusal;
mod registry;

pub(crate) use entry::AttemptEntry;
pub use entry::AttemptPhase;
pub use entry::AttemptRecord;
pub(crate) use entry::AttemptSource;
pub(crate) use entry::AttemptView;
pub(crate) use refusal::refuse_known;
pub(crate) use registry::AttemptRegistry;
