//! Talks to operators: health, readiness, metrics, status and drain, on a port of its own.

mod metric;
mod page;

pub use metric::MetricsPage;
pub use page::OperatorPages;
pub use page::answer;
