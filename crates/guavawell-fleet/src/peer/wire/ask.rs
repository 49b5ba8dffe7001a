//! Requests.

use guavawell_core::budget::BackendAssignment;
use guavawell_core::budget::HandBackRequest;
use guavawell_core::budget::ReleaseRequest;
use guavawell_core::budget::ReserveRequest;
use guavawell_core::budget::SealRequest;
use guavawell_core::budget::SettleRequest;
use guavawell_core::budget::TakeoverRequest;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestDigest;

use super::WireAsk;
use super::WireError;
use super::page;
use super::piece::LedgerPiece;
use super::relay;
use super::value::backend_text;
use super::value::read_attempt;
use super::value::read_backend;
use super::value::read_grant;
use super::value::read_id;
use super::value::read_identity;
use super::value::read_life;
use super::value::read_row;
use super::value::read_slot;
use super::value::write_attempt;
use super::value::write_grant;
use super::value::write_identity;
use super::value::write_life;
use super::value::write_row;
use super::value::write_slot;
use super::witness;
use crate::peer::message::PeerRequest;
use crate::peer::message::SlotAsk;
use crate::peer_capnp::ask;
use crate::peer_capnp::backend_note;
use crate::peer_capnp::hand_back_ask;
use crate::peer_capnp::ledger_piece;
use crate::peer_capnp::release_ask;
use crate::peer_capnp::reserve_ask;
use crate::peer_capnp::settle_ask;
use crate::peer_capnp::takeover_ask;

/// Writes a request; the call's number is the batch's business.
///
/// A [`WitnessMessage::Handover`] goes in pieces and has to be split before.
pub fn write_ask(builder: ask::Builder<'_>, ask: &WireAsk) {
    match ask {
        WireAsk::Request(request) => write_request(builder, request),
        WireAsk::Piece(piece) => write_piece(builder.init_ledger_piece(), piece),
    }
}

fn write_request(mut builder: ask::Builder<'_>, request: &PeerRequest) {
    if let Some(slot) = request.slot() {
        write_slot(builder.reborrow().init_slot(), slot);
    }
    match request {
        PeerRequest::Reserve(SlotAsk { ask, .. }) => write_reserve(builder.init_reserve(), ask),
        PeerRequest::Settle(SlotAsk { ask, .. }) => write_settle(builder.init_settle(), ask),
        PeerRequest::Release(SlotAsk { ask, .. }) => write_release(builder.init_release(), ask),
        PeerRequest::Note(SlotAsk { ask, .. }) => write_note(builder.init_note(), ask),
        PeerRequest::Seal(SlotAsk { ask, .. }) => {
            write_identity(builder.init_seal(), &ask.identity);
        }
        PeerRequest::HandBack(ask) => write_hand_back(builder.init_hand_back(), ask),
        PeerRequest::Witness(message) => write_witness(builder, message),
        PeerRequest::Takeover(ask) => write_takeover(builder.init_takeover(), ask),
        PeerRequest::Life => builder.set_life(()),
        PeerRequest::Version => builder.set_version(()),
        PeerRequest::Pages(digests) => page::write_digests(builder, digests),
        PeerRequest::Relay(ask) => relay::write_ask(builder.init_relay(), ask),
    }
}

fn write_witness(builder: ask::Builder<'_>, message: &WitnessMessage) {
    match message {
        WitnessMessage::Record(record) => witness::write_record(builder.init_record(), record),
        WitnessMessage::Ack(ack) => witness::write_ack(builder.init_ack(), ack),
        WitnessMessage::Refusal(refusal) => {
            witness::write_refusal(builder.init_refusal(), refusal);
        }
        WitnessMessage::HandoverAck(ack) => {
            witness::write_handover_ack(builder.init_handover_ack(), ack);
        }
        WitnessMessage::Handover(_) => debug_assert!(false, "a handover goes in pieces"),
    }
}

fn write_reserve(mut builder: reserve_ask::Builder<'_>, ask: &ReserveRequest) {
    write_identity(builder.reborrow().init_identity(), &ask.identity);
    write_attempt(builder.reborrow().init_attempt(), ask.attempt);
    builder.set_budget(ask.budget.as_str());
    builder.set_amount(ask.amount.get());
    write_life(builder.reborrow().init_router(), &ask.router);
    builder.set_idempotent(ask.idempotent);
    builder.set_digest(ask.digest.get());
}

fn write_settle(mut builder: settle_ask::Builder<'_>, ask: &SettleRequest) {
    write_identity(builder.reborrow().init_identity(), &ask.identity);
    write_attempt(builder.reborrow().init_attempt(), ask.attempt);
    write_grant(builder.reborrow().init_grant(), &ask.grant);
    builder.set_actual(ask.actual.get());
    builder.set_backend(backend_text(ask.backend.as_ref()));
}

fn write_release(mut builder: release_ask::Builder<'_>, ask: &ReleaseRequest) {
    write_identity(builder.reborrow().init_identity(), &ask.identity);
    write_attempt(builder.reborrow().init_attempt(), ask.attempt);
    builder.set_before(ask.before.map_or(0, SlotEpoch::get));
}

fn write_note(mut builder: backend_note::Builder<'_>, note: &BackendAssignment) {
    write_identity(builder.reborrow().init_identity(), &note.identity);
    write_attempt(builder.reborrow().init_attempt(), note.attempt);
    builder.set_backend(note.backend.as_str());
}

fn write_hand_back(mut builder: hand_back_ask::Builder<'_>, ask: &HandBackRequest) {
    write_slot(builder.reborrow().init_slot(), &ask.slot);
    builder.set_budget(ask.budget.as_str());
    builder.set_wanted(ask.wanted.get());
}

fn write_takeover(mut builder: takeover_ask::Builder<'_>, ask: &TakeoverRequest) {
    write_slot(builder.reborrow().init_slot(), &ask.slot);
    write_row(builder.init_row(), &ask.row);
}

fn write_piece(mut builder: ledger_piece::Builder<'_>, piece: &LedgerPiece) {
    super::value::write_stamp(builder.reborrow().init_stamp(), &piece.stamp);
    builder.set_handover(piece.handover);
    builder.set_index(piece.index);
    builder.set_last(piece.last);
    builder.set_ledger(&piece.ledger);
}

/// Reads a request.
///
/// # Errors
///
/// The request is damaged, of a later version, or holds a wrong value.
pub fn read_ask(reader: ask::Reader<'_>) -> Result<WireAsk, WireError> {
    let slot = || read_slot(reader.get_slot()?);
    let request = match reader.which()? {
        ask::Which::Reserve(ask) => {
            PeerRequest::Reserve(SlotAsk::new(slot()?, read_reserve(ask?)?))
        }
        ask::Which::Settle(ask) => PeerRequest::Settle(SlotAsk::new(slot()?, read_settle(ask?)?)),
        ask::Which::Release(ask) => {
            PeerRequest::Release(SlotAsk::new(slot()?, read_release(ask?)?))
        }
        ask::Which::Note(note) => PeerRequest::Note(SlotAsk::new(slot()?, read_note(note?)?)),
        ask::Which::Seal(identity) => {
            let identity = read_identity(identity?)?;
            PeerRequest::Seal(SlotAsk::new(slot()?, SealRequest { identity }))
        }
        ask::Which::HandBack(ask) => PeerRequest::HandBack(read_hand_back(ask?)?),
        ask::Which::Record(record) => {
            PeerRequest::Witness(WitnessMessage::Record(witness::read_record(record?)?))
        }
        ask::Which::Ack(ack) => PeerRequest::Witness(WitnessMessage::Ack(witness::read_ack(ack?)?)),
        ask::Which::Refusal(refusal) => {
            PeerRequest::Witness(WitnessMessage::Refusal(witness::read_refusal(refusal?)?))
        }
        ask::Which::HandoverAck(ack) => PeerRequest::Witness(WitnessMessage::HandoverAck(
            witness::read_handover_ack(ack?)?,
        )),
        ask::Which::Takeover(ask) => PeerRequest::Takeover(read_takeover(ask?)?),
        ask::Which::Life(()) => PeerRequest::Life,
        ask::Which::Version(()) => PeerRequest::Version,
        ask::Which::Pages(digests) => PeerRequest::Pages(page::read_digests(digests?)?),
        ask::Which::Relay(ask) => PeerRequest::Relay(relay::read_ask(ask?)?),
        ask::Which::LedgerPiece(piece) => {
            let piece = read_piece(piece?)?;
            return Ok(WireAsk::Piece(Box::new(piece)));
        }
    };
    Ok(WireAsk::Request(Box::new(request)))
}

fn read_reserve(reader: reserve_ask::Reader<'_>) -> Result<ReserveRequest, WireError> {
    Ok(ReserveRequest {
        identity: read_identity(reader.get_identity()?)?,
        attempt: read_attempt(reader.get_attempt()?),
        budget: read_id(reader.get_budget())?,
        amount: TokenCount::new(reader.get_amount()),
        router: read_life(reader.get_router()?)?,
        idempotent: reader.get_idempotent(),
        digest: RequestDigest::new(reader.get_digest()),
    })
}

fn read_settle(reader: settle_ask::Reader<'_>) -> Result<SettleRequest, WireError> {
    Ok(SettleRequest {
        identity: read_identity(reader.get_identity()?)?,
        attempt: read_attempt(reader.get_attempt()?),
        grant: read_grant(reader.get_grant()?)?,
        actual: TokenCount::new(reader.get_actual()),
        backend: read_backend(reader.get_backend())?,
    })
}

fn read_release(reader: release_ask::Reader<'_>) -> Result<ReleaseRequest, WireError> {
    Ok(ReleaseRequest {
        identity: read_identity(reader.get_identity()?)?,
        attempt: read_attempt(reader.get_attempt()?),
        before: Some(reader.get_before())
            .filter(|before| *before > 0)
            .map(SlotEpoch::new),
    })
}

fn read_note(reader: backend_note::Reader<'_>) -> Result<BackendAssignment, WireError> {
    Ok(BackendAssignment {
        identity: read_identity(reader.get_identity()?)?,
        attempt: read_attempt(reader.get_attempt()?),
        backend: read_id(reader.get_backend())?,
    })
}

fn read_hand_back(reader: hand_back_ask::Reader<'_>) -> Result<HandBackRequest, WireError> {
    Ok(HandBackRequest {
        slot: read_slot(reader.get_slot()?)?,
        budget: read_id(reader.get_budget())?,
        wanted: TokenCount::new(reader.get_wanted()),
    })
}

fn read_takeover(reader: takeover_ask::Reader<'_>) -> Result<TakeoverRequest, WireError> {
    Ok(TakeoverRequest {
        slot: read_slot(reader.get_slot()?)?,
        row: read_row(reader.get_row()?)?,
    })
}

fn read_piece(reader: ledger_piece::Reader<'_>) -> Result<LedgerPiece, WireError> {
    Ok(LedgerPiece {
        stamp: super::value::read_stamp(reader.get_stamp()?)?,
        handover: reader.get_handover(),
        index: reader.get_index(),
        last: reader.get_last(),
        ledger: reader.get_ledger()?.into(),
    })
}
