//! Parses the headers of a request.

use super::error::HeaderError;
use super::error::HeaderErrors;
use crate::clock::ClockSpan;
use crate::id::BudgetId;
use crate::id::ClaimGeneration;
use crate::id::OrganisationId;
use crate::request::identity::RequestIdentity;

/// The priority of a request without one.
const DEFAULT_PRIORITY: u8 = 5;
const MAX_PRIORITY: u8 = 9;

/// The raw header values; `None` if a header is absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadFields<'a> {
    /// `Idempotency-Key`.
    pub idempotency_key: Option<&'a str>,
    /// `X-Guavawell-Idempotent`.
    pub idempotent: Option<&'a str>,
    /// `X-Guavawell-Budget`.
    pub budget: Option<&'a str>,
    /// `X-Guavawell-Deadline-Ms`.
    pub deadline: Option<&'a str>,
    /// `X-Guavawell-Priority`.
    pub priority: Option<&'a str>,
    /// `X-Guavawell-Generation`.
    pub generation: Option<&'a str>,
}

/// The validated headers of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedHead {
    /// The identity under which the request is claimed, run and billed.
    pub identity: RequestIdentity,
    /// Whether the request may run more than once; `None` for the default.
    pub idempotent: Option<bool>,
    /// The budget to draw on; `None` for the organisation's default.
    pub budget: Option<BudgetId>,
    /// Time within which the first token has to arrive. The request is refused
    /// if that is not possible.
    pub deadline: Option<ClockSpan>,
    /// 0 to 9; higher priorities are served first.
    pub priority: u8,
    /// The generation in which the id was first used, according to the caller.
    pub first_generation: Option<ClaimGeneration>,
}

impl ParsedHead {
    /// Parses the headers of a request of `organisation`. `number`, drawn at
    /// random, becomes the request id if the caller sent none.
    ///
    /// # Errors
    ///
    /// Returns all errors that were found.
    pub fn parse(
        organisation: OrganisationId,
        fields: HeadFields<'_>,
        number: u128,
    ) -> Result<Self, HeaderErrors> {
        let mut errors = Vec::new();
        let identity = match fields.idempotency_key {
            None => Some(RequestIdentity::mint(organisation, number)),
            Some(text) => collect_error(
                RequestIdentity::from_caller(organisation, text),
                &mut errors,
            ),
        };
        let idempotent = parse_field(fields.idempotent, HeaderError::Idempotent, &mut errors);
        let budget = match fields.budget.map(str::parse) {
            None => None,
            Some(parsed) => collect_error(parsed.map_err(HeaderError::Budget), &mut errors),
        };
        let deadline: Option<u64> =
            parse_field(fields.deadline, HeaderError::Deadline, &mut errors);
        let priority = parse_priority(fields.priority, &mut errors);
        let first_generation = parse_field(fields.generation, HeaderError::Generation, &mut errors);
        match identity {
            Some(identity) if errors.is_empty() => Ok(Self {
                identity,
                idempotent,
                budget,
                deadline: deadline.map(ClockSpan::from_millis),
                priority,
                first_generation,
            }),
            _ => Err(HeaderErrors { errors }),
        }
    }
}

fn collect_error<T, E: Into<HeaderError>>(
    result: Result<T, E>,
    errors: &mut Vec<HeaderError>,
) -> Option<T> {
    result.map_err(|error| errors.push(error.into())).ok()
}

fn parse_field<T: std::str::FromStr>(
    text: Option<&str>,
    make_error: impl FnOnce(Box<str>) -> HeaderError,
    errors: &mut Vec<HeaderError>,
) -> Option<T> {
    let text = text?;
    let parsed = text.trim().parse();
    if parsed.is_err() {
        errors.push(make_error(text.into()));
    }
    parsed.ok()
}

fn parse_priority(text: Option<&str>, errors: &mut Vec<HeaderError>) -> u8 {
    let priority: Option<u8> = parse_field(text, HeaderError::Priority, errors);
    match priority {
        Some(priority) if priority > MAX_PRIORITY => {
            errors.push(HeaderError::Priority(priority.to_string().into()));
            DEFAULT_PRIORITY
        }
        priority => priority.unwrap_or(DEFAULT_PRIORITY),
    }
}
