//! Problems found in an operator's file, collected with their location and
//! reported together.
//!
//! [`SourceText`] converts byte offsets to lines and columns. [`TableReader`]
//! reads one TOML table and adds each problem to a [`FindingList`]. Both are
//! independent of the meaning of the keys.

mod list;
mod nearest;
mod place;
mod problem;
mod reader;
mod source;
#[cfg(test)]
mod tests;

pub use list::Finding;
pub use list::FindingList;
pub use nearest::nearest_word;
pub use place::FindingPlace;
pub use place::PlacedValue;
pub use place::line_at;
pub use problem::FindingProblem;
pub use problem::ValueKind;
pub use reader::TableReader;
pub use source::SourceText;
