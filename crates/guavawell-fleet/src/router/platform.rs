//! The router's clients of the platform, held to its shares.

use std::sync::Arc;

use super::settings::platform_pool;
use super::share::RouterShares;
use crate::drill::LinkGate;
use crate::platform::CarrierLink;
use crate::platform::InstanceList;
use crate::platform::Objects;
use crate::platform::Table;
use crate::settings::RouterSettings;

/// Table, object store and instance list; all draw on the same shares.
pub struct PlatformClients {
    /// The table.
    pub table: Table,
    /// The object store.
    pub objects: Objects,
    /// The instance list.
    pub instances: InstanceList,
    /// The shares.
    pub shares: Arc<RouterShares>,
}

impl PlatformClients {
    /// The clients that `settings` describe.
    #[must_use]
    pub fn new(
        settings: &RouterSettings,
        gate: &LinkGate,
        carriers: Option<&Arc<CarrierLink>>,
    ) -> Self {
        let platform = &settings.platform;
        let pool = platform_pool(settings, gate);
        let shares = RouterShares::new(platform);
        let table = Table::new(platform.table, pool.clone());
        let table = table.with_writes(&shares.writes).with_reads(&shares.reads);
        let objects = Objects::new(platform.objects, &platform.bucket, pool.clone());
        let objects = objects
            .with_writes(&shares.writes)
            .with_reads(&shares.reads);
        let instances = InstanceList::new(platform.instances, &platform.namespace, pool);
        let own = Self {
            table,
            objects,
            instances: instances.with_reads(&shares.reads),
            shares: Arc::new(shares),
        };
        match carriers {
            None => own,
            Some(link) => Self {
                table: own.table.with_relay(link),
                objects: own.objects.with_relay(link),
                ..own
            },
        }
    }
}
