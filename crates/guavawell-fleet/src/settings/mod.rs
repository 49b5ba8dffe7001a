//! The router's settings: one TOML file, read once at start.
//!
//! Each group is a plain struct with `Default`; a key left out keeps its
//! default. Reading collects every finding with its place and reports them
//! together. This folder never acts on a setting.

#[macro_use]
mod group;

mod check;
mod network;
mod policy;
mod reader;
mod reference;
#[cfg(test)]
mod tests;
mod unit;
mod value;

use std::fs;
use std::io;
use std::path::Path;

use guavawell_core::finding::FindingList;
use thiserror::Error;

use self::reader::FileReader;

pub(crate) use check::MIN_KEY_BYTES;

pub use network::CallerSettings;
pub use network::GossipSettings;
pub use network::InstanceSettings;
pub use network::OperatorSettings;
pub use network::PeerSettings;
pub use network::PlatformSettings;
pub use network::TlsSettings;
pub use policy::LimitSettings;
pub use policy::LogSettings;
pub use policy::OrderSettings;
pub use policy::RetentionSettings;
pub use policy::RoutingSettings;
pub use policy::ShutdownSettings;
pub use policy::SlotSettings;
pub use reference::reference_page;
pub use unit::ByteCount;
pub use unit::ByteRate;
pub use unit::EventTarget;
pub use unit::FilePath;
pub use unit::LogLevel;
pub use unit::ReadRate;
pub use unit::SecretText;
pub use unit::ShareRatio;
pub use unit::WriteRate;

settings_group! {
    /// All settings of a router.
    pub struct RouterSettings {
        /// Who this instance is.
        instance: InstanceSettings = InstanceSettings::default();
        /// The port that callers reach through the platform's balancer.
        callers: CallerSettings = CallerSettings::default();
        /// The operators' port: health, readiness, metrics, status.
        operators: OperatorSettings = OperatorSettings::default();
        /// Calls between routers.
        peers: PeerSettings = PeerSettings::default();
        /// Membership among routers, over UDP.
        gossip: GossipSettings = GossipSettings::default();
        /// The platform's table service, object store and instance list.
        platform: PlatformSettings = PlatformSettings::default();
        /// Budget slots: holders, witnesses, grants.
        slots: SlotSettings = SlotSettings::default();
        /// Choice of backend servers.
        routing: RoutingSettings = RoutingSettings::default();
        /// Orders to model engines.
        orders: OrderSettings = OrderSettings::default();
        /// How long what lies at the platform is kept.
        retention: RetentionSettings = RetentionSettings::default();
        /// Admission of requests.
        limits: LimitSettings = LimitSettings::default();
        /// Graceful shutdown.
        shutdown: ShutdownSettings = ShutdownSettings::default();
        /// The log and the event log.
        log: LogSettings = LogSettings::default();
    }
}

/// Why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read settings {path}: {source}; give a readable file with --settings")]
    Unreadable {
        /// The file's path.
        path: Box<Path>,
        /// What the system said.
        source: io::Error,
    },
    /// The file holds findings.
    #[error("{0}")]
    Findings(#[from] FindingList),
}

impl RouterSettings {
    /// Reads the settings file at `path`; paths in it count from its folder.
    ///
    /// # Errors
    ///
    /// The file is unreadable, or it holds findings: all of them are returned.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.into(),
            source,
        })?;
        let settings = Self::parse(path, &text)?;
        Ok(settings)
    }

    /// Reads settings from `text`; `path` names the file in findings.
    ///
    /// # Errors
    ///
    /// All findings, sorted by place.
    pub fn parse(path: &Path, text: &str) -> Result<Self, FindingList> {
        let file = FileReader::new(path, text);
        let document = file.document();
        if file.is_broken() {
            return Err(file.into_findings());
        }
        let settings = Self::read_table(&file.root(&document, Self::KEYS));
        check::check(&settings, &file);
        let findings = file.into_findings();
        if findings.is_empty() {
            Ok(settings)
        } else {
            Err(findings)
        }
    }
}
