//! How long the fleet keeps what it writes to the platform.
//!
//! Decides what may be deleted and when. It never trusts a wall clock: age is
//! counted in generations, and a generation ends only after spans that single
//! monotonic clocks saw pass. Billing evidence is never deleted here.

mod age;
mod generation;
mod pass;
mod settings;
mod tour;

pub use age::GenerationRow;
pub use age::KeeperEffect;
pub use age::KeeperWrite;
pub use age::RetentionKeeper;
pub use age::RetentionView;
pub use age::SweepRow;
pub use generation::GENERATION_KEY;
pub use generation::KEPT_GENERATIONS;
pub use generation::SWEEP_KEY;
pub use generation::TryStart;
pub use generation::may_sweep;
pub use pass::AgedKey;
pub use pass::PassStep;
pub use pass::plan_page;
pub use settings::RetentionSettings;
pub use tour::CLAIM_PREFIX;
pub use tour::SweepTour;
pub use tour::step_over;
