//! Talks to operators: health, readiness, metrics, status and drain, on a port of its own.
//!
//! Owns the answers of that port. It never serves callers and changes nothing but
//! the start of a drain.

mod metric;
mod page;
mod status;

pub use metric::MetricsPage;
pub use page::OperatorPages;
pub use page::answer;
pub use status::DoubtLine;
pub use status::INSTANCE_PREFIX;
pub use status::InstanceRow;
pub use status::InstanceStatus;
pub use status::instance_key;
