//! What the global ledger sees of attempts and answers.

use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::TokenPool;
use guavawell_core::id::TokenCount;

/// What became of one attempt, as the global ledger saw it.
#[derive(Clone, Debug)]
pub struct SeenAttempt {
    pub zone: usize,
    pub budget: usize,
    pub request: usize,
    pub amount: TokenCount,
    pub grant: Option<ReserveGrant>,
    pub charged: Option<TokenCount>,
    pub is_released: bool,
}

/// How often each kind of answer came.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerKinds {
    pub witnessed: u32,
    pub float: u32,
    pub joined: u32,
    pub billed: u32,
    pub exhausted: u32,
    pub unreachable: u32,
    /// Charges of attempts that an earlier holder granted.
    pub carried: u32,
    /// Rows with frozen tokens, counted at every step.
    pub frozen: u32,
}

impl AnswerKinds {
    pub const fn add(&mut self, other: &Self) {
        self.witnessed += other.witnessed;
        self.float += other.float;
        self.joined += other.joined;
        self.billed += other.billed;
        self.exhausted += other.exhausted;
        self.unreachable += other.unreachable;
        self.carried += other.carried;
        self.frozen += other.frozen;
    }

    pub const fn count(&mut self, answer: &ReserveAnswer) {
        match answer {
            ReserveAnswer::Granted(grant) => match grant.pool {
                TokenPool::Witnessed => self.witnessed += 1,
                TokenPool::Float => self.float += 1,
            },
            ReserveAnswer::Joined { .. } => self.joined += 1,
            ReserveAnswer::AlreadyBilled { .. } => self.billed += 1,
            ReserveAnswer::Exhausted { .. } => self.exhausted += 1,
            ReserveAnswer::Unreachable { .. } => self.unreachable += 1,
            _ => {}
        }
    }
}
