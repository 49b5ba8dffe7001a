//! The names that a manifest states of one kind, and references to them.

use std::cell::Cell;

use crate::finding::FindingProblem;
use crate::finding::PlacedValue;
use crate::finding::SourceText;
use crate::finding::nearest_word;

/// References that get a suggestion; each one compares all names.
const MAX_SUGGESTIONS: usize = 50;

/// One stated name.
#[derive(Clone, Debug)]
pub struct StatedName<'n> {
    /// The name.
    pub name: &'n str,
    /// Where it is stated.
    pub offset: usize,
    /// The section that states it, for instance `budget[3]`.
    pub path: &'n str,
    /// The key that states it, for instance `id`.
    pub key: &'static str,
}

/// All names of one kind, sorted.
#[derive(Debug)]
pub struct NameTable<'n> {
    kind: &'static str,
    names: Vec<StatedName<'n>>,
    suggestions_left: Cell<usize>,
}

impl<'n> NameTable<'n> {
    /// Sorts the names and reports each that is stated more than once.
    pub fn new(
        kind: &'static str,
        mut names: Vec<StatedName<'n>>,
        source: &mut SourceText<'_>,
    ) -> Self {
        names.sort_by(|a, b| (a.name, a.offset).cmp(&(b.name, b.offset)));
        for pair in names.windows(2) {
            if pair[0].name == pair[1].name {
                report_duplicate(&pair[0], &pair[1], source);
            }
        }
        Self {
            kind,
            names,
            suggestions_left: Cell::new(MAX_SUGGESTIONS),
        }
    }

    /// Sorts names whose duplicates are reported elsewhere.
    pub fn unchecked(kind: &'static str, names: impl Iterator<Item = &'n str>) -> Self {
        let stated = |name| StatedName {
            name,
            offset: 0,
            path: "",
            key: "",
        };
        let mut names: Vec<StatedName<'n>> = names.map(stated).collect();
        names.sort_by_key(|stated| stated.name);
        Self {
            kind,
            names,
            suggestions_left: Cell::new(MAX_SUGGESTIONS),
        }
    }

    /// Whether the name is stated.
    pub fn contains(&self, name: &str) -> bool {
        self.names
            .binary_search_by(|stated| stated.name.cmp(name))
            .is_ok()
    }

    /// Reports a reference to `name` unless it is stated.
    pub fn check(&self, name: &str, offset: usize, key: &str, source: &mut SourceText<'_>) -> bool {
        if self.contains(name) {
            return true;
        }
        let problem = FindingProblem::DanglingReference {
            kind: self.kind,
            name: name.into(),
            nearest: self.suggest(name),
        };
        source.report(offset, key, problem);
        false
    }

    fn suggest(&self, name: &str) -> Option<Box<str>> {
        let left = self.suggestions_left.get().checked_sub(1)?;
        self.suggestions_left.set(left);
        let names: Vec<&str> = self.names.iter().map(|stated| stated.name).collect();
        nearest_word(name, &names).map(Into::into)
    }
}

fn report_duplicate(first: &StatedName<'_>, second: &StatedName<'_>, source: &mut SourceText<'_>) {
    let problem = FindingProblem::Duplicate {
        name: first.name.into(),
        first_line: source.line(first.offset),
    };
    let key = format!("{}.{}", second.path, second.key);
    source.report(second.offset, &key, problem);
}

/// Sorts the values of a list and reports each that it holds more than once.
pub fn sorted_unique<T: Ord + ToString>(
    mut values: Vec<PlacedValue<T>>,
    key: &str,
    source: &mut SourceText<'_>,
) -> Box<[T]> {
    values.sort_by(|a, b| (&a.value, a.offset).cmp(&(&b.value, b.offset)));
    for pair in values.windows(2) {
        if pair[0].value == pair[1].value {
            let problem = FindingProblem::Duplicate {
                name: pair[0].value.to_string().into(),
                first_line: source.line(pair[0].offset),
            };
            source.report(pair[1].offset, key, problem);
        }
    }
    values.into_iter().map(|placed| placed.value).collect()
}
