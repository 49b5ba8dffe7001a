//! What both ends saw.

use guavawell_core::budget::BudgetRow;
use guavawell_core::id::BudgetId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::TokenCount;
use guavawell_load::history::RequestHistory;
use guavawell_standin::AttemptPhase;
use guavawell_standin::truth::TruthRun;

/// One run at a backend server, by its own log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// The attempt.
    pub attempt: Box<str>,
    /// The organisation.
    pub organisation: Box<str>,
    /// The request id.
    pub request: Box<str>,
    /// Whether it ended whole.
    pub is_whole: bool,
    /// Tokens of prompt and answer.
    pub tokens: u64,
}

impl RunRecord {
    /// A model engine's run: it costs the tokens that the engine counted.
    #[must_use]
    pub fn of_engine(run: TruthRun) -> Self {
        let tokens = run.prompt_tokens + run.completion_tokens;
        Self::with_tokens(run, tokens)
    }

    /// A plain service's run: it costs what the manifest says.
    #[must_use]
    pub fn of_service(run: TruthRun, cost: u64) -> Self {
        Self::with_tokens(run, cost)
    }

    fn with_tokens(run: TruthRun, tokens: u64) -> Self {
        Self {
            attempt: run.attempt.to_string().into(),
            organisation: run.organisation.unwrap_or_default(),
            request: run.request.unwrap_or_default(),
            is_whole: run.state == AttemptPhase::Done,
            tokens,
        }
    }
}

/// One budget, as the platform's table has it in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetEvidence {
    /// The budget.
    pub budget: BudgetId,
    /// The organisation that paid.
    pub organisation: OrganisationId,
    /// What it paid.
    pub paid: TokenCount,
    /// The row; absent if it was never drawn on.
    pub row: Option<BudgetRow>,
}

/// Everything that a verdict rests on.
#[derive(Clone, Debug, Default)]
pub struct RunEvidence {
    /// What each caller saw.
    pub histories: Vec<RequestHistory>,
    /// What the backend servers ran.
    pub runs: Vec<RunRecord>,
    /// The budgets.
    pub budgets: Vec<BudgetEvidence>,
}
