//! How long the fleet keeps what it writes to the platform.
//!
//! Decides what may be deleted and when. It never trusts a wall clock: age is
//! counted in generations, and a generation ends only after spans that single
//! monotonic clocks saw pass. Billing evidence is never deleted here.

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
