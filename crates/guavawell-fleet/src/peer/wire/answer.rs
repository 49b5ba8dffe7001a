//! Replies.

use guavawell_core::budget::HandBackAnswer;
use guavawell_core::budget::IncarnationAnswer;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::ReleaseAnswer;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::SealAnswer;
use guavawell_core::budget::SettleAnswer;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::TokenCount;

use super::WireError;
use super::page;
use super::relay;
use super::value::backend_text;
use super::value::read_attempt;
use super::value::read_backend;
use super::value::read_charge;
use super::value::read_grant;
use super::value::read_life;
use super::value::write_attempt;
use super::value::write_charge;
use super::value::write_grant;
use super::value::write_life;
use super::witness;
use crate::peer::message::PeerRefusal;
use crate::peer::message::PeerReply;
use crate::peer_capnp::Refusal;
use crate::peer_capnp::answer;
use crate::peer_capnp::hand_back_answer;
use crate::peer_capnp::life;
use crate::peer_capnp::release_answer;
use crate::peer_capnp::reserve_answer;
use crate::peer_capnp::seal_answer;
use crate::peer_capnp::settle_answer;

/// Writes a reply; the call's number is the batch's business.
pub fn write_answer(mut builder: answer::Builder<'_>, reply: &PeerReply) {
    match reply {
        PeerReply::Reserve(answer) => write_reserve(builder.init_reserve(), answer),
        PeerReply::Settle(answer) => write_settle(builder.init_settle(), answer),
        PeerReply::Release(answer) => write_release(builder.init_release(), answer),
        PeerReply::Seal(answer) => write_seal(builder.init_seal(), answer),
        PeerReply::HandBack(answer) => write_hand_back(builder.init_hand_back(), answer),
        PeerReply::Ack(ack) => witness::write_ack(builder.init_ack(), ack),
        PeerReply::Refusal(refusal) => witness::write_refusal(builder.init_refusal(), refusal),
        PeerReply::HandoverAck(ack) => {
            witness::write_handover_ack(builder.init_handover_ack(), ack);
        }
        PeerReply::Life(answer) => builder.set_life(answer.incarnation.get()),
        PeerReply::Version(row) => page::write_version(builder, row.as_ref()),
        PeerReply::Pages(pages) => page::write_pages(builder, pages),
        PeerReply::Relay(answer) => relay::write_answer(builder.init_relay(), answer),
        PeerReply::Accepted => builder.set_accepted(()),
        PeerReply::Refused(refusal) => builder.set_refused(write_refused(*refusal)),
    }
}

const fn write_refused(refusal: PeerRefusal) -> Refusal {
    match refusal {
        PeerRefusal::Unsupported => Refusal::Unsupported,
        PeerRefusal::Malformed => Refusal::Malformed,
        PeerRefusal::Overloaded => Refusal::Overloaded,
    }
}

fn write_reserve(mut builder: reserve_answer::Builder<'_>, answer: &ReserveAnswer) {
    match answer {
        ReserveAnswer::Granted(grant) => write_grant(builder.init_granted(), grant),
        ReserveAnswer::Joined {
            attempt,
            router,
            backend,
        } => {
            let mut joined = builder.init_joined();
            write_attempt(joined.reborrow().init_attempt(), *attempt);
            write_life(joined.reborrow().init_router(), router);
            joined.set_backend(backend_text(backend.as_ref()));
        }
        ReserveAnswer::AlreadyBilled {
            attempt,
            charged,
            backend,
        } => {
            let charge = builder.init_already_billed();
            write_charge(charge, *attempt, *charged, backend.as_ref());
        }
        ReserveAnswer::Sealed => builder.set_sealed(()),
        ReserveAnswer::Mismatch => builder.set_mismatch(()),
        ReserveAnswer::Exhausted {
            retry_after,
            elsewhere,
        } => {
            let mut exhausted = builder.init_exhausted();
            exhausted.set_may_retry(retry_after.is_some());
            exhausted.set_retry_after_ms(retry_after.unwrap_or_default().as_millis());
            exhausted.set_elsewhere(elsewhere.get());
        }
        ReserveAnswer::Unreachable { retry_after } => {
            builder.set_unreachable(retry_after.as_millis());
        }
        ReserveAnswer::NotHolder { holder } => {
            write_holder(builder.init_not_holder(), holder.as_ref());
        }
    }
}

fn write_settle(mut builder: settle_answer::Builder<'_>, answer: &SettleAnswer) {
    match answer {
        SettleAnswer::Settled { charged } => builder.set_settled(charged.get()),
        SettleAnswer::AlreadySettled { attempt, charged } => {
            write_charge(builder.init_already_settled(), *attempt, *charged, None);
        }
        SettleAnswer::Pending {
            charged,
            retry_after,
        } => {
            let mut pending = builder.init_pending();
            pending.set_charged(charged.get());
            pending.set_retry_after_ms(retry_after.as_millis());
        }
        SettleAnswer::Unknown => builder.set_unknown(()),
        SettleAnswer::NotHolder { holder } => {
            write_holder(builder.init_not_holder(), holder.as_ref());
        }
    }
}

fn write_release(mut builder: release_answer::Builder<'_>, answer: &ReleaseAnswer) {
    match answer {
        ReleaseAnswer::Released => builder.set_released(()),
        ReleaseAnswer::Pending { retry_after } => builder.set_pending(retry_after.as_millis()),
        ReleaseAnswer::AlreadySettled { charged } => builder.set_already_settled(charged.get()),
        ReleaseAnswer::NotHolder { holder } => {
            write_holder(builder.init_not_holder(), holder.as_ref());
        }
    }
}

fn write_seal(mut builder: seal_answer::Builder<'_>, answer: &SealAnswer) {
    match answer {
        SealAnswer::Sealed => builder.set_sealed(()),
        SealAnswer::Running { attempt } => write_attempt(builder.init_running(), *attempt),
        SealAnswer::AlreadyBilled { attempt, charged } => {
            write_charge(builder.init_already_billed(), *attempt, *charged, None);
        }
        SealAnswer::Unreachable { retry_after } => {
            builder.set_unreachable(retry_after.as_millis());
        }
        SealAnswer::NotHolder { holder } => {
            write_holder(builder.init_not_holder(), holder.as_ref());
        }
    }
}

fn write_hand_back(mut builder: hand_back_answer::Builder<'_>, answer: &HandBackAnswer) {
    match answer {
        HandBackAnswer::Given { tokens } => builder.set_given(tokens.get()),
        HandBackAnswer::NotHolder { holder } => {
            write_holder(builder.init_not_holder(), holder.as_ref());
        }
    }
}

/// Reads a reply.
///
/// # Errors
///
/// The reply is damaged, of a later version, or holds a wrong value.
pub fn read_answer(reader: answer::Reader<'_>) -> Result<PeerReply, WireError> {
    let reply = match reader.which()? {
        answer::Which::Reserve(answer) => PeerReply::Reserve(read_reserve(answer?)?),
        answer::Which::Settle(answer) => PeerReply::Settle(read_settle(answer?)?),
        answer::Which::Release(answer) => PeerReply::Release(read_release(answer?)?),
        answer::Which::Seal(answer) => PeerReply::Seal(read_seal(answer?)?),
        answer::Which::HandBack(answer) => PeerReply::HandBack(read_hand_back(answer?)?),
        answer::Which::Ack(ack) => PeerReply::Ack(witness::read_ack(ack?)?),
        answer::Which::Refusal(refusal) => PeerReply::Refusal(witness::read_refusal(refusal?)?),
        answer::Which::HandoverAck(ack) => {
            PeerReply::HandoverAck(witness::read_handover_ack(ack?)?)
        }
        answer::Which::Life(incarnation) => PeerReply::Life(IncarnationAnswer {
            incarnation: IncarnationId::new(incarnation),
        }),
        answer::Which::Version(row) => PeerReply::Version(page::read_version(row?)?),
        answer::Which::Pages(pages) => PeerReply::Pages(page::read_pages(pages?)?),
        answer::Which::Relay(answer) => PeerReply::Relay(relay::read_answer(answer?)?),
        answer::Which::Accepted(()) => PeerReply::Accepted,
        answer::Which::Refused(refusal) => PeerReply::Refused(read_refused(refusal?)),
    };
    Ok(reply)
}

const fn read_refused(refusal: Refusal) -> PeerRefusal {
    match refusal {
        Refusal::Unsupported => PeerRefusal::Unsupported,
        Refusal::Malformed => PeerRefusal::Malformed,
        Refusal::Overloaded => PeerRefusal::Overloaded,
    }
}

/// Writes a holder that may be unknown: a life without an instance is none.
fn write_holder(builder: life::Builder<'_>, holder: Option<&InstanceIncarnation>) {
    if let Some(holder) = holder {
        write_life(builder, holder);
    }
}

/// Reads what [`write_holder`] wrote.
fn read_holder(reader: life::Reader<'_>) -> Result<Option<InstanceIncarnation>, WireError> {
    if reader.has_instance() {
        read_life(reader).map(Some)
    } else {
        Ok(None)
    }
}

fn read_reserve(reader: reserve_answer::Reader<'_>) -> Result<ReserveAnswer, WireError> {
    let answer = match reader.which()? {
        reserve_answer::Which::Granted(grant) => ReserveAnswer::Granted(read_grant(grant?)?),
        reserve_answer::Which::Joined(joined) => ReserveAnswer::Joined {
            attempt: read_attempt(joined.get_attempt()?),
            router: read_life(joined.get_router()?)?,
            backend: read_backend(joined.get_backend())?,
        },
        reserve_answer::Which::AlreadyBilled(charge) => {
            let charge = read_charge(charge?)?;
            ReserveAnswer::AlreadyBilled {
                attempt: charge.attempt,
                charged: charge.charged,
                backend: charge.backend,
            }
        }
        reserve_answer::Which::Sealed(()) => ReserveAnswer::Sealed,
        reserve_answer::Which::Mismatch(()) => ReserveAnswer::Mismatch,
        reserve_answer::Which::Exhausted(exhausted) => {
            let retry_after = ClockSpan::from_millis(exhausted.get_retry_after_ms());
            ReserveAnswer::Exhausted {
                retry_after: exhausted.get_may_retry().then_some(retry_after),
                elsewhere: TokenCount::new(exhausted.get_elsewhere()),
            }
        }
        reserve_answer::Which::Unreachable(millis) => ReserveAnswer::Unreachable {
            retry_after: ClockSpan::from_millis(millis),
        },
        reserve_answer::Which::NotHolder(holder) => ReserveAnswer::NotHolder {
            holder: read_holder(holder?)?,
        },
    };
    Ok(answer)
}

fn read_settle(reader: settle_answer::Reader<'_>) -> Result<SettleAnswer, WireError> {
    let answer = match reader.which()? {
        settle_answer::Which::Settled(charged) => SettleAnswer::Settled {
            charged: TokenCount::new(charged),
        },
        settle_answer::Which::AlreadySettled(charge) => {
            let charge = read_charge(charge?)?;
            SettleAnswer::AlreadySettled {
                attempt: charge.attempt,
                charged: charge.charged,
            }
        }
        settle_answer::Which::Pending(pending) => SettleAnswer::Pending {
            charged: TokenCount::new(pending.get_charged()),
            retry_after: ClockSpan::from_millis(pending.get_retry_after_ms()),
        },
        settle_answer::Which::Unknown(()) => SettleAnswer::Unknown,
        settle_answer::Which::NotHolder(holder) => SettleAnswer::NotHolder {
            holder: read_holder(holder?)?,
        },
    };
    Ok(answer)
}

fn read_release(reader: release_answer::Reader<'_>) -> Result<ReleaseAnswer, WireError> {
    let answer = match reader.which()? {
        release_answer::Which::Released(()) => ReleaseAnswer::Released,
        release_answer::Which::Pending(millis) => ReleaseAnswer::Pending {
            retry_after: ClockSpan::from_millis(millis),
        },
        release_answer::Which::AlreadySettled(charged) => ReleaseAnswer::AlreadySettled {
            charged: TokenCount::new(charged),
        },
        release_answer::Which::NotHolder(holder) => ReleaseAnswer::NotHolder {
            holder: read_holder(holder?)?,
        },
    };
    Ok(answer)
}

fn read_seal(reader: seal_answer::Reader<'_>) -> Result<SealAnswer, WireError> {
    let answer = match reader.which()? {
        seal_answer::Which::Sealed(()) => SealAnswer::Sealed,
        seal_answer::Which::Running(attempt) => SealAnswer::Running {
            attempt: read_attempt(attempt?),
        },
        seal_answer::Which::AlreadyBilled(charge) => {
            let charge = read_charge(charge?)?;
            SealAnswer::AlreadyBilled {
                attempt: charge.attempt,
                charged: charge.charged,
            }
        }
        seal_answer::Which::Unreachable(millis) => SealAnswer::Unreachable {
            retry_after: ClockSpan::from_millis(millis),
        },
        seal_answer::Which::NotHolder(holder) => SealAnswer::NotHolder {
            holder: read_holder(holder?)?,
        },
    };
    Ok(answer)
}

fn read_hand_back(reader: hand_back_answer::Reader<'_>) -> Result<HandBackAnswer, WireError> {
    let answer = match reader.which()? {
        hand_back_answer::Which::Given(tokens) => HandBackAnswer::Given {
            tokens: TokenCount::new(tokens),
        },
        hand_back_answer::Which::NotHolder(holder) => HandBackAnswer::NotHolder {
            holder: read_holder(holder?)?,
        },
    };
    Ok(answer)
}
