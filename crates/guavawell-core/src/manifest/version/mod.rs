//! The version row: what was accepted, on top of what, by whom and when.
//!
//! A manifest is accepted by one transaction that compares the version row
//! and writes it together with a row of history. Each row carries a digest of
//! its own content, so that an operator whose answer was lost can tell from
//! the history whose write took effect.
//!
//! It reads and writes nothing; `guavawell-fleet::config` does.

mod accept;
mod row;

pub use accept::VersionConflict;
pub use accept::VersionProposal;
pub use accept::VersionWord;
pub use row::VERSION_KEY;
pub use row::VersionRow;
pub use row::VersionRowError;
pub use row::history_key;
