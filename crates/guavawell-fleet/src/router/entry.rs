//! Who asks, and with what head.

use guavawell_core::id::BudgetId;
use guavawell_core::id::ClaimGeneration;
use guavawell_core::id::OrganisationId;
use guavawell_core::limits::FairWeight;
use guavawell_core::manifest::FleetView;
use guavawell_core::manifest::KeyHash;
use guavawell_core::request::Refusal;
use guavawell_core::request::RefusalReason;
use guavawell_core::request::head::HeadFields;
use guavawell_core::request::head::ParsedHead;
use guavawell_core::retention::AttemptStart;
use http_types::Request;

/// Names the generation of claims in force in an answer, and in a request the
/// one in which its id was first used.
pub const GENERATION_HEADER: &str = "x-guavawell-generation";

/// A request whose caller is known and whose head is in order.
#[derive(Clone, Debug)]
pub struct CallerEntry {
    /// The checked head.
    pub head: ParsedHead,
    /// When this try of the request began.
    pub start: AttemptStart,
    /// The budget to draw on.
    pub budget: BudgetId,
    /// The organisation's weight in admission.
    pub weight: FairWeight,
}

impl CallerEntry {
    /// Reads the head of `request`, while `begun` is thought in force.
    ///
    /// # Errors
    ///
    /// A refusal: unknown key, bad header, unknown budget.
    pub fn read(
        view: &FleetView,
        request: &Request,
        begun: ClaimGeneration,
    ) -> Result<Self, Refusal> {
        let key = bearer_key(request).ok_or_else(|| {
            unauthorised("send `Authorization: Bearer KEY` with your organisation's key")
        })?;
        let organisation = view
            .organisation_by_key(&KeyHash::of(key.as_bytes()))
            .ok_or_else(|| unauthorised("the bearer key belongs to no organisation"))?;
        let fields = HeadFields {
            idempotency_key: header(request, "idempotency-key"),
            idempotent: header(request, "x-guavawell-idempotent"),
            budget: header(request, "x-guavawell-budget"),
            deadline: header(request, "x-guavawell-deadline-ms"),
            priority: header(request, "x-guavawell-priority"),
            generation: header(request, GENERATION_HEADER),
        };
        let id: OrganisationId = organisation.id.clone();
        let head = ParsedHead::parse(id, fields, fastrand::u128(..)).map_err(|faults| {
            Refusal::unattempted(RefusalReason::BadRequest, faults.to_string())
        })?;
        let budget = head
            .budget
            .clone()
            .unwrap_or_else(|| organisation.default_budget.clone());
        if organisation.budget(&budget).is_none() {
            let detail = format!("`{budget}` is no budget of `{}`", organisation.id);
            return Err(Refusal::unattempted(RefusalReason::UnknownBudget, detail));
        }
        let start = AttemptStart {
            started_in: begun,
            first_used_in: head.first_generation,
        };
        Ok(Self {
            head,
            start,
            budget,
            weight: FairWeight::new(organisation.weight),
        })
    }
}

fn unauthorised(detail: &str) -> Refusal {
    Refusal::unattempted(RefusalReason::Unauthorised, detail)
}

fn bearer_key(request: &Request) -> Option<&str> {
    let value = header(request, "authorization")?;
    let (scheme, key) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| key.trim())
        .filter(|key| !key.is_empty())
}

fn header<'r>(request: &'r Request, name: &str) -> Option<&'r str> {
    request.header(name).map(|values| values.last().as_str())
}
