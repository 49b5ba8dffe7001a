//! `retention show`

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::ClaimGeneration;
use guavawell_core::retention::KEPT_GENERATIONS;
use guavawell_fleet::retention::RetentionTable;
use serde::Serialize;

use crate::error::CtlError;
use crate::output::TextTable;
use crate::output::print_report;
use crate::platform::CtlPlatform;
use crate::settings::CtlSettings;

/// Where the generations of claims and their sweep stand.
#[derive(Debug, Serialize)]
struct RetentionReport {
    /// The generation in force.
    generation: ClaimGeneration,
    /// How long it has lasted at least, in milliseconds.
    aged_ms: ClockSpan,
    /// Generations for which a claim is kept.
    kept_generations: u64,
    /// Claims last written before this revision are due; 0: none.
    due_before: u64,
    /// The generation in which the last pass began.
    pass: ClaimGeneration,
    /// The last key that the pass looked at; `None` while none is under way.
    cursor: Option<Box<str>>,
    /// Claims deleted, at least.
    deleted: u64,
}

/// Prints where retention stands.
pub async fn show(settings: &CtlSettings) -> Result<(), CtlError> {
    let platform = CtlPlatform::new(settings)?;
    let view = RetentionTable::new(platform.table).read().await?;
    let due_before = view.due_before();
    let report = RetentionReport {
        generation: view.generation.generation,
        aged_ms: view.sweep.aged,
        kept_generations: KEPT_GENERATIONS,
        due_before,
        pass: view.sweep.pass,
        cursor: view.sweep.cursor,
        deleted: view.sweep.deleted,
    };
    print_report(settings, &report, show_text)
}

fn show_text(report: &RetentionReport) -> String {
    let mut table = TextTable::new(&["WHAT", "VALUE"]);
    let mut push = |what: &str, value: String| table.push(vec![what.to_owned(), value]);
    push("generation", report.generation.to_string());
    push("lasted at least", report.aged_ms.to_string());
    push("generations kept", report.kept_generations.to_string());
    push("due before revision", report.due_before.to_string());
    push("last pass began in", report.pass.to_string());
    let cursor = report.cursor.as_deref().unwrap_or("-");
    push("pass stands at", cursor.to_owned());
    push("claims deleted", report.deleted.to_string());
    table.to_string()
}
