//! Decides when claims of request ids may be deleted from the platform's table.
//!
//! Age is counted in generations instead of wall-clock time, because the clocks
//! of routers and platform may disagree. A generation ends once time spans
//! measured by single monotonic clocks add up to its length. Billing records
//! are never deleted here.

mod generation;
mod organisations;
mod pass;
mod scheduler;
mod settings;

pub use generation::AttemptStart;
pub use generation::GENERATION_KEY;
pub use generation::KEPT_GENERATIONS;
pub use generation::SWEEP_KEY;
pub use generation::may_sweep;
pub use organisations::CLAIM_PREFIX;
pub use organisations::OrganisationSweep;
pub use organisations::skip_covered;
pub use pass::KeyRevision;
pub use pass::PassStep;
pub use pass::plan_page;
pub use scheduler::GenerationRow;
pub use scheduler::RetentionEffect;
pub use scheduler::RetentionScheduler;
pub use scheduler::RetentionView;
pub use scheduler::RetentionWrite;
pub use scheduler::SweepRow;
pub use settings::RetentionSettings;
