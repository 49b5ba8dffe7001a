//! An attempt before its first byte, with the claim that it may hold.

use guavawell_core::id::AttemptId;
use guavawell_core::request::Refusal;
use guavawell_core::request::RefusalReason;
use guavawell_core::request::SentAttempt;
use guavawell_core::request::UnsentAttempt;
use guavawell_core::request::claim::needs_claim;

use super::attempt::OutgoingCall;
use super::core::RouterCore;
use super::entry::CallerEntry;
use crate::claim::ClaimAnswer;
use crate::claim::HeldClaim;
use crate::claim::RefusalCause;

/// An attempt that may be sent now.
#[derive(Debug)]
pub enum ReadyAttempt {
    /// It needs no claim.
    Free(UnsentAttempt),
    /// It holds the claim of its request.
    Claimed(HeldClaim),
    /// It may have run at a backend server that can no longer be asked; an
    /// idempotent request may run again.
    Doubtful(SentAttempt),
}

/// What is left of a [`ReadyAttempt`] once it is sent.
#[derive(Debug)]
pub struct UnderwayAttempt {
    sent: SentAttempt,
    /// The claim's revision, if it holds one.
    claimed: Option<u64>,
    /// Whether an earlier exchange may have run it.
    is_doubtful: bool,
}

impl ReadyAttempt {
    /// Claims the attempt, if its request has to be claimed.
    ///
    /// # Errors
    ///
    /// The refusal, if another attempt holds the id, the id is sealed, or the
    /// table cannot confirm.
    pub async fn claim(
        core: &RouterCore,
        entry: &CallerEntry,
        call: &OutgoingCall,
        id: AttemptId,
    ) -> Result<Self, Refusal> {
        let identity = &entry.head.identity;
        let unsent = UnsentAttempt::new(id);
        if !needs_claim(identity, call.idempotent) {
            return Ok(Self::Free(unsent));
        }
        match core.claims.claim(identity, unsent, entry.start).await {
            ClaimAnswer::Held(claim) => Ok(Self::Claimed(claim)),
            ClaimAnswer::Refused(refusal) => Err(refusal),
            ClaimAnswer::TakenBy { row, .. } => {
                let detail = format!(
                    "attempt {} of router {} holds the request id",
                    row.attempt, row.router.instance
                );
                Err(Refusal::unknown(RefusalReason::AlreadyRan, detail))
            }
        }
    }

    /// Marks the attempt as sent, just before its first byte.
    #[must_use]
    pub fn send(self) -> UnderwayAttempt {
        match self {
            Self::Free(unsent) => UnderwayAttempt {
                sent: unsent.send(),
                claimed: None,
                is_doubtful: false,
            },
            Self::Claimed(claim) => UnderwayAttempt {
                sent: claim.attempt.send(),
                claimed: Some(claim.revision),
                is_doubtful: false,
            },
            Self::Doubtful(sent) => UnderwayAttempt {
                sent,
                claimed: None,
                is_doubtful: true,
            },
        }
    }

    /// Refuses the attempt, which is given up with its claim.
    pub async fn refuse(
        self,
        core: &RouterCore,
        entry: &CallerEntry,
        cause: &RefusalCause,
    ) -> Refusal {
        let identity = &entry.head.identity;
        match self {
            Self::Free(unsent) => {
                let claims = &core.claims;
                claims
                    .refuse(identity, true, unsent, entry.start, cause)
                    .await
            }
            Self::Claimed(claim) => core.claims.refuse_held(identity, claim, cause).await,
            // Another server refused it, but an earlier one may have run it.
            Self::Doubtful(_) => {
                let refusal = Refusal::unknown(cause.reason, cause.detail.clone());
                match cause.retry_after {
                    Some(span) => refusal.after(span),
                    None => refusal,
                }
            }
        }
    }
}

impl UnderwayAttempt {
    /// The attempt as ready again, although it may have run: only for an
    /// idempotent request.
    #[must_use]
    pub fn in_doubt(self) -> ReadyAttempt {
        ReadyAttempt::Doubtful(self.sent)
    }

    /// The attempt as ready again, where the exchange proves that it did not
    /// run. An earlier exchange that proved nothing keeps it in doubt.
    #[must_use]
    pub fn certainly_not_run(self) -> ReadyAttempt {
        if self.is_doubtful {
            return ReadyAttempt::Doubtful(self.sent);
        }
        let attempt = self.sent.certainly_not_run();
        match self.claimed {
            None => ReadyAttempt::Free(attempt),
            Some(revision) => ReadyAttempt::Claimed(HeldClaim { attempt, revision }),
        }
    }
}
