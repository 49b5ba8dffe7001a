//! What an embedder gives to a run: a judge of answers and two listeners.

use std::sync::Arc;

use guavawell_core::id::RequestId;

use crate::history::RequestHistory;
use crate::plan::RequestProfile;

/// A whole answer, as the caller saw it.
#[derive(Clone, Copy, Debug)]
pub struct AnswerSeen<'a> {
    /// The request, as the caller named it or the router minted it.
    pub request: Option<&'a RequestId>,
    /// The attempt that the router names in its answer.
    pub attempt: Option<&'a str>,
    /// The kind of request.
    pub profile: &'a RequestProfile,
    /// The prompt or body that was sent.
    pub prompt: &'a str,
    /// The output limit that was sent, in tokens; zero for plain services.
    pub max_tokens: u32,
    /// The answer's content, all parts joined.
    pub content: &'a str,
    /// Content events received; zero when the answer was not streamed.
    pub parts: u64,
    /// The usage that the answer states.
    pub usage: Option<AnswerUsage>,
}

/// Token use as an answer states it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AnswerUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
}

impl AnswerUsage {
    /// Prompt and answer together.
    #[must_use]
    pub const fn total(self) -> u64 {
        self.prompt_tokens + self.completion_tokens
    }
}

/// What a check says about an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The answer is the request's own and whole.
    Right,
    /// It is not, for this reason.
    Wrong(Box<str>),
}

/// Judges a whole answer; called from every client thread.
pub type AnswerCheck = Arc<dyn Fn(&AnswerSeen<'_>) -> AnswerVerdict + Send + Sync>;

/// Told once a second how the run goes.
pub type ProgressListener = Arc<dyn Fn(&LoadProgress) + Send + Sync>;

/// Told of each finished request; called from every client thread.
pub type HistoryListener = Arc<dyn Fn(&RequestHistory) + Send + Sync>;

/// How a run goes so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadProgress {
    /// Milliseconds since the start.
    pub elapsed_ms: u64,
    /// Requests begun.
    pub begun: u64,
    /// Requests finished in any way.
    pub finished: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests refused in the end.
    pub refused: u64,
}

/// What an embedder gives to a run.
#[derive(Clone)]
pub struct LoadHooks {
    /// Judges whole answers.
    pub check: AnswerCheck,
    /// Told once a second how the run goes, if set.
    pub progress: Option<ProgressListener>,
    /// Told of each finished request, if set.
    pub history: Option<HistoryListener>,
}

impl Default for LoadHooks {
    fn default() -> Self {
        Self {
            check: Arc::new(plain_check),
            progress: None,
            history: None,
        }
    }
}

/// The check used when the embedder gives none: the stated usage fits the
/// parts received and the limit.
#[must_use]
pub fn plain_check(answer: &AnswerSeen<'_>) -> AnswerVerdict {
    let Some(usage) = answer.usage else {
        return AnswerVerdict::Right;
    };
    if answer.max_tokens > 0 && usage.completion_tokens > u64::from(answer.max_tokens) {
        let message = format!(
            "{} tokens past the limit of {}",
            usage.completion_tokens, answer.max_tokens
        );
        return AnswerVerdict::Wrong(message.into());
    }
    if answer.parts > 0 && usage.completion_tokens != answer.parts {
        let message = format!(
            "{} parts, but a usage of {}",
            answer.parts, usage.completion_tokens
        );
        return AnswerVerdict::Wrong(message.into());
    }
    AnswerVerdict::Right
}
