//! What this router tells operators of itself.

use std::sync::Arc;

use guavawell_core::manifest::NotInForce;

use super::core::RouterCore;
use crate::config::ConfigHandle;
use crate::operator::InstanceStatus;

/// The answer to `GET /status`.
#[must_use]
pub fn instance_status(core: &RouterCore, config: &ConfigHandle) -> InstanceStatus {
    let snapshot = config.load();
    let in_force = snapshot.in_force.as_ref();
    InstanceStatus {
        instance: core.life.instance.clone(),
        zone: core.settings.instance.zone.clone(),
        incarnation: core.life.incarnation,
        version: in_force.map(|held| held.row.version),
        since: in_force.map(|held| held.since),
        proof: in_force.map(|held| held.proof),
        not_ready: not_ready(core, snapshot.not_ready),
        leaving: core.is_leaving(),
    }
}

/// Why callers are not served; `None` if they are.
fn not_ready(core: &RouterCore, config: Option<NotInForce>) -> Option<Box<str>> {
    if core.is_leaving() {
        return Some("leaving".into());
    }
    config.map(|reason| reason.to_string().into())
}

/// Whether the balancer may send callers here.
///
/// # Errors
///
/// The reason why not.
pub fn readiness(core: &Arc<RouterCore>, config: &ConfigHandle) -> Result<(), Box<str>> {
    match not_ready(core, config.load().not_ready) {
        Some(reason) => Err(reason),
        None => Ok(()),
    }
}
