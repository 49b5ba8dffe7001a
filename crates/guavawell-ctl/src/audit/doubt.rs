//! What is in doubt: reserved, perhaps sent, and not settled.

use guavawell_core::id::InstanceId;
use guavawell_fleet::operator::DoubtLine;
use serde::Serialize;

use crate::error::CtlError;
use crate::exit::ExitCode;
use crate::instance::InstanceAnswer;
use crate::instance::ask_instances;
use crate::output::TextTable;
use crate::output::print_report;
use crate::platform::CtlPlatform;
use crate::settings::CtlSettings;

/// Everything in doubt, as the instances tell.
#[derive(Debug, Default, Serialize)]
struct DoubtReport {
    /// Instances that answered.
    asked: usize,
    /// Instances that did not; what they hold in doubt is not listed.
    silent: Vec<InstanceId>,
    /// The attempts, each once.
    doubts: Vec<DoubtLine>,
}

impl DoubtReport {
    fn add(&mut self, answer: InstanceAnswer) {
        let page = answer.page.ok();
        let lines = page.and_then(|page| serde_json::from_slice::<Vec<DoubtLine>>(&page).ok());
        let Some(lines) = lines else {
            self.silent.push(answer.instance);
            return;
        };
        self.asked += 1;
        for line in lines {
            if self
                .doubts
                .iter()
                .all(|known| known.attempt != line.attempt)
            {
                self.doubts.push(line);
            }
        }
    }
}

/// Lists what is in doubt.
pub async fn audit(settings: &CtlSettings, platform: &CtlPlatform) -> Result<ExitCode, CtlError> {
    let mut report = DoubtReport::default();
    for answer in ask_instances(settings, platform, "/doubts").await? {
        report.add(answer);
    }
    print_report(settings, &report, doubts_text)?;
    Ok(if report.doubts.is_empty() {
        ExitCode::Success
    } else {
        ExitCode::InDoubt
    })
}

fn doubts_text(report: &DoubtReport) -> String {
    let mut text = format!(
        "{} attempts in doubt, as {} instances tell",
        report.doubts.len(),
        report.asked
    );
    for instance in &report.silent {
        text.push_str("\nno answer: ");
        text.push_str(instance.as_str());
    }
    if report.doubts.is_empty() {
        return text;
    }
    let mut table = TextTable::new(&[
        "ORGANISATION",
        "REQUEST",
        "ATTEMPT",
        "BUDGET",
        "RESERVED",
        "ROUTER",
        "BACKEND",
    ]);
    for line in &report.doubts {
        let backend = line.backend.as_ref();
        table.push(vec![
            line.organisation.to_string(),
            line.request.to_string(),
            line.attempt.to_string(),
            line.budget.to_string(),
            line.reserved.to_string(),
            line.router.to_string(),
            backend.map_or_else(|| "not known".to_owned(), ToString::to_string),
        ]);
    }
    text.push('\n');
    text.push_str(&table.to_string());
    text
}
