//! Attempts as a backend server sees them: progress, records and retention.

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
