//! `audit`: one request, or one budget, from the journal and the table.
//!
//! Reads and compares; it never writes.

mod budget;
mod doubt;
mod journal;
mod request;

use std::time::Duration;

use crate::args::AuditTarget;
use crate::error::CtlError;
use crate::exit::ExitCode;
use crate::platform::CtlPlatform;
use crate::settings::CtlSettings;

/// Audits what was asked for.
pub async fn audit(settings: &CtlSettings, target: &AuditTarget) -> Result<ExitCode, CtlError> {
    let platform = CtlPlatform::new(settings)?;
    match target {
        AuditTarget::Request {
            organisation,
            request,
        } => request::audit_request(settings, &platform, organisation, request).await,
        AuditTarget::Doubts => doubt::audit(settings, &platform).await,
        AuditTarget::Budget { budget, wait } => {
            let wait = Duration::from_secs(*wait);
            budget::audit(settings, &platform, budget, wait).await
        }
    }
}
