//! Prepaid budgets: rows, slots, grants, witnesses, takeover and refill.
//!
//! Owns every decision about whether a token may be spent. Never reads a
//! clock, opens a socket, starts a thread or draws a random number.

mod account;
mod intent;
mod ledger;
mod message;
mod record;
mod row;
mod slot;

pub use account::BudgetAccount;
pub use account::TenureCounters;
pub use intent::GrantView;
pub use intent::OtherGrant;
pub use intent::TableFailure;
pub use intent::TableIntent;
pub use ledger::ChargedAttempt;
pub use ledger::HeldAttempt;
pub use ledger::RequestEntry;
pub use ledger::RequestState;
pub use ledger::SlotLedger;
pub use message::BackendNote;
pub use message::HandBackAnswer;
pub use message::HandBackAsk;
pub use message::LifeAnswer;
pub use message::ReleaseAnswer;
pub use message::ReleaseAsk;
pub use message::ReserveAnswer;
pub use message::ReserveAsk;
pub use message::ReserveGrant;
pub use message::SealAnswer;
pub use message::SealAsk;
pub use message::SettleAnswer;
pub use message::SettleAsk;
pub use message::TokenPool;
pub use record::HandoverAck;
pub use record::LedgerEntry;
pub use record::LedgerHandover;
pub use record::RecordStamp;
pub use record::RefusalReason;
pub use record::TakeoverAsk;
pub use record::WitnessAck;
pub use record::WitnessMessage;
pub use record::WitnessRecord;
pub use record::WitnessRefusal;
pub use row::BudgetGrant;
pub use row::BudgetRow;
pub use row::FormerUse;
pub use row::FrozenReclaim;
pub use row::FrozenReport;
pub use row::FrozenTokens;
pub use row::GrantChange;
pub use row::MAX_TOP_UPS;
pub use row::RowChange;
pub use row::RowError;
pub use row::TopUpId;
pub use slot::InstanceLife;
pub use slot::SlotId;
pub use slot::SlotRow;
pub use slot::shard_of;
