//! What a manifest states, typed, sorted and free of findings.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::BudgetList;
use super::KeyHash;
use super::StatedBudget;
use crate::id::BackendId;
use crate::id::BudgetId;
use crate::id::ModelId;
use crate::id::OrganisationId;
use crate::id::ServiceId;
use crate::id::TokenCount;
use crate::id::ZoneId;

/// A whole manifest without findings. Every list is sorted by id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetManifest {
    /// The fleet's shape.
    pub fleet: FleetShape,
    /// The organisations, each with its budgets.
    pub organisations: Box<[OrganisationEntry]>,
    /// The models, each with its adapters.
    pub models: Box<[ModelEntry]>,
    /// The backend servers.
    pub backends: Box<[BackendEntry]>,
    /// The plain services.
    pub services: Box<[ServiceEntry]>,
}

/// The shape of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetShape {
    /// How many shards organisations hash into.
    pub shards: u16,
    /// The availability zones, sorted.
    pub zones: Box<[ZoneId]>,
}

/// An organisation and what belongs to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationEntry {
    /// The organisation.
    pub id: OrganisationId,
    /// The digest of its bearer key.
    pub key_hash: KeyHash,
    /// The budget drawn on when a request names none.
    pub default_budget: BudgetId,
    /// Its share under contention, relative to other organisations; at least 1.
    pub weight: u32,
    /// The adapters it may use, sorted.
    pub adapters: Box<[ModelId]>,
    /// Its budgets, sorted by id.
    pub budgets: BudgetList,
}

impl OrganisationEntry {
    /// The organisation's budget of this id.
    #[must_use]
    pub fn budget(&self, id: &BudgetId) -> Option<StatedBudget<'_>> {
        self.budgets.get(id)
    }
}

/// A prepaid budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetEntry {
    /// The budget.
    pub id: BudgetId,
    /// The tokens paid for, top-ups by `guavawell-ctl` not counted.
    pub paid: TokenCount,
}

/// A model to be served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// The model.
    pub id: ModelId,
    /// Its version.
    pub version: Box<str>,
    /// The most tokens that one answer may have.
    pub max_output: TokenCount,
    /// How many backend servers of each zone should serve it.
    pub replicas_per_zone: u16,
    /// The zones that should serve it, sorted.
    pub zones: Box<[ZoneId]>,
    /// Its adapters, sorted by id.
    pub adapters: Box<[AdapterEntry]>,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterEntry {
    /// The adapter.
    pub id: ModelId,
    /// Its version.
    pub version: Box<str>,
}

/// What a backend server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BackendKind {
    /// A model engine.
    Model,
    /// A plain service.
    Service,
}

impl fmt::Display for BackendKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Model => "model",
            Self::Service => "service",
        })
    }
}

impl FromStr for BackendKind {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Box<str>> {
        match text {
            "model" => Ok(Self::Model),
            "service" => Ok(Self::Service),
            _ => Err(format!("`{text}` is no kind; state `model` or `service`").into()),
        }
    }
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendEntry {
    /// The backend server.
    pub id: BackendId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its address, by IP number.
    pub address: SocketAddr,
    /// What it runs.
    pub kind: BackendKind,
    /// The models it serves, sorted; empty for a plain service.
    pub models: Box<[ModelId]>,
    /// How many attempts it runs at once.
    pub slots: u32,
    /// Whether it refuses an order that carries an old fencing number.
    pub fences_orders: bool,
    /// Whether it refuses a request that carries an old fencing number.
    pub fences_requests: bool,
    /// Whether it is leaving: it gets no new work.
    pub leaving: bool,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// The service.
    pub id: ServiceId,
    /// What one call costs.
    pub cost_tokens: TokenCount,
    /// Whether a call may be repeated unless the caller says otherwise.
    pub idempotent: bool,
    /// The backend servers that run it, sorted.
    pub backends: Box<[BackendId]>,
}
