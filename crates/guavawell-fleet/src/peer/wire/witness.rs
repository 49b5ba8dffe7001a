//! Messages between a slot's holder and its witness.

use guavawell_core::budget::HandoverAck;
use guavawell_core::budget::LedgerEntry;
use guavawell_core::budget::RefusalReason;
use guavawell_core::budget::WitnessAck;
use guavawell_core::budget::WitnessRecord;
use guavawell_core::budget::WitnessRefusal;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestDigest;

use super::WireError;
use super::value::backend_text;
use super::value::read_attempt;
use super::value::read_backend;
use super::value::read_id;
use super::value::read_identity;
use super::value::read_life;
use super::value::read_pool;
use super::value::read_stamp;
use super::value::write_attempt;
use super::value::write_identity;
use super::value::write_life;
use super::value::write_pool;
use super::value::write_stamp;
use crate::peer_capnp;
use crate::peer_capnp::handover_ack;
use crate::peer_capnp::ledger_entry;
use crate::peer_capnp::witness_ack;
use crate::peer_capnp::witness_record;
use crate::peer_capnp::witness_refusal;

pub fn write_record(mut builder: witness_record::Builder<'_>, record: &WitnessRecord) {
    write_stamp(builder.reborrow().init_stamp(), &record.stamp);
    builder.set_sequence(record.sequence);
    let count = u32::try_from(record.entries.len()).unwrap_or(u32::MAX);
    let mut entries = builder.init_entries(count);
    for (index, entry) in (0..count).zip(&record.entries) {
        write_entry(entries.reborrow().get(index), entry);
    }
}

pub fn read_record(reader: witness_record::Reader<'_>) -> Result<WitnessRecord, WireError> {
    let entries: Result<Vec<LedgerEntry>, WireError> =
        reader.get_entries()?.iter().map(read_entry).collect();
    Ok(WitnessRecord {
        stamp: read_stamp(reader.get_stamp()?)?,
        sequence: reader.get_sequence(),
        entries: entries?,
    })
}

fn write_entry(mut builder: ledger_entry::Builder<'_>, entry: &LedgerEntry) {
    match entry {
        LedgerEntry::Reserve {
            identity,
            attempt,
            budget,
            pool,
            amount,
            router,
            digest,
        } => {
            let mut reserve = builder.init_reserve();
            write_identity(reserve.reborrow().init_identity(), identity);
            write_attempt(reserve.reborrow().init_attempt(), *attempt);
            reserve.set_budget(budget.as_str());
            reserve.set_pool(write_pool(*pool));
            reserve.set_amount(amount.get());
            reserve.set_digest(digest.get());
            write_life(reserve.init_router(), router);
        }
        LedgerEntry::Serve {
            identity,
            attempt,
            backend,
        } => {
            let mut serve = builder.init_serve();
            write_identity(serve.reborrow().init_identity(), identity);
            write_attempt(serve.reborrow().init_attempt(), *attempt);
            serve.set_backend(backend.as_str());
        }
        LedgerEntry::Settle {
            identity,
            attempt,
            charged,
            backend,
        } => {
            let mut settle = builder.init_settle();
            write_identity(settle.reborrow().init_identity(), identity);
            write_attempt(settle.reborrow().init_attempt(), *attempt);
            settle.set_charged(charged.get());
            settle.set_backend(backend_text(backend.as_ref()));
        }
        LedgerEntry::Release { identity, attempt } => {
            let mut release = builder.init_release();
            write_identity(release.reborrow().init_identity(), identity);
            write_attempt(release.init_attempt(), *attempt);
        }
        LedgerEntry::Seal { identity } => {
            write_identity(builder.reborrow().init_seal(), identity);
        }
        LedgerEntry::Forget { identity } => {
            write_identity(builder.reborrow().init_forget(), identity);
        }
        LedgerEntry::RaiseFloat { budget, tokens } => {
            let mut raise = builder.init_raise_float();
            raise.set_budget(budget.as_str());
            raise.set_tokens(tokens.get());
        }
        LedgerEntry::LowerFloat { budget, tokens } => {
            let mut lower = builder.init_lower_float();
            lower.set_budget(budget.as_str());
            lower.set_tokens(tokens.get());
        }
        LedgerEntry::Rebase { budget, tenure } => {
            let mut rebase = builder.init_rebase();
            rebase.set_budget(budget.as_str());
            rebase.set_tenure(tenure.get());
        }
    }
}

fn read_entry(reader: ledger_entry::Reader<'_>) -> Result<LedgerEntry, WireError> {
    let entry = match reader.which()? {
        ledger_entry::Which::Reserve(reserve) => LedgerEntry::Reserve {
            identity: read_identity(reserve.get_identity()?)?,
            attempt: read_attempt(reserve.get_attempt()?),
            budget: read_id(reserve.get_budget())?,
            pool: read_pool(reserve.get_pool()?),
            amount: TokenCount::new(reserve.get_amount()),
            router: read_life(reserve.get_router()?)?,
            digest: RequestDigest::new(reserve.get_digest()),
        },
        ledger_entry::Which::Serve(serve) => LedgerEntry::Serve {
            identity: read_identity(serve.get_identity()?)?,
            attempt: read_attempt(serve.get_attempt()?),
            backend: read_id(serve.get_backend())?,
        },
        ledger_entry::Which::Settle(settle) => LedgerEntry::Settle {
            identity: read_identity(settle.get_identity()?)?,
            attempt: read_attempt(settle.get_attempt()?),
            charged: TokenCount::new(settle.get_charged()),
            backend: read_backend(settle.get_backend())?,
        },
        ledger_entry::Which::Release(release) => LedgerEntry::Release {
            identity: read_identity(release.get_identity()?)?,
            attempt: read_attempt(release.get_attempt()?),
        },
        ledger_entry::Which::Seal(identity) => LedgerEntry::Seal {
            identity: read_identity(identity?)?,
        },
        ledger_entry::Which::Forget(identity) => LedgerEntry::Forget {
            identity: read_identity(identity?)?,
        },
        ledger_entry::Which::RaiseFloat(raise) => LedgerEntry::RaiseFloat {
            budget: read_id(raise.get_budget())?,
            tokens: TokenCount::new(raise.get_tokens()),
        },
        ledger_entry::Which::LowerFloat(lower) => LedgerEntry::LowerFloat {
            budget: read_id(lower.get_budget())?,
            tokens: TokenCount::new(lower.get_tokens()),
        },
        ledger_entry::Which::Rebase(rebase) => LedgerEntry::Rebase {
            budget: read_id(rebase.get_budget())?,
            tenure: SlotEpoch::new(rebase.get_tenure()),
        },
    };
    Ok(entry)
}

pub fn write_ack(mut builder: witness_ack::Builder<'_>, ack: &WitnessAck) {
    write_stamp(builder.reborrow().init_stamp(), &ack.stamp);
    builder.set_sequence(ack.sequence);
}

pub fn read_ack(reader: witness_ack::Reader<'_>) -> Result<WitnessAck, WireError> {
    Ok(WitnessAck {
        stamp: read_stamp(reader.get_stamp()?)?,
        sequence: reader.get_sequence(),
    })
}

pub fn write_refusal(mut builder: witness_refusal::Builder<'_>, refusal: &WitnessRefusal) {
    write_stamp(builder.reborrow().init_stamp(), &refusal.stamp);
    builder.set_reason(match refusal.reason {
        RefusalReason::UnknownStamp => peer_capnp::RefusalReason::UnknownStamp,
        RefusalReason::Stopped => peer_capnp::RefusalReason::Stopped,
        RefusalReason::Gap => peer_capnp::RefusalReason::Gap,
    });
}

pub fn read_refusal(reader: witness_refusal::Reader<'_>) -> Result<WitnessRefusal, WireError> {
    Ok(WitnessRefusal {
        stamp: read_stamp(reader.get_stamp()?)?,
        reason: match reader.get_reason()? {
            peer_capnp::RefusalReason::UnknownStamp => RefusalReason::UnknownStamp,
            peer_capnp::RefusalReason::Stopped => RefusalReason::Stopped,
            peer_capnp::RefusalReason::Gap => RefusalReason::Gap,
        },
    })
}

pub fn write_handover_ack(mut builder: handover_ack::Builder<'_>, ack: &HandoverAck) {
    write_stamp(builder.reborrow().init_stamp(), &ack.stamp);
    builder.set_handover(ack.handover);
}

pub fn read_handover_ack(reader: handover_ack::Reader<'_>) -> Result<HandoverAck, WireError> {
    Ok(HandoverAck {
        stamp: read_stamp(reader.get_stamp()?)?,
        handover: reader.get_handover(),
    })
}
