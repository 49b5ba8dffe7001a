//! Identifies a request by its organisation and its request id.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::id::IdError;
use crate::id::OrganisationId;
use crate::id::RequestId;

/// The prefix of request ids that routers mint; callers may not use it.
///
/// A minted id has exactly one attempt. If a caller could send a request under
/// such an id, the request could run after a refusal with `not_run`.
pub const MINTED_PREFIX: &str = "minted:";

/// Why a caller's request id is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum IdentityError {
    /// The text is not a valid id.
    #[error("Idempotency-Key: {0}")]
    BadId(#[from] IdError),
    /// The text begins with [`MINTED_PREFIX`].
    #[error(
        "Idempotency-Key: `{0}` begins with `{MINTED_PREFIX}`, which routers keep for ids of their own"
    )]
    Reserved(Box<str>),
}

/// The identity under which a request is claimed, run and billed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestIdentity {
    /// The organisation that pays.
    pub organisation: OrganisationId,
    /// The request id, unique within the organisation.
    pub request: RequestId,
    /// Whether a router minted the id, so that no other attempt can exist.
    pub minted: bool,
}

impl RequestIdentity {
    /// The identity of a request whose caller chose `text` as its id.
    ///
    /// # Errors
    ///
    /// Fails if `text` is not a valid id, or begins with [`MINTED_PREFIX`].
    pub fn from_caller(organisation: OrganisationId, text: &str) -> Result<Self, IdentityError> {
        let request: RequestId = text.parse()?;
        if text.starts_with(MINTED_PREFIX) {
            return Err(IdentityError::Reserved(text.into()));
        }
        Ok(Self {
            organisation,
            request,
            minted: false,
        })
    }

    /// The identity of a request whose caller sent no id. The router draws
    /// `number` at random.
    ///
    /// # Panics
    ///
    /// Never: the text consists of allowed characters only.
    #[must_use]
    pub fn mint(organisation: OrganisationId, number: u128) -> Self {
        let text = format!("{MINTED_PREFIX}{number:032x}");
        let request = text.parse().expect("a minted id is a valid id");
        Self {
            organisation,
            request,
            minted: true,
        }
    }
}

impl fmt::Display for RequestIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.organisation, self.request)
    }
}
