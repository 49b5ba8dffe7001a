//! Proofs that a request was not run and will not be.

use super::attempt::UnsentAttempt;
use super::identity::RequestIdentity;

/// The request's id is sealed in the table: no attempt of it runs any more.
///
/// Only the claim's state machine makes one, from the table's own answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealProof {
    identity: RequestIdentity,
}

/// A router minted the id and gave up its one attempt unsent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MintedProof {
    identity: RequestIdentity,
}

/// What makes `not_run` true.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotRunProof {
    /// The id is sealed.
    Sealed(SealProof),
    /// The id was minted and its one attempt not sent.
    Minted(MintedProof),
}

impl SealProof {
    pub(super) const fn new(identity: RequestIdentity) -> Self {
        Self { identity }
    }
}

impl MintedProof {
    /// A proof for a minted id, which consumes its one attempt.
    ///
    /// # Errors
    ///
    /// Gives the attempt back if the caller chose the id.
    pub fn new(identity: &RequestIdentity, unsent: UnsentAttempt) -> Result<Self, UnsentAttempt> {
        if !identity.minted {
            return Err(unsent);
        }
        Ok(Self {
            identity: identity.clone(),
        })
    }
}

impl NotRunProof {
    /// The request that was not run.
    #[must_use]
    pub const fn identity(&self) -> &RequestIdentity {
        match self {
            Self::Sealed(proof) => &proof.identity,
            Self::Minted(proof) => &proof.identity,
        }
    }
}

impl From<SealProof> for NotRunProof {
    fn from(proof: SealProof) -> Self {
        Self::Sealed(proof)
    }
}

impl From<MintedProof> for NotRunProof {
    fn from(proof: MintedProof) -> Self {
        Self::Minted(proof)
    }
}
