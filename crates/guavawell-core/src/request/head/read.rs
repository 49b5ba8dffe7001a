//! Reads a request's head.

use super::fault::HeadFault;
use super::fault::HeadFaults;
use crate::clock::ClockSpan;
use crate::id::BudgetId;
use crate::id::ClaimGeneration;
use crate::id::OrganisationId;
use crate::request::identity::RequestIdentity;

/// The priority of a request that names none.
const DEFAULT_PRIORITY: u8 = 5;
const MAX_PRIORITY: u8 = 9;

/// The raw header values, `None` where a header is absent.
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

/// A checked head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadAsk {
    /// Under what the request is claimed, run and billed.
    pub identity: RequestIdentity,
    /// Whether it may run more than once; `None` leaves it to the default.
    pub idempotent: Option<bool>,
    /// The budget to draw on; `None` for the organisation's default.
    pub budget: Option<BudgetId>,
    /// Refuse what cannot give its first token within this span.
    pub deadline: Option<ClockSpan>,
    /// 0 to 9; higher goes first.
    pub priority: u8,
    /// The generation in which the id was first used, by its caller's word.
    pub first: Option<ClaimGeneration>,
}

impl HeadAsk {
    /// Checks a head of `organisation`; `number`, drawn at random, becomes the
    /// request id if the caller sent none.
    ///
    /// # Errors
    ///
    /// Every fault that was found.
    pub fn parse(
        organisation: OrganisationId,
        fields: HeadFields<'_>,
        number: u128,
    ) -> Result<Self, HeadFaults> {
        let mut faults = Vec::new();
        let identity = match fields.idempotency_key {
            None => Some(RequestIdentity::mint(organisation, number)),
            Some(text) => keep(
                RequestIdentity::from_caller(organisation, text),
                &mut faults,
            ),
        };
        let idempotent = read(fields.idempotent, HeadFault::Idempotent, &mut faults);
        let budget = match fields.budget.map(str::parse) {
            None => None,
            Some(parsed) => keep(parsed.map_err(HeadFault::Budget), &mut faults),
        };
        let deadline: Option<u64> = read(fields.deadline, HeadFault::Deadline, &mut faults);
        let priority = read_priority(fields.priority, &mut faults);
        let first = read(fields.generation, HeadFault::Generation, &mut faults);
        match identity {
            Some(identity) if faults.is_empty() => Ok(Self {
                identity,
                idempotent,
                budget,
                deadline: deadline.map(ClockSpan::from_millis),
                priority,
                first,
            }),
            _ => Err(HeadFaults { faults }),
        }
    }
}

fn keep<T, E: Into<HeadFault>>(result: Result<T, E>, faults: &mut Vec<HeadFault>) -> Option<T> {
    result.map_err(|error| faults.push(error.into())).ok()
}

fn read<T: std::str::FromStr>(
    text: Option<&str>,
    fault: impl FnOnce(Box<str>) -> HeadFault,
    faults: &mut Vec<HeadFault>,
) -> Option<T> {
    let text = text?;
    let parsed = text.trim().parse();
    if parsed.is_err() {
        faults.push(fault(text.into()));
    }
    parsed.ok()
}

fn read_priority(text: Option<&str>, faults: &mut Vec<HeadFault>) -> u8 {
    let priority: Option<u8> = read(text, HeadFault::Priority, faults);
    match priority {
        Some(priority) if priority > MAX_PRIORITY => {
            faults.push(HeadFault::Priority(priority.to_string().into()));
            DEFAULT_PRIORITY
        }
        priority => priority.unwrap_or(DEFAULT_PRIORITY),
    }
}
