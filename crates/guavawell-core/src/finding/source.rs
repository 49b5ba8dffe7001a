//! The text of an operator's file and the findings in it.

use toml::Spanned;
use toml::de::DeTable;

use super::Finding;
use super::FindingList;
use super::FindingPlace;
use super::FindingProblem;

/// The text of one file and its findings so far.
#[derive(Clone, Debug)]
pub struct SourceText<'s> {
    file: Box<str>,
    text: &'s str,
    line_starts: Vec<usize>,
    findings: FindingList,
}

impl<'s> SourceText<'s> {
    /// Creates a source without findings. `file` is the path shown in them.
    #[must_use]
    pub fn new(file: &str, text: &'s str) -> Self {
        let after_newlines = text.match_indices('\n').map(|(offset, _)| offset + 1);
        let line_starts = std::iter::once(0).chain(after_newlines).collect();
        Self {
            file: file.into(),
            text,
            line_starts,
            findings: FindingList::default(),
        }
    }

    /// Parses the text as TOML.
    ///
    /// # Errors
    /// Returns all syntax errors. No other checks should follow, because the table
    /// that the parser recovers may cause misleading findings.
    pub fn parse(&mut self) -> Result<Spanned<DeTable<'s>>, FindingList> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in &errors {
            let offset = error.span().map_or(0, |span| span.start);
            let message = error.message().into();
            self.report(offset, "", FindingProblem::Syntax { message });
        }
        std::mem::take(&mut self.findings).into_result(table)
    }

    /// Returns the line of a byte offset, counted from 1.
    #[must_use]
    pub fn line(&self, offset: usize) -> u32 {
        saturating_u32(self.line_index(offset) + 1)
    }

    /// The index of the line with the byte `offset`. It always exists, since the
    /// first line starts at 0.
    fn line_index(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset) - 1
    }

    /// Adds a problem at a byte offset to the findings.
    pub fn report(&mut self, offset: usize, key: &str, problem: FindingProblem) {
        let line_start = self.line_starts[self.line_index(offset)];
        let prefix = self.text.get(line_start..offset).unwrap_or_default();
        let place = FindingPlace {
            file: self.file.clone(),
            line: self.line(offset),
            column: saturating_u32(prefix.chars().count() + 1),
            key: key.into(),
        };
        self.findings.push(Finding { place, problem });
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    /// Returns the findings sorted by place if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, FindingList> {
        self.findings.into_result(value)
    }
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
