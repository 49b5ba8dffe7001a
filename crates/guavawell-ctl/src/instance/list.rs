//! `instance list`

use super::InstanceReport;
use super::read_instances;
use crate::error::CtlError;
use crate::output::TextTable;
use crate::output::print_report;
use crate::platform::CtlPlatform;
use crate::settings::CtlSettings;

/// Prints the instances with their addresses and state.
pub async fn list(settings: &CtlSettings) -> Result<(), CtlError> {
    let platform = CtlPlatform::new(settings)?;
    let instances = read_instances(settings, &platform).await?;
    print_report(settings, &instances, |instances| list_text(instances))
}

fn list_text(instances: &[InstanceReport]) -> String {
    let mut table = TextTable::new(&[
        "INSTANCE",
        "ZONE",
        "INCARNATION",
        "CALLERS",
        "OPERATORS",
        "PEERS",
        "STATE",
    ]);
    for instance in instances {
        let row = &instance.row;
        table.push(vec![
            instance.instance.to_string(),
            instance.zone.to_string(),
            instance.incarnation.to_string(),
            row.callers.to_string(),
            row.operator.to_string(),
            row.peer.to_string(),
            instance.state.to_string(),
        ]);
    }
    table.to_string()
}
