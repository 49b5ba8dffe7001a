//! The list of findings of one file.

use std::fmt;

use serde::Serialize;
use serde::Serializer;

use super::FindingPlace;
use super::FindingProblem;
use super::nearest_word;

/// One problem at one place in a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Where it was found.
    pub place: FindingPlace,
    /// What is wrong.
    #[serde(serialize_with = "as_text")]
    pub problem: FindingProblem,
}

impl Finding {
    /// A finding at `place`. The reason says in one sentence what is wrong and
    /// how to correct it.
    #[must_use]
    pub fn new(place: FindingPlace, reason: impl Into<Box<str>>) -> Self {
        let reason = reason.into();
        let problem = FindingProblem::BadValue { reason };
        Self { place, problem }
    }

    /// A finding about an unknown key. It suggests the most similar of the
    /// `known` keys if one is similar enough.
    #[must_use]
    pub fn unknown_key(place: FindingPlace, known: &[&str]) -> Self {
        let name = place.key.rsplit('.').next().unwrap_or_default();
        let nearest = nearest_word(name, known).map(Into::into);
        let problem = FindingProblem::UnknownKey { nearest };
        Self { place, problem }
    }
}

fn as_text<S: Serializer>(problem: &FindingProblem, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(problem)
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.problem)
    }
}

/// All findings of one file, in the order of their places.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct FindingList(Vec<Finding>);

impl FindingList {
    /// Adds a finding.
    pub fn push(&mut self, finding: Finding) {
        self.0.push(finding);
    }

    /// Whether there are no findings.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The number of findings.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.0.len()
    }

    /// The findings.
    #[must_use]
    pub fn as_slice(&self) -> &[Finding] {
        &self.0
    }

    /// The findings, sorted by place.
    #[must_use]
    pub fn sorted(mut self) -> Self {
        self.0.sort_by(|a, b| a.place.cmp(&b.place));
        self
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    /// Returns the findings sorted by place if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            return Ok(value);
        }
        Err(self.sorted())
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingList {}
