//! Load and experiments against a guavawell fleet or one model engine.
//!
//! [`run`] carries out a [`LoadPlan`]: open-loop arrivals at a rate or a
//! closed loop over a number of connections, a mix of request profiles, and
//! retries as real callers do. The embedder judges answers and follows the
//! run through [`LoadHooks`]; the result is a [`LoadReport`].

pub mod args;
pub mod budget;
pub mod command;
pub mod compare;
pub mod exit;
pub mod history;
pub mod hooks;
pub mod measure;
pub mod plan;
pub mod report;

mod caller;
mod client;
mod runner;

pub use hooks::AnswerCheck;
pub use hooks::AnswerSeen;
pub use hooks::AnswerVerdict;
pub use hooks::LoadHooks;
pub use hooks::LoadProgress;
pub use plan::LoadPlan;
pub use report::LoadReport;
pub use runner::LoadError;
pub use runner::run;
