//! What is in force at one router.
//!
//! Owns the rules by which a router learns versions and takes them into
//! force: from the table, or while that is away from its peers, and never
//! back. It asks for reads and loads by [`ConfigEffect`]; the fleet crate
//! carries them out and reports by [`ConfigEvent`].

mod event;
mod state;

pub use event::ConfigEffect;
pub use event::ConfigEvent;
pub use event::NotInForce;
pub use event::VersionInForce;
pub use event::VersionProof;
pub use state::ConfigCounts;
pub use state::ConfigSettings;
pub use state::ConfigState;
