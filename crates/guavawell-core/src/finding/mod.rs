//! Findings: everything wrong with an operator's file, each with its place.
//!
//! Readers of manifests and settings collect findings and report them
//! together, so that an operator mends a file in one go.

mod nearest;
mod place;
#[cfg(test)]
mod tests;

use std::fmt;

use thiserror::Error;

pub use nearest::nearest_word;
pub use place::FindingPlace;
pub use place::line_at;

/// One thing wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Where it is wrong.
    pub place: FindingPlace,
    /// What is wrong and a way out, in one sentence.
    pub message: Box<str>,
}

impl Finding {
    /// A finding at `place`.
    #[must_use]
    pub fn new(place: FindingPlace, message: impl Into<Box<str>>) -> Self {
        Self {
            place,
            message: message.into(),
        }
    }

    /// An unknown key, with the nearest of the `known` ones if one is close.
    #[must_use]
    pub fn unknown_key(place: FindingPlace, known: &[&str]) -> Self {
        let name = place.key.rsplit('.').next().unwrap_or_default();
        let message = match nearest_word(name, known) {
            Some(nearest) => format!("unknown key; the nearest known one is `{nearest}`"),
            None => "unknown key".to_owned(),
        };
        Self::new(place, message)
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.message)
    }
}

/// All findings of one file, in the order of their places.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error)]
#[error("{}", self.text())]
pub struct FindingList {
    findings: Vec<Finding>,
}

impl FindingList {
    /// Adds a finding.
    pub fn push(&mut self, finding: Finding) {
        self.findings.push(finding);
    }

    /// The findings, sorted by place.
    #[must_use]
    pub fn sorted(mut self) -> Self {
        self.findings.sort();
        self
    }

    /// The findings so far.
    #[must_use]
    pub fn as_slice(&self) -> &[Finding] {
        &self.findings
    }

    /// Whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    fn text(&self) -> String {
        let lines: Vec<String> = self.findings.iter().map(ToString::to_string).collect();
        lines.join("\n")
    }
}
