//! What is known of each instance: its row and its own word.

use std::fmt;

use futures::future::join_all;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::ZoneId;
use guavawell_core::manifest::VersionProof;
use guavawell_fleet::operator::INSTANCE_PREFIX;
use guavawell_fleet::operator::InstanceRow;
use guavawell_fleet::operator::InstanceStatus;
use guavawell_fleet::platform::TableRow;
use serde::Serialize;

use super::ask::ask_page;
use super::ask::read_listed;
use super::operator::OperatorClient;
use crate::error::CtlError;
use crate::platform::CtlPlatform;
use crate::settings::CtlSettings;

/// What an instance does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It takes traffic.
    Ready,
    /// It takes no traffic yet, for the reason given.
    NotReady(Box<str>),
    /// It is leaving.
    Leaving,
    /// It does not answer; it may be gone, and its row be left over.
    NoAnswer(Box<str>),
    /// Another life answers than the row names.
    Restarted,
}

impl fmt::Display for InstanceState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ready => formatter.write_str("ready"),
            Self::NotReady(reason) => write!(formatter, "not ready: {reason}"),
            Self::Leaving => formatter.write_str("leaving"),
            Self::NoAnswer(reason) => write!(formatter, "no answer: {reason}"),
            Self::Restarted => formatter.write_str("restarted"),
        }
    }
}

/// An instance, as its row and itself tell.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceReport {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its life.
    pub incarnation: IncarnationId,
    /// Where it can be reached.
    pub row: InstanceRow,
    /// The manifest version that it runs.
    pub version: Option<ManifestVersion>,
    /// Since when, by its own clock.
    pub since: Option<ClockTime>,
    /// How it knows of the version.
    pub proof: Option<VersionProof>,
    /// What it does.
    pub state: InstanceState,
}

/// Reads every instance's row and asks each instance.
pub async fn read_instances(
    settings: &CtlSettings,
    platform: &CtlPlatform,
) -> Result<Vec<InstanceReport>, CtlError> {
    let client = OperatorClient::new(settings)?;
    let rows = platform.table.range(INSTANCE_PREFIX).await?;
    let reports = rows.iter().map(|row| read_instance(&client, row));
    join_all(reports).await.into_iter().collect()
}

async fn read_instance(
    client: &OperatorClient,
    row: &TableRow,
) -> Result<InstanceReport, CtlError> {
    let (instance, row) = read_listed(row)?;
    let answer = ask_page(client, &instance, &row, "/status").await;
    let status = answer.and_then(|body| Ok(serde_json::from_slice(&body)?));
    Ok(report(instance, row, status))
}

fn report(
    instance: InstanceId,
    row: InstanceRow,
    status: std::io::Result<InstanceStatus>,
) -> InstanceReport {
    let mut report = InstanceReport {
        instance,
        zone: row.zone.clone(),
        incarnation: row.incarnation,
        row,
        version: None,
        since: None,
        proof: None,
        state: InstanceState::Ready,
    };
    match status {
        Ok(status) => tell_status(&mut report, status),
        Err(error) => report.state = InstanceState::NoAnswer(error.to_string().into()),
    }
    report
}

fn tell_status(report: &mut InstanceReport, status: InstanceStatus) {
    report.version = status.version;
    report.since = status.since;
    report.proof = status.proof;
    if status.incarnation != report.incarnation || status.instance != report.instance {
        report.state = InstanceState::Restarted;
    } else if status.leaving {
        report.state = InstanceState::Leaving;
    } else if let Some(reason) = status.not_ready {
        report.state = InstanceState::NotReady(reason);
    }
}
