//! A model engine: continuous batching, streams, records, orders.
//!
//! Owns the attempts and the models of one engine. It never judges a router: it
//! serves what comes, and the truth log tells what ran.

mod admit;
mod body;
mod cache;
mod content;
mod frame;
mod life;
mod orders;
mod routes;
mod schedule;
mod settings;
mod start;

pub use content::ChatMessage;
pub use content::ExpectedAnswer;
pub use content::expected_answer;
pub use orders::ModelEntry;
pub use settings::EngineSettings;
pub use start::Engine;
