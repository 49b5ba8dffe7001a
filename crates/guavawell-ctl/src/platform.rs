//! The platform, as the command line uses it.

use guavawell_core::manifest::VersionRow;
use guavawell_core::manifest::page::RootPage;
use guavawell_fleet::config::ManifestStore;
use guavawell_fleet::platform::Objects;
use guavawell_fleet::platform::PoolSettings;
use guavawell_fleet::platform::Table;
use guavawell_fleet::platform::TableRow;
use serde::de::DeserializeOwned;

use crate::error::CtlError;
use crate::settings::CtlSettings;

/// Table and manifests at the platform.
#[derive(Clone, Debug)]
pub struct CtlPlatform {
    /// The table.
    pub table: Table,
    /// The object store.
    pub objects: Objects,
    /// Versions and pages of manifests.
    pub store: ManifestStore,
}

impl CtlPlatform {
    /// The platform that the settings name.
    pub fn new(settings: &CtlSettings) -> Result<Self, CtlError> {
        let address = settings.platform.ok_or(CtlError::NoPlatform)?;
        let table = Table::new(address, PoolSettings::default());
        let objects = Objects::new(address, &settings.bucket, PoolSettings::default());
        let store = ManifestStore::new(table.clone(), objects.clone());
        Ok(Self {
            table,
            objects,
            store,
        })
    }

    /// The version in force.
    pub async fn current(&self) -> Result<VersionRow, CtlError> {
        let stored = self.store.current().await?;
        stored.row.ok_or(CtlError::NoManifest)
    }

    /// The root page of the version in force.
    pub async fn current_root(&self) -> Result<RootPage, CtlError> {
        let row = self.current().await?;
        Ok(self.store.read_root(row.root).await?)
    }
}

/// Reads the JSON value of a row.
pub fn read_row<T: DeserializeOwned>(row: &TableRow) -> Result<T, CtlError> {
    serde_json::from_slice(&row.value).map_err(|error| CtlError::BadRow {
        key: row.key.clone(),
        reason: error.to_string().into(),
    })
}
