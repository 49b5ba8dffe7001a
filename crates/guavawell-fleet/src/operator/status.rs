//! What an instance tells operators of itself.

use std::net::SocketAddr;

use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::BackendId;
use guavawell_core::id::BudgetId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::RequestId;
use guavawell_core::id::TokenCount;
use guavawell_core::id::ZoneId;
use guavawell_core::manifest::VersionProof;
use serde::Deserialize;
use serde::Serialize;

/// The prefix of the table's keys of instances.
pub const INSTANCE_PREFIX: &str = "instance/";

/// The table's key of an instance.
#[must_use]
pub fn instance_key(instance: &InstanceId) -> Box<str> {
    format!("{INSTANCE_PREFIX}{instance}").into()
}

/// The table's row of an instance: where it can be reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Its port for operators.
    pub operator: SocketAddr,
    /// Its port for callers.
    pub callers: SocketAddr,
    /// Its port for other routers.
    pub peer: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its life.
    pub incarnation: IncarnationId,
}

/// The answer to `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its life.
    pub incarnation: IncarnationId,
    /// The manifest version in force, if any is.
    pub version: Option<ManifestVersion>,
    /// Since when it is in force, in milliseconds by the instance's clock.
    pub since: Option<ClockTime>,
    /// How the instance knows of the version.
    pub proof: Option<VersionProof>,
    /// Why the instance takes no traffic, if it takes none.
    #[serde(default)]
    pub not_ready: Option<Box<str>>,
    /// Whether the instance is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// One attempt in doubt, of the answer to `GET /doubts`: reserved, perhaps
/// sent, not settled, and held at its worst case until its backend server's
/// record tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoubtLine {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The budget.
    pub budget: BudgetId,
    /// The reserved worst case.
    pub reserved: TokenCount,
    /// The router that ran it.
    pub router: InstanceId,
    /// The backend server, if the router told before it was gone.
    pub backend: Option<BackendId>,
}
