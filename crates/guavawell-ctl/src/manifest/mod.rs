//! `manifest`: check, apply, show, history.
//!
//! Carries an operator's file to the platform; what holds in one is decided in
//! `guavawell_core::manifest`.

mod apply;
mod check;
mod history;
mod show;

pub use apply::apply;
pub use apply::commit;
pub use check::check;
pub use history::history;
pub use show::show;
