//! Slots, the units in which decisions about budgets are assigned to routers.

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

/// One shard of the organisations in one availability zone.
///
/// At any time one router, the slot's holder, decides on the use of the shard's
/// budgets in the zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlotId {
    /// The availability zone whose callers use the slot.
    pub zone: ZoneId,
    /// The shard of organisations.
    pub shard: ShardId,
}

impl fmt::Display for SlotId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.zone, self.shard)
    }
}

/// A text is not a valid slot id.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a valid slot; expected ZONE/SHARD, such as `tln-a/3`")]
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

/// Returns the shard of an organisation, which is the same on every router.
///
/// `shards`, the number of shards, is a setting of the deployment. It must not
/// change while any slot has a holder. Zero is treated as one.
#[must_use]
pub fn shard_of(organisation: &OrganisationId, shards: u16) -> ShardId {
    let digest = Sha256::digest(organisation.as_str().as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    let shard = u64::from_be_bytes(prefix) % u64::from(shards.max(1));
    ShardId::new(u16::try_from(shard).unwrap_or_default())
}

/// An instance from one start to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceIncarnation {
    /// The instance.
    pub instance: InstanceId,
    /// Its incarnation, a random id that is new at each start.
    pub incarnation: IncarnationId,
}

/// The slot row, stored in the table under `slot/{zone}/{shard}`.
///
/// A row is only replaced if it still equals the row that was read before.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotRow {
    /// The router that decides on the use of the budgets.
    pub holder: InstanceIncarnation,
    /// The router that keeps a copy of the holder's ledger, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub witness: Option<InstanceIncarnation>,
    /// Increases with every change of holder or witness.
    pub epoch: SlotEpoch,
    /// The epoch in which the current holder began; its grants carry it.
    pub tenure: SlotEpoch,
}

impl SlotRow {
    /// The first row of a slot that had no holder before.
    #[must_use]
    pub const fn first(holder: InstanceIncarnation) -> Self {
        Self {
            holder,
            witness: None,
            epoch: SlotEpoch::new(1),
            tenure: SlotEpoch::new(1),
        }
    }

    /// The row after a change of the witness by the holder.
    #[must_use]
    pub fn with_witness(&self, witness: Option<InstanceIncarnation>) -> Self {
        Self {
            holder: self.holder.clone(),
            witness,
            epoch: self.epoch.next(),
            tenure: self.tenure,
        }
    }

    /// The row after another router became the holder; it has no witness yet.
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
