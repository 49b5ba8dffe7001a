//! Drives `guavawell_core::budget`: the slots that this router holds or witnesses.
//!
//! A [`SlotDriver`] tells holders and witnesses what happens and carries out
//! what they want done: answers, messages to other routers, transactions
//! against the table. It decides which slots to take and whom to name as a
//! witness; it never decides whether a token may be spent.

mod acquire;
mod answer;
mod bill;
mod directory;
mod driver;
mod link;
mod loss;
mod maintain;
mod resolve;
mod seat;
mod settle;
mod stopgap;
mod table;
#[cfg(test)]
mod tests;
mod toward;

pub use driver::SlotDriver;
pub use driver::SlotParts;
pub use driver::SlotTimes;
pub use link::LinkReply;
pub use link::PeerLink;
pub use resolve::OrphanedAttempt;
pub use resolve::ResolvedAttempt;
pub use settle::RunCharge;
pub use table::BaseLookup;
pub use table::BudgetBase;
pub use table::SlotTable;
