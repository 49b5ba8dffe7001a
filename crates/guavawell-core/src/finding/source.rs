//! An operator's file and the findings made in it.

use toml::Spanned;
use toml::de::DeTable;

use super::Finding;
use super::FindingList;
use super::FindingPlace;
use super::FindingProblem;

/// The text of one file, and what was found in it so far.
#[derive(Clone, Debug)]
pub struct SourceText<'s> {
    file: Box<str>,
    text: &'s str,
    line_starts: Vec<usize>,
    findings: FindingList,
}

impl<'s> SourceText<'s> {
    /// The text of `file`, with no findings yet.
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
    /// Returns all syntax errors together. Nothing else is looked at then,
    /// because what the parser recovers may mislead.
    pub fn parse(&mut self) -> Result<Spanned<DeTable<'s>>, FindingList> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in &errors {
            let offset = error.span().map_or(0, |span| span.start);
            let message = error.message().into();
            self.report(offset, "", FindingProblem::Syntax { message });
        }
        std::mem::take(&mut self.findings).into_result(table)
    }

    /// The line of a byte offset, counted from 1.
    #[must_use]
    pub fn line(&self, offset: usize) -> u32 {
        saturating_u32(self.line_index(offset) + 1)
    }

    /// The first line starts at 0, so some line starts at or before `offset`.
    fn line_index(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset) - 1
    }

    /// Notes a problem at a byte offset.
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

    /// The value, or all findings if there are any.
    ///
    /// # Errors
    /// Returns the findings unless there are none.
    pub fn into_result<T>(self, value: T) -> Result<T, FindingList> {
        self.findings.into_result(value)
    }
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
