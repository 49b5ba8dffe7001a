//! The sample manifest.

use std::fmt::Write;
use std::net::SocketAddr;

use guavawell_core::manifest::KeyHash;

use super::FleetSettings;

/// What a call of the plain service costs, in tokens.
pub const SERVICE_COST: u64 = 10;

/// The bearer key of an organisation.
#[must_use]
pub fn organisation_key(index: usize) -> String {
    format!("key-of-org-{index}")
}

/// A backend server of the manifest.
#[derive(Clone, Debug)]
pub struct BackendLine {
    /// Its id.
    pub id: Box<str>,
    /// The zone's number.
    pub zone: usize,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is a model engine.
    pub is_model: bool,
}

/// The manifest as TOML.
///
/// # Panics
///
/// Never: writing to a text does not fail.
#[must_use]
pub fn manifest_text(settings: &FleetSettings, backends: &[BackendLine]) -> String {
    let mut text = String::new();
    write_all(&mut text, settings, backends).expect("writing to a text does not fail");
    text
}

fn write_all(
    text: &mut String,
    settings: &FleetSettings,
    backends: &[BackendLine],
) -> std::fmt::Result {
    let zones: Vec<String> = (0..settings.zones)
        .map(|zone| format!("\"zone-{zone}\""))
        .collect();
    writeln!(text, "[fleet]\nshards = {}", settings.shards)?;
    writeln!(text, "zones = [{}]", zones.join(", "))?;
    for index in 0..settings.organisations {
        let hash = KeyHash::of(organisation_key(index).as_bytes());
        writeln!(text, "[[organisation]]\nid = \"org-{index}\"")?;
        writeln!(text, "key_hash = \"{hash}\"")?;
        writeln!(text, "default_budget = \"budget-{index}\"")?;
        writeln!(text, "[[budget]]\nid = \"budget-{index}\"")?;
        writeln!(text, "organisation = \"org-{index}\"")?;
        writeln!(text, "paid = {}", settings.paid_by(index))?;
    }
    writeln!(text, "[[model]]\nid = \"draft-7b\"")?;
    writeln!(text, "version = \"{}\"", settings.model_version)?;
    writeln!(text, "max_output = 4096")?;
    writeln!(text, "replicas_per_zone = {}", settings.replicas)?;
    for backend in backends {
        writeln!(text, "[[backend]]\nid = \"{}\"", backend.id)?;
        writeln!(text, "zone = \"zone-{}\"", backend.zone)?;
        writeln!(text, "address = \"{}\"", backend.address)?;
        if backend.is_model {
            writeln!(text, "kind = \"model\"\nmodels = [\"draft-7b\"]")?;
            writeln!(text, "slots = {}", settings.engine_slots)?;
        } else {
            writeln!(
                text,
                "kind = \"service\"\nslots = {}",
                settings.engine_slots
            )?;
        }
    }
    let services: Vec<String> = backends
        .iter()
        .filter(|backend| !backend.is_model)
        .map(|backend| format!("\"{}\"", backend.id))
        .collect();
    if !services.is_empty() {
        writeln!(text, "[[service]]\nid = \"registry\"")?;
        writeln!(text, "cost_tokens = {SERVICE_COST}")?;
        writeln!(text, "idempotent = false")?;
        writeln!(text, "backends = [{}]", services.join(", "))?;
    }
    Ok(())
}
