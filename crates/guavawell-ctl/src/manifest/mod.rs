//! `manifest`: check, apply, show, history.

mod apply;
mod check;
mod history;
mod show;

pub use apply::apply;
pub use apply::commit;
pub use check::check;
pub use history::history;
pub use show::show;
