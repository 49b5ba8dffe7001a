//! The table row with a backend server's latest order, and the state that its
//! engine reports.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::backend::ServedModel;
use crate::id::FenceNumber;
use crate::id::IncarnationId;
use crate::id::InstanceId;

/// One run of an instance that issues orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuerId {
    /// The instance.
    pub instance: InstanceId,
    /// Which run of the instance, from its start to its end.
    pub incarnation: IncarnationId,
}

/// The content of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderKind {
    /// Load this version of a model or adapter.
    Load(ServedModel),
    /// Unload this version of a model or adapter.
    Unload(ServedModel),
    /// Take on this role.
    Role(Box<str>),
}

/// The row `order/{backend}` with the latest order.
///
/// The fencing number increases with each new order and never decreases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// The issuer.
    pub owner: IssuerId,
    /// The order's fencing number.
    pub fence: FenceNumber,
    /// The order.
    pub kind: OrderKind,
    /// Whether the engine was read in the ordered state.
    pub done: bool,
}

/// An engine's answer to `GET /v1/orders`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReading {
    /// Highest fencing number that the engine has received; 0 if it ignores
    /// fencing numbers.
    pub fence: FenceNumber,
    /// Loaded models and adapters.
    pub models: Vec<ServedModel>,
    /// Models and adapters that are being loaded.
    pub loading: Vec<ServedModel>,
    /// The engine's role.
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

    /// Whether the engine is loading the ordered model.
    #[must_use]
    pub fn is_in_progress(&self, reading: &EngineReading) -> bool {
        matches!(self, Self::Load(served) if reading.loading.contains(served))
    }
}
