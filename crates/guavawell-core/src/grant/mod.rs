//! Budgets that are granted to instances and released over time.
//!
//! Each organisation has a *budget row* in the platform's store. It holds what
//! was paid and how much of it is granted to each instance. Each instance has a
//! *limit row*, which holds a *spend limit* for every budget that it uses: how
//! much the instance had spent at some time of the store's monotonic clock, and
//! at which rate it may spend from then on. An instance spends its grant only
//! up to this limit.
//!
//! An instance that cannot reach the store therefore keeps spending, and a
//! process that ended leaves behind a bound on what it can have spent. The next
//! process of the same instance, its next *boot*, returns the rest of the grant
//! to the budget. What the ended boot spent below its bound is unknown, so the
//! whole bound stays charged; the tokens in it that were not spent are
//! *frozen*. Grants do not expire.
//!
//! Safety rests on four rules, all of them covered by the searches in
//! `tests/grant_search`:
//!
//! - every write is conditional on the row's version;
//! - a write without an answer may have been applied or may be applied later, so
//!   the lowest of all grants and limits that may be in force applies;
//! - an instance's estimate of the store's time is never ahead of the store;
//! - the estimate of when the previous boot ended is never too early.
//!
//! In a large fleet only a few instances hold an organisation's tokens
//! (`holders`), and the others borrow tokens for each request (`loan`). A
//! lender counts lent tokens as spent until the borrower reports what became of
//! them. Each report is sent once, and only the boot that lent accepts it, so a
//! lost loan reduces what can be spent but never raises it.
//!
//! Nothing in this module does I/O or reads a clock.

mod answer;
mod codec;
mod demand;
mod early_share;
mod follow;
mod holders;
mod ledger;
mod limit;
mod loan;
mod pace;
mod plan;
mod question;
mod rate;
mod row;
mod settings;
mod spread;
mod store_clock;
mod tracked_row;

pub use answer::BudgetFacts;
pub use answer::ReserveAnswer;
pub use codec::CodecError;
pub use codec::decode_row;
pub use codec::encode_row;
pub use demand::DemandSettings;
pub use follow::FollowSettings;
pub use follow::FollowWindow;
pub use holders::FleetMember;
pub use holders::HolderRanking;
pub use holders::HolderSettings;
pub use ledger::GrantLedger;
pub use limit::ClosedBoot;
pub use limit::LimitRow;
pub use limit::SpendLimit;
pub use loan::LenderId;
pub use loan::LoanAnswer;
pub use loan::LoanRequest;
pub use loan::LoanReturn;
pub use loan::LoanScope;
pub use pace::PaceSettings;
pub use pace::WritePace;
pub use question::QuestionEnd;
pub use question::QuestionPace;
pub use question::QuestionSettings;
pub use question::QuestionTerms;
pub use question::WaitingTokens;
pub use rate::RateMeter;
pub use row::BudgetRow;
pub use row::HolderEntry;
pub use settings::LedgerSettings;
pub use spread::spread_over_zones;
pub use store_clock::StartBound;
pub use store_clock::StoreClock;
pub use tracked_row::TrackedRow;
