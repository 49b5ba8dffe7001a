//! `retention`: show, sweep.

mod show;
mod sweep;

pub use show::show;
pub use sweep::sweep;
