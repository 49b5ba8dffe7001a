//! A model engine: continuous batching, streams, records, orders.

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
