//! Prints reports and errors, as text or as JSON.
//!
//! Owns the forms of what is printed; it never decides how the process ends.

mod table;
mod time;

use std::io;
use std::io::Write;

use guavawell_core::finding::FindingList;
use serde::Serialize;

pub use table::TextTable;
pub use time::time_text;

use crate::error::CtlError;
use crate::settings::CtlSettings;

/// An error as JSON.
#[derive(Serialize)]
struct ErrorReport<'e> {
    error: String,
    exit_code: u8,
    #[serde(skip_serializing_if = "Option::is_none")]
    findings: Option<&'e FindingList>,
}

/// Prints a report: itself as JSON, or its text.
pub fn print_report<R: Serialize>(
    settings: &CtlSettings,
    report: &R,
    text: impl FnOnce(&R) -> String,
) -> Result<(), CtlError> {
    let printed = if settings.json {
        serde_json::to_string_pretty(report).map_err(io::Error::from)?
    } else {
        text(report)
    };
    writeln!(io::stdout().lock(), "{}", printed.trim_end())?;
    Ok(())
}

/// Prints an error: findings each on its line, anything else as one line.
pub fn print_error(settings: &CtlSettings, error: &CtlError) {
    if settings.json {
        let findings = match error {
            CtlError::Findings(findings) => Some(findings),
            _ => None,
        };
        let report = ErrorReport {
            error: error.to_string(),
            exit_code: error.exit_code().code(),
            findings,
        };
        println!(
            "{}",
            serde_json::to_string_pretty(&report).unwrap_or_default()
        );
        return;
    }
    match error {
        CtlError::Findings(findings) => {
            eprintln!("{findings}");
            let count = findings.len();
            let noun = if count == 1 { "finding" } else { "findings" };
            eprintln!("guavawell-ctl: {count} {noun}");
        }
        _ => eprintln!("guavawell-ctl: {error}"),
    }
}
