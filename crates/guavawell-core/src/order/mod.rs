//! Orders to load and unload models, or to change an engine's role.
//!
//! An order is recorded in the table before it is sent, and the engine's state
//! is read before it is sent again. This module also limits concurrent loads
//! from the weight store and plans which engine holds which model.
//!
//! The module does no I/O. Its rules stay safe with engines that do not check
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
