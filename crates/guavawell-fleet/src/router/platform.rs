//! The router's clients of the platform, held to its share of writes.

use std::sync::Arc;

use guavawell_core::platform::SharePolicy;

use super::settings::platform_pool;
use crate::drill::LinkGate;
use crate::platform::CarrierLink;
use crate::platform::Objects;
use crate::platform::Table;
use crate::platform::WriteGate;
use crate::settings::RouterSettings;

/// Seconds of the share that may be saved up for a burst.
const BURST_SECONDS: u32 = 2;

/// Table and object store; both draw on one share of writes.
pub struct PlatformClients {
    /// The table.
    pub table: Table,
    /// The object store.
    pub objects: Objects,
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
        let writes = WriteGate::new(share_policy(settings), platform.timeout_ms);
        let table = Table::new(platform.table, pool.clone());
        let objects = Objects::new(platform.objects, &platform.bucket, pool);
        let table = table.with_writes(&writes);
        let objects = objects.with_writes(&writes);
        match carriers {
            None => Self { table, objects },
            Some(link) => Self {
                table: table.with_relay(link),
                objects: objects.with_relay(link),
            },
        }
    }
}

/// This router's share of the platform's writes.
pub(super) fn share_policy(settings: &RouterSettings) -> SharePolicy {
    let rate = settings.platform.writes_per_second.get();
    let per_second = u32::try_from(rate).unwrap_or(u32::MAX);
    SharePolicy {
        per_second,
        burst: per_second.saturating_mul(BURST_SECONDS),
    }
}
