//! Carries orders to model engines out: from the manifest in force, over the
//! table's rows, to the engines and back.
//!
//! What to order and when to send is decided in `guavawell_core::order`.

mod book;
mod driver;
mod picture;
mod run;
mod table;

pub use book::ModelBook;
pub use driver::OrderDriver;
pub use driver::OrderParts;
pub use run::OrderCounts;
pub use run::OrderPorts;
pub use run::OrderRun;
pub use run::OrderTarget;
pub use run::RunStep;
pub use table::OrderTable;
pub use table::StoredOrder;
pub use table::order_key;
