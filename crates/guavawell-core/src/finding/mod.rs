//! Findings about an operator's file, collected with their place and reported
//! together.
//!
//! [`SourceText`] turns byte offsets into lines and columns, [`TableReader`]
//! reads one TOML table and notes every problem in a [`FindingList`]. The
//! manifest and the router's settings share them. Nothing here knows what the
//! keys mean.

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
