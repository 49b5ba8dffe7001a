//! What the manifest and the servers' reports say of a backend server.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::BackendId;
use crate::id::IdError;
use crate::id::ModelId;
use crate::id::ServiceId;
use crate::id::ZoneId;

/// The version of a model's or adapter's weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ModelVersion(Box<str>);

impl ModelVersion {
    /// The version as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ModelVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl FromStr for ModelVersion {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        if text.is_empty() {
            return Err(IdError::Empty);
        }
        Ok(Self(text.into()))
    }
}

/// A model or adapter that a server holds, with its version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServedModel {
    /// The model or adapter.
    pub model: ModelId,
    /// Its version.
    pub version: ModelVersion,
}

/// What a request is routed to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RouteTarget {
    /// A model or adapter of the model engines.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

/// One backend server as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendSpec {
    /// The server.
    pub id: BackendId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The models and adapters that it holds.
    pub models: Vec<ServedModel>,
    /// The plain services that it runs.
    pub services: Vec<ServiceId>,
    /// Whether an operator or the server itself has announced its leaving.
    pub leaving: bool,
}
