//! Clients of the platform: table service, object store, instance list.
//!
//! Owns the connections to the platform and the typed requests and answers.
//! It never decides what is written: each write is conditional, and its
//! answer says whether it was applied, was not, or is in doubt.

mod carried;
mod error;
mod exchange;
mod gate;
mod instances;
mod objects;
mod pool;
mod relay;
mod table;
mod txn;
mod wire;

pub use carried::CarriedAnswer;
pub use carried::CarriedAsk;
pub use carried::CarriedService;
pub use error::PlatformError;
pub use gate::WriteGate;
pub use instances::InstanceEntry;
pub use instances::InstanceList;
pub use objects::KeyPage;
pub use objects::ObjectPut;
pub use objects::Objects;
pub use pool::PoolSettings;
pub use relay::CarrierCall;
pub use relay::CarrierLink;
pub use table::Table;
pub use table::TableRead;
pub use txn::CompareSign;
pub use txn::OpAnswer;
pub use txn::TableCompare;
pub use txn::TableOp;
pub use txn::TableRow;
pub use txn::TableTxn;
pub use txn::TxnAnswer;
