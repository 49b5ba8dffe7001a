//! Forms of the time line: text for people, JSON lines for programs.
//!
//! It never reorders events or leaves one out.

mod json;
mod text;
mod time;

pub use json::event_json;
pub use json::summary_json;
pub use text::event_text;
pub use text::summary_text;
pub use time::time_text;
