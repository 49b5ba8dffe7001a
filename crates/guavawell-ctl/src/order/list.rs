//! `order list`

use guavawell_core::order::PermitSettings;
use guavawell_fleet::order::OrderTable;
use guavawell_fleet::order::StoredOrder;

use crate::error::CtlError;
use crate::output::TextTable;
use crate::output::print_report;
use crate::platform::CtlPlatform;
use crate::settings::CtlSettings;

/// Prints the latest order of each backend server.
pub async fn list(settings: &CtlSettings) -> Result<(), CtlError> {
    let platform = CtlPlatform::new(settings)?;
    let table = OrderTable::new(platform.table, PermitSettings::default());
    let orders = table.read_all().await?;
    print_report(settings, &orders, |orders| list_text(orders))
}

fn list_text(orders: &[StoredOrder]) -> String {
    let mut table = TextTable::new(&["BACKEND", "FENCE", "STATE", "ORDER", "ISSUER"]);
    for order in orders {
        let row = &order.row;
        table.push(vec![
            order.backend.to_string(),
            row.fence.to_string(),
            if row.done { "done" } else { "open" }.to_owned(),
            row.kind.to_string(),
            row.owner.instance.to_string(),
        ]);
    }
    table.to_string()
}
