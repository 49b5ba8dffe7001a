//! The billing journal of an organisation's shard.

use guavawell_core::budget::shard_of;
use guavawell_core::id::OrganisationId;
use guavawell_core::request::billing::BillingRecord;
use guavawell_fleet::journal::read_journal;

use crate::error::CtlError;
use crate::platform::CtlPlatform;

/// Reads every record that may concern an organisation.
pub async fn read_records(
    platform: &CtlPlatform,
    organisation: &OrganisationId,
) -> Result<Vec<BillingRecord>, CtlError> {
    let root = platform.current_root().await?;
    let base = platform.store.read_base(&root).await?;
    let shard = shard_of(organisation, base.fleet.shards);
    Ok(read_journal(&platform.objects, Some(shard)).await?)
}
