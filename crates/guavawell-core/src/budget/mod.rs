//! Prepaid token budgets, and every decision whether a token may be spent.
//!
//! Each organisation belongs to a shard. A *slot* is one shard in one availability
//! zone. One router, the *holder*, decides which requests of the slot may spend
//! tokens. The table stores a row per budget, from which holders receive *grants*,
//! and a row per slot, which names the holder and its *witness*. The witness is a
//! second router that keeps a copy of the holder's ledger and takes the slot over
//! if the holder fails. The *float* is the part of a grant that the holder may
//! spend while it can't reach the witness. A *tenure* is the period in which one
//! holder holds the slot.
//!
//! The module performs no I/O and is deterministic: it reads no clock, opens no
//! socket, starts no thread and draws no random number.

mod account;
mod former;
mod holder;
mod intent;
mod ledger;
mod message;
mod record;
mod row;
mod slot;
mod witness;

pub use account::BudgetAccount;
pub use account::TenureCounters;
pub use former::FormerHolder;
pub use holder::AskId;
pub use holder::ChargeNotice;
pub use holder::HolderAnswer;
pub use holder::HolderEffect;
pub use holder::HolderEvent;
pub use holder::HolderNote;
pub use holder::HolderSettings;
pub use holder::SlotHolder;
pub use intent::ChangeKey;
pub use intent::GrantView;
pub use intent::OtherGrant;
pub use intent::ReportKey;
pub use intent::TableFailure;
pub use intent::TableIntent;
pub use ledger::ChargedAttempt;
pub use ledger::RequestEntry;
pub use ledger::RequestState;
pub use ledger::ReservedAttempt;
pub use ledger::SlotLedger;
pub use message::BackendAssignment;
pub use message::HandBackAnswer;
pub use message::HandBackRequest;
pub use message::IncarnationAnswer;
pub use message::ReleaseAnswer;
pub use message::ReleaseRequest;
pub use message::ReserveAnswer;
pub use message::ReserveGrant;
pub use message::ReserveRequest;
pub use message::SealAnswer;
pub use message::SealRequest;
pub use message::SettleAnswer;
pub use message::SettleRequest;
pub use message::TokenPool;
pub use record::HandoverAck;
pub use record::LedgerEntry;
pub use record::LedgerHandover;
pub use record::RecordStamp;
pub use record::RefusalReason;
pub use record::TakeoverRequest;
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
pub use row::RefundCharge;
pub use row::RowChange;
pub use row::RowError;
pub use row::TopUpId;
pub use slot::InstanceIncarnation;
pub use slot::SlotId;
pub use slot::SlotIdError;
pub use slot::SlotRow;
pub use slot::shard_of;
pub use witness::SlotWitness;
pub use witness::WitnessEffect;
pub use witness::WitnessEvent;
