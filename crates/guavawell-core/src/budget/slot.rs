//! Slots: the part of the budgets that one router decides about.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use thiserror::Error;

use crate::id::IncarnationId;
use crate::id::InstanceId;
use crate::id::OrganisationId;
use crate::id::ShardId;
use crate::id::SlotEpoch;
use crate::id::ZoneId;

/// One shard of the organisations, as seen from one availability zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlotId {
    /// The availability zone whose callers the slot serves.
    pub zone: ZoneId,
    /// The shard of organisations.
    pub shard: ShardId,
}

impl fmt::Display for SlotId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.zone, self.shard)
    }
}

/// A text that names no slot.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no slot; write ZONE/SHARD, for instance `tln-a/3`")]
pub struct SlotIdError(Box<str>);

impl FromStr for SlotId {
    type Err = SlotIdError;

    fn from_str(text: &str) -> Result<Self, SlotIdError> {
        let parse = || {
            let (zone, shard) = text.rsplit_once('/')?;
            Some(Self {
                zone: zone.parse().ok()?,
                shard: shard.parse().ok()?,
            })
        };
        parse().ok_or_else(|| SlotIdError(text.into()))
    }
}

/// The shard of an organisation among `shards`, the same on every router.
///
/// `shards` is a setting of the deployment that never changes while slots
/// are held. Zero counts as one.
#[must_use]
pub fn shard_of(organisation: &OrganisationId, shards: u16) -> ShardId {
    let digest = Sha256::digest(organisation.as_str().as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    let shard = u64::from_be_bytes(prefix) % u64::from(shards.max(1));
    ShardId::new(u16::try_from(shard).unwrap_or_default())
}

/// One life of one instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceIncarnation {
    /// The instance.
    pub instance: InstanceId,
    /// Its incarnation, drawn anew at each start.
    pub incarnation: IncarnationId,
}

/// The table's row of a slot, under `slot/{zone}/{shard}`.
///
/// Every write of the row compares the whole former row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotRow {
    /// The router that decides for the slot.
    pub holder: InstanceIncarnation,
    /// The router that acknowledges the holder's reservations, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub witness: Option<InstanceIncarnation>,
    /// Rises with every change of holder or witness.
    pub epoch: SlotEpoch,
    /// The epoch at which the present holder began; its grants carry it.
    pub tenure: SlotEpoch,
}

impl SlotRow {
    /// The first row of a slot that nobody holds yet.
    #[must_use]
    pub const fn first(holder: InstanceIncarnation) -> Self {
        Self {
            holder,
            witness: None,
            epoch: SlotEpoch::new(1),
            tenure: SlotEpoch::new(1),
        }
    }

    /// The row after the holder changed its witness.
    #[must_use]
    pub fn with_witness(&self, witness: Option<InstanceIncarnation>) -> Self {
        Self {
            holder: self.holder.clone(),
            witness,
            epoch: self.epoch.next(),
            tenure: self.tenure,
        }
    }

    /// The row after another router took the slot; it has no witness yet.
    #[must_use]
    pub const fn with_holder(&self, holder: InstanceIncarnation) -> Self {
        Self {
            holder,
            witness: None,
            epoch: self.epoch.next(),
            tenure: self.epoch.next(),
        }
    }
}
