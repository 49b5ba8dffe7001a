//! `instance drain`

use guavawell_core::finding::nearest_word;
use guavawell_core::id::InstanceId;
use guavawell_fleet::operator::INSTANCE_PREFIX;
use guavawell_fleet::operator::InstanceRow;
use guavawell_fleet::operator::instance_key;
use http_types::Method;
use serde::Serialize;

use super::operator::OperatorClient;
use super::operator::OperatorTarget;
use crate::error::CtlError;
use crate::output::print_report;
use crate::platform::CtlPlatform;
use crate::platform::read_row;
use crate::settings::CtlSettings;

/// An instance that begins to leave.
#[derive(Debug, Serialize)]
struct DrainReport {
    instance: InstanceId,
    leaving: bool,
}

/// Asks an instance to shut down gracefully.
pub async fn drain(settings: &CtlSettings, instance: &InstanceId) -> Result<(), CtlError> {
    let platform = CtlPlatform::new(settings)?;
    let read = platform.table.get(&instance_key(instance)).await?;
    let Some(row) = read.row else {
        return Err(not_found(&platform, instance).await?);
    };
    let row: InstanceRow = read_row(&row)?;
    let target = OperatorTarget {
        instance,
        address: row.operator,
    };
    let client = OperatorClient::new(settings)?;
    let answer = client.ask(&target, Method::Post, "/drain").await;
    answer.map_err(|source| CtlError::Instance {
        instance: instance.clone(),
        source,
    })?;
    let report = DrainReport {
        instance: instance.clone(),
        leaving: true,
    };
    print_report(settings, &report, |report| {
        format!(
            "{} is leaving; `instance list` shows it until its streams are done",
            report.instance
        )
    })
}

async fn not_found(platform: &CtlPlatform, instance: &InstanceId) -> Result<CtlError, CtlError> {
    let rows = platform.table.range(INSTANCE_PREFIX).await?;
    let names = rows
        .iter()
        .filter_map(|row| row.key.strip_prefix(INSTANCE_PREFIX));
    let names: Vec<&str> = names.collect();
    let nearest = nearest_word(instance.as_str(), &names);
    let hint = nearest.map_or_else(String::new, |name| format!("; the nearest is `{name}`"));
    Ok(CtlError::NotFound {
        kind: "instance",
        name: instance.as_str().into(),
        hint: hint.into(),
    })
}
