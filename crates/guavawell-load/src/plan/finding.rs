//! What is wrong with a plan, collected with its place.

use std::fmt;

/// One thing that is wrong with a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanFinding {
    /// Line in the plan file, from 1; `None` for the plan as a whole.
    pub line: Option<u32>,
    /// The key concerned.
    pub key: Box<str>,
    /// What is wrong and what would be right.
    pub message: Box<str>,
}

impl PlanFinding {
    /// A finding about the plan as a whole.
    #[must_use]
    pub fn whole(key: &str, message: &str) -> Self {
        Self {
            line: None,
            key: key.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for PlanFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "line {line}: ")?;
        }
        write!(formatter, "`{}`: {}", self.key, self.message)
    }
}

/// All findings of a plan, in the order of their lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FindingList {
    findings: Vec<PlanFinding>,
}

impl FindingList {
    /// Adds a finding.
    pub fn push(&mut self, finding: PlanFinding) {
        self.findings.push(finding);
    }

    /// Whether nothing is wrong.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// The findings.
    #[must_use]
    pub fn as_slice(&self) -> &[PlanFinding] {
        &self.findings
    }

    /// Orders the findings by line.
    pub fn sort(&mut self) {
        self.findings.sort_by_key(|finding| finding.line);
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{finding}")?;
        }
        Ok(())
    }
}
