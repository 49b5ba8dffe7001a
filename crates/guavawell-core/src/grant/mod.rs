//! Budgets that are granted to instances and unlocked by time.
//!
//! An organisation's row in the platform's store holds what was paid and how
//! much of it each instance was *granted*. An instance may spend of its grant
//! only up to its *line*, a second row that says how much it had spent at some
//! time of the store's steady clock, and at which rate it may spend since.
//! So an instance that is cut off from the store goes on spending, and one that
//! died leaves behind a bound on what it can have spent: the next boot of the
//! same instance frees the rest. No grant ends by time.
//!
//! Safety rests on four rules, each searched exhaustively in
//! `tests/grant_search`:
//!
//! - every write is conditional on the row's version;
//! - a write whose answer is missing may stand, or land later, so the lowest of
//!   all lines and grants that may be in force binds;
//! - an instance's idea of the store's time is never ahead of it;
//! - a successor's bound on its predecessor's end is never before it.
//!
//! In a large fleet a few instances hold an organisation's tokens (`holders`),
//! and the others borrow for each request (`loan`). Lent tokens are spent for
//! their lender until the borrower accounts for them, once and to that life of
//! the lender alone, so a loan that is lost makes less of a budget, never more.
//!
//! This folder does no I/O and reads no clock.

mod answer;
mod book;
mod codec;
mod early;
mod follow;
mod holders;
mod line;
mod loan;
mod pace;
mod plan;
mod rate;
mod row;
mod store_clock;
mod version;

pub use answer::BudgetFacts;
pub use answer::ReserveAnswer;
pub use book::BookSettings;
pub use book::GrantBook;
pub use codec::CodecError;
pub use codec::decode_row;
pub use codec::encode_row;
pub use follow::FollowSettings;
pub use follow::FollowWindow;
pub use holders::FleetMember;
pub use holders::HolderRanking;
pub use holders::HolderSettings;
pub use line::ClosedBoot;
pub use line::LineRow;
pub use line::SpendLine;
pub use loan::LenderId;
pub use loan::LoanAnswer;
pub use loan::LoanAsk;
pub use loan::LoanReturn;
pub use loan::LoanScope;
pub use pace::PaceSettings;
pub use pace::WritePace;
pub use rate::RateMeter;
pub use row::BudgetRow;
pub use row::HolderEntry;
pub use store_clock::StartBound;
pub use store_clock::StoreClock;
pub use version::RowVersions;
