//! Proofs that a request was not run and never will be.

use super::attempt::UnsentAttempt;
use super::identity::RequestIdentity;

/// Proves that the request id is sealed in the table, so that no attempt of it
/// will ever run.
///
/// Only [`super::claim::ClaimStep::seal_proof`] creates one, after the table
/// confirmed the seal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealProof {
    identity: RequestIdentity,
}

/// Proves that a router minted the id and gave up its only attempt unsent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MintedProof {
    identity: RequestIdentity,
}

/// A proof that a request was not run and never will be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotRunProof {
    /// The id is sealed.
    Sealed(SealProof),
    /// The id was minted, and its only attempt was not sent.
    Minted(MintedProof),
}

impl SealProof {
    pub(super) const fn new(identity: RequestIdentity) -> Self {
        Self { identity }
    }
}

impl MintedProof {
    /// A proof for a minted id. Consumes its only attempt.
    ///
    /// # Errors
    ///
    /// Returns the attempt if the caller chose the id.
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
