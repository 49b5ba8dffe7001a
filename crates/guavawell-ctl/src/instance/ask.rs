//! Asks every instance that the table names for a page.

use std::io;

use futures::future::join_all;
use guavawell_core::id::InstanceId;
use guavawell_fleet::operator::INSTANCE_PREFIX;
use guavawell_fleet::operator::InstanceRow;
use guavawell_fleet::platform::TableRow;
use http_types::Method;

use super::operator::OperatorClient;
use super::operator::OperatorTarget;
use crate::error::CtlError;
use crate::platform::CtlPlatform;
use crate::platform::read_row;
use crate::settings::CtlSettings;

/// What one instance answered.
pub struct InstanceAnswer {
    /// The instance.
    pub instance: InstanceId,
    /// The page, or why there is none.
    pub page: io::Result<Vec<u8>>,
}

/// Asks every instance for the page at `path`.
pub async fn ask_instances(
    settings: &CtlSettings,
    platform: &CtlPlatform,
    path: &str,
) -> Result<Vec<InstanceAnswer>, CtlError> {
    let client = OperatorClient::new(settings)?;
    let rows = platform.table.range(INSTANCE_PREFIX).await?;
    let answers = rows.iter().map(|row| ask(&client, row, path));
    join_all(answers).await.into_iter().collect()
}

async fn ask(
    client: &OperatorClient,
    row: &TableRow,
    path: &str,
) -> Result<InstanceAnswer, CtlError> {
    let (instance, row) = read_listed(row)?;
    let page = ask_page(client, &instance, &row, path).await;
    Ok(InstanceAnswer { instance, page })
}

/// The instance that a row of the table names, and the row.
pub fn read_listed(row: &TableRow) -> Result<(InstanceId, InstanceRow), CtlError> {
    let name = row.key.strip_prefix(INSTANCE_PREFIX).unwrap_or(&row.key);
    let instance: InstanceId = name.parse().map_err(|error| CtlError::BadRow {
        key: row.key.clone(),
        reason: format!("{error}").into(),
    })?;
    Ok((instance, read_row(row)?))
}

/// Asks an instance for the page at `path`.
pub async fn ask_page(
    client: &OperatorClient,
    instance: &InstanceId,
    row: &InstanceRow,
    path: &str,
) -> io::Result<Vec<u8>> {
    let target = OperatorTarget {
        instance,
        address: row.operator,
    };
    client.ask(&target, Method::Get, path).await
}
