//! One kind of request in the mix.

use std::fmt;
use std::str::FromStr;

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::BudgetId;
use guavawell_core::id::ModelId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::ServiceId;
use thiserror::Error;

/// A range of sizes, both ends included, written `8` or `8..64`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizeRange {
    /// The least size.
    pub low: u32,
    /// The greatest size.
    pub high: u32,
}

/// Why a text is not a range of sizes.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no range of sizes; write `64` or `16..256`, the lower end first")]
pub struct RangeError(Box<str>);

impl SizeRange {
    /// A range of one size.
    #[must_use]
    pub const fn exactly(size: u32) -> Self {
        Self {
            low: size,
            high: size,
        }
    }

    /// One size out of the range.
    #[must_use]
    pub fn draw(self, random: &mut fastrand::Rng) -> u32 {
        random.u32(self.low..=self.high)
    }
}

impl FromStr for SizeRange {
    type Err = RangeError;

    fn from_str(text: &str) -> Result<Self, RangeError> {
        let (low, high) = text.split_once("..").unwrap_or((text, text));
        let range = match (low.trim().parse(), high.trim().parse()) {
            (Ok(low), Ok(high)) => Self { low, high },
            _ => return Err(RangeError(text.into())),
        };
        if range.low > range.high {
            return Err(RangeError(text.into()));
        }
        Ok(range)
    }
}

impl fmt::Display for SizeRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.low == self.high {
            write!(formatter, "{}", self.low)
        } else {
            write!(formatter, "{}..{}", self.low, self.high)
        }
    }
}

/// A call to a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatCall {
    /// The model or adapter.
    pub model: ModelId,
    /// Prompt size in bytes (four bytes count as one token).
    pub prompt_bytes: SizeRange,
    /// Output limit in tokens.
    pub max_tokens: SizeRange,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// The service.
    pub service: ServiceId,
    /// The path below the service, without a leading slash.
    pub path: Box<str>,
    /// Body size in bytes.
    pub body_bytes: SizeRange,
}

/// What is called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A model.
    Chat(ChatCall),
    /// A plain service.
    Service(ServiceCall),
}

/// One kind of request in the mix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestProfile {
    /// Name in reports and histories.
    pub name: Box<str>,
    /// Share of this profile in the mix, relative to the others.
    pub weight: u32,
    /// The organisation, for histories and reports; the key alone tells a
    /// router whose request it is.
    pub organisation: Option<OrganisationId>,
    /// The organisation's bearer key; empty sends none.
    pub key: Box<str>,
    /// What is called.
    pub call: CallKind,
    /// `false` marks the request as non-idempotent.
    pub idempotent: bool,
    /// Whether the caller sends an `Idempotency-Key`.
    pub request_id: bool,
    /// The budget to draw on, if not the organisation's default.
    pub budget: Option<BudgetId>,
    /// The deadline for the first token, if any.
    pub deadline: Option<ClockSpan>,
    /// The priority, 0 to 9, if not the default.
    pub priority: Option<u8>,
}

impl Default for RequestProfile {
    fn default() -> Self {
        Self {
            name: "chat".into(),
            weight: 1,
            organisation: None,
            key: Box::default(),
            call: CallKind::Chat(ChatCall::default()),
            idempotent: true,
            request_id: true,
            budget: None,
            deadline: None,
            priority: None,
        }
    }
}

impl Default for ChatCall {
    fn default() -> Self {
        Self {
            model: "m".parse().expect("a constant id"),
            prompt_bytes: SizeRange::exactly(64),
            max_tokens: SizeRange::exactly(16),
            stream: true,
        }
    }
}
