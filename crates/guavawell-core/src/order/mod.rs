//! Orders to model engines: recorded first, one issuer at a time, read back
//! before any second send; weight-store permits; placement.
//!
//! This folder decides; it sends nothing. It never trusts that an engine checks
//! fencing numbers.

mod issue;
mod permit;
mod placement;
mod row;

pub use issue::IssueEffect;
pub use issue::IssueEvent;
pub use issue::IssueOutcome;
pub use issue::OrderIssuer;
pub use issue::OrderSettings;
pub use issue::SendResult;
pub use issue::WriteResult;
pub use permit::LoadPermit;
pub use permit::PermitRow;
pub use permit::PermitSettings;
pub use placement::PlacementEngine;
pub use placement::PlacementGoal;
pub use placement::PlacementOrder;
pub use placement::plan;
pub use row::EngineReading;
pub use row::IssuerId;
pub use row::OrderKind;
pub use row::OrderRow;
