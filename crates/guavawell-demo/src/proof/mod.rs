//! Whether the promises were kept, judged from evidence of both ends.
//!
//! Callers' histories stand on one side, the backend servers' own logs and the
//! platform's table on the other. What routers say of themselves does not count.

mod evidence;
mod verdict;

pub use evidence::BudgetEvidence;
pub use evidence::RunEvidence;
pub use evidence::RunRecord;
pub use verdict::DemoReport;
pub use verdict::PromiseCount;
pub use verdict::judge;
