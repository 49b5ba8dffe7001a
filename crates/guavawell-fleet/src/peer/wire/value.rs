//! Values that several messages hold.

use std::fmt::Display;
use std::str::FromStr;

use capnp::text;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::RecordStamp;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::TokenPool;
use guavawell_core::id::AttemptId;
use guavawell_core::id::BackendId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ShardId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestIdentity;

use super::WireError;
use crate::peer_capnp::Pool;
use crate::peer_capnp::attempt;
use crate::peer_capnp::charge;
use crate::peer_capnp::grant;
use crate::peer_capnp::identity;
use crate::peer_capnp::life;
use crate::peer_capnp::slot;
use crate::peer_capnp::slot_row;
use crate::peer_capnp::stamp;

/// Reads a text id; its own rules are checked.
pub fn read_id<T>(text: capnp::Result<text::Reader<'_>>) -> Result<T, WireError>
where
    T: FromStr<Err: Display>,
{
    let text = text?
        .to_str()
        .map_err(|error| WireError::WrongValue(error.to_string().into()))?;
    let id: Result<T, _> = text.parse();
    id.map_err(|error| WireError::WrongValue(error.to_string().into()))
}

/// A backend server's id as text; empty if there is none.
pub fn backend_text(backend: Option<&BackendId>) -> &str {
    backend.map_or("", BackendId::as_str)
}

/// Reads a backend server's id; empty text is none.
pub fn read_backend(text: capnp::Result<text::Reader<'_>>) -> Result<Option<BackendId>, WireError> {
    let text = text?;
    if text.is_empty() {
        return Ok(None);
    }
    read_id(Ok(text)).map(Some)
}

pub fn write_life(mut builder: life::Builder<'_>, life: &InstanceIncarnation) {
    builder.set_instance(life.instance.as_str());
    builder.set_incarnation(life.incarnation.get());
}

pub fn read_life(reader: life::Reader<'_>) -> Result<InstanceIncarnation, WireError> {
    Ok(InstanceIncarnation {
        instance: read_id(reader.get_instance())?,
        incarnation: IncarnationId::new(reader.get_incarnation()),
    })
}

pub fn write_identity(mut builder: identity::Builder<'_>, identity: &RequestIdentity) {
    builder.set_organisation(identity.organisation.as_str());
    builder.set_request(identity.request.as_str());
    builder.set_minted(identity.minted);
}

pub fn read_identity(reader: identity::Reader<'_>) -> Result<RequestIdentity, WireError> {
    Ok(RequestIdentity {
        organisation: read_id(reader.get_organisation())?,
        request: read_id(reader.get_request())?,
        minted: reader.get_minted(),
    })
}

pub fn write_attempt(mut builder: attempt::Builder<'_>, attempt: AttemptId) {
    let number = attempt.get();
    let low = number & u128::from(u64::MAX);
    builder.set_high(u64::try_from(number >> u64::BITS).unwrap_or_default());
    builder.set_low(u64::try_from(low).unwrap_or_default());
}

pub fn read_attempt(reader: attempt::Reader<'_>) -> AttemptId {
    let high = u128::from(reader.get_high()) << u64::BITS;
    AttemptId::new(high | u128::from(reader.get_low()))
}

pub fn write_slot(mut builder: slot::Builder<'_>, slot: &SlotId) {
    builder.set_zone(slot.zone.as_str());
    builder.set_shard(slot.shard.get());
}

pub fn read_slot(reader: slot::Reader<'_>) -> Result<SlotId, WireError> {
    Ok(SlotId {
        zone: read_id(reader.get_zone())?,
        shard: ShardId::new(reader.get_shard()),
    })
}

pub fn write_row(mut builder: slot_row::Builder<'_>, row: &SlotRow) {
    write_life(builder.reborrow().init_holder(), &row.holder);
    if let Some(witness) = &row.witness {
        write_life(builder.reborrow().init_witness(), witness);
    }
    builder.set_epoch(row.epoch.get());
    builder.set_tenure(row.tenure.get());
}

pub fn read_row(reader: slot_row::Reader<'_>) -> Result<SlotRow, WireError> {
    let witness = if reader.has_witness() {
        Some(read_life(reader.get_witness()?)?)
    } else {
        None
    };
    Ok(SlotRow {
        holder: read_life(reader.get_holder()?)?,
        witness,
        epoch: SlotEpoch::new(reader.get_epoch()),
        tenure: SlotEpoch::new(reader.get_tenure()),
    })
}

pub const fn write_pool(pool: TokenPool) -> Pool {
    match pool {
        TokenPool::Witnessed => Pool::Witnessed,
        TokenPool::Float => Pool::Float,
    }
}

pub const fn read_pool(pool: Pool) -> TokenPool {
    match pool {
        Pool::Witnessed => TokenPool::Witnessed,
        Pool::Float => TokenPool::Float,
    }
}

pub fn write_grant(mut builder: grant::Builder<'_>, grant: &ReserveGrant) {
    write_life(builder.reborrow().init_holder(), &grant.holder);
    builder.set_tenure(grant.tenure.get());
    builder.set_pool(write_pool(grant.pool));
    builder.set_amount(grant.amount.get());
}

pub fn read_grant(reader: grant::Reader<'_>) -> Result<ReserveGrant, WireError> {
    Ok(ReserveGrant {
        holder: read_life(reader.get_holder()?)?,
        tenure: SlotEpoch::new(reader.get_tenure()),
        pool: read_pool(reader.get_pool()?),
        amount: TokenCount::new(reader.get_amount()),
    })
}

/// The fields that answers about a charged request share.
pub struct ChargeView {
    pub attempt: AttemptId,
    pub charged: TokenCount,
    pub backend: Option<BackendId>,
}

pub fn write_charge(
    mut builder: charge::Builder<'_>,
    attempt: AttemptId,
    charged: TokenCount,
    backend: Option<&BackendId>,
) {
    write_attempt(builder.reborrow().init_attempt(), attempt);
    builder.set_charged(charged.get());
    builder.set_backend(backend_text(backend));
}

pub fn read_charge(reader: charge::Reader<'_>) -> Result<ChargeView, WireError> {
    Ok(ChargeView {
        attempt: read_attempt(reader.get_attempt()?),
        charged: TokenCount::new(reader.get_charged()),
        backend: read_backend(reader.get_backend())?,
    })
}

pub fn write_stamp(mut builder: stamp::Builder<'_>, stamp: &RecordStamp) {
    write_slot(builder.reborrow().init_slot(), &stamp.slot);
    builder.set_epoch(stamp.epoch.get());
    write_life(builder.reborrow().init_holder(), &stamp.holder);
    write_life(builder.reborrow().init_witness(), &stamp.witness);
}

pub fn read_stamp(reader: stamp::Reader<'_>) -> Result<RecordStamp, WireError> {
    Ok(RecordStamp {
        slot: read_slot(reader.get_slot()?)?,
        epoch: SlotEpoch::new(reader.get_epoch()),
        holder: read_life(reader.get_holder()?)?,
        witness: read_life(reader.get_witness()?)?,
    })
}
