//! The table's row of one backend server's orders, and what the engine says.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::backend::ServedModel;
use crate::id::FenceNumber;
use crate::id::IncarnationId;
use crate::id::InstanceId;

/// One life of an instance that issues orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuerId {
    /// The instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: IncarnationId,
}

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderKind {
    /// Load a model or adapter version.
    Load(ServedModel),
    /// Unload one.
    Unload(ServedModel),
    /// Change the role.
    Role(Box<str>),
}

/// The row `order/{backend}`: the latest order. Its fencing number only rises.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// Who issues it.
    pub owner: IssuerId,
    /// Its fencing number.
    pub fence: FenceNumber,
    /// The order.
    pub kind: OrderKind,
    /// Whether the engine was seen to have carried it out.
    pub done: bool,
}

/// An engine's answer to `GET /v1/orders`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReading {
    /// Highest fencing number seen; stays zero at engines that ignore it.
    pub fence: FenceNumber,
    /// Models and adapters held.
    pub models: Vec<ServedModel>,
    /// Those being loaded.
    pub loading: Vec<ServedModel>,
    /// The role.
    pub role: Box<str>,
}

impl fmt::Display for OrderKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load(served) => write!(formatter, "load {}:{}", served.model, served.version),
            Self::Unload(served) => write!(formatter, "unload {}:{}", served.model, served.version),
            Self::Role(role) => write!(formatter, "role {role}"),
        }
    }
}

impl OrderKind {
    /// Whether the engine is in the ordered state.
    #[must_use]
    pub fn is_done(&self, reading: &EngineReading) -> bool {
        match self {
            Self::Load(served) => reading.models.contains(served),
            Self::Unload(served) => {
                !reading.models.contains(served) && !reading.loading.contains(served)
            }
            Self::Role(role) => reading.role == *role,
        }
    }

    /// Whether the engine is on the way there.
    #[must_use]
    pub fn is_in_progress(&self, reading: &EngineReading) -> bool {
        matches!(self, Self::Load(served) if reading.loading.contains(served))
    }
}
