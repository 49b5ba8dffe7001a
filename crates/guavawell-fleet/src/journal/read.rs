//! Reads the whole journal, or a shard's part of it, for an audit.

use guavawell_core::id::ShardId;
use guavawell_core::request::billing::BillingRecord;
use guavawell_core::request::billing::read_segment;

use crate::platform::Objects;
use crate::platform::PlatformError;

/// Reads every record of `shard`, or of all shards, in no particular order.
///
/// # Errors
///
/// A segment that cannot be read is an error: an audit must not pass over it.
pub async fn read_journal(
    objects: &Objects,
    shard: Option<ShardId>,
) -> Result<Vec<BillingRecord>, PlatformError> {
    let prefix = match shard {
        Some(shard) => format!("journal/{shard}/"),
        None => "journal/".to_owned(),
    };
    let mut records = Vec::new();
    for key in objects.list(&prefix).await? {
        let body = objects.get(&key).await?;
        let body = body.ok_or_else(|| unreadable(&key, "listed, but not there"))?;
        let segment = read_segment(&body).map_err(|error| unreadable(&key, &error.to_string()))?;
        records.extend(segment);
    }
    Ok(records)
}

fn unreadable(key: &str, detail: &str) -> PlatformError {
    PlatformError::Refused(format!("segment `{key}`: {detail}").into())
}
