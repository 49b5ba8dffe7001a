//! Newtypes for ids, numbers and token counts, with their text forms and
//! arithmetic.

mod number;
mod text;
mod tokens;

pub use number::AttemptId;
pub use number::ClaimGeneration;
pub use number::FenceNumber;
pub use number::IncarnationId;
pub use number::ManifestVersion;
pub use number::ShardId;
pub use number::SlotEpoch;
pub use text::BackendId;
pub use text::BudgetId;
pub use text::IdError;
pub use text::InstanceId;
pub use text::ModelId;
pub use text::OrganisationId;
pub use text::RegionId;
pub use text::RequestId;
pub use text::ServiceId;
pub use text::ZoneId;
pub use tokens::TokenCount;
