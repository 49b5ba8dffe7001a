//! `manifest show`

use guavawell_core::manifest::VersionRow;
use serde::Serialize;

use crate::error::CtlError;
use crate::instance::InstanceReport;
use crate::instance::read_instances;
use crate::output::TextTable;
use crate::output::print_report;
use crate::output::time_text;
use crate::platform::CtlPlatform;
use crate::settings::CtlSettings;

/// The version in force and what each instance runs.
#[derive(Debug, Serialize)]
struct ShowReport {
    version: VersionRow,
    instances: Vec<InstanceReport>,
}

/// Prints the version in force, and which instance runs which version.
pub async fn show(settings: &CtlSettings) -> Result<(), CtlError> {
    let platform = CtlPlatform::new(settings)?;
    let version = platform.current().await?;
    let instances = read_instances(settings, &platform).await?;
    let report = ShowReport { version, instances };
    print_report(settings, &report, show_text)
}

fn show_text(report: &ShowReport) -> String {
    let row = &report.version;
    let head = format!(
        "version {} on top of {}, accepted by {} at {}, root {}\n",
        row.version,
        row.base,
        row.who,
        time_text(row.when),
        row.root
    );
    let mut table = TextTable::new(&["INSTANCE", "ZONE", "RUNS", "SINCE", "PROOF", "STATE"]);
    for instance in &report.instances {
        let runs = instance.version.map(|version| version.to_string());
        let since = instance.since.map(time_text);
        let proof = instance.proof.map(|proof| proof.to_string());
        table.push(vec![
            instance.instance.to_string(),
            instance.zone.to_string(),
            runs.unwrap_or_else(|| "-".to_owned()),
            since.unwrap_or_else(|| "-".to_owned()),
            proof.unwrap_or_else(|| "-".to_owned()),
            instance.state.to_string(),
        ]);
    }
    head + &table.to_string()
}
