//! Reading one TOML table, each finding with its line.

use std::fmt::Display;
use std::str::FromStr;

use guavawell_core::finding::line_at;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use super::finding::FindingList;
use super::finding::PlanFinding;

/// One table of a plan file, read key by key.
pub(super) struct TableReader<'a> {
    text: &'a str,
    prefix: Box<str>,
    table: &'a DeTable<'a>,
    known: Vec<&'static str>,
}

impl<'a> TableReader<'a> {
    pub(super) fn new(text: &'a str, prefix: &str, table: &'a DeTable<'a>) -> Self {
        Self {
            text,
            prefix: prefix.into(),
            table,
            known: Vec::new(),
        }
    }

    /// The raw value under `key`, and marks the key as known.
    pub(super) fn raw(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known.push(key);
        self.table.get(key)
    }

    /// A value that parses from its text, or `fallback` with a finding.
    pub(super) fn value<T>(
        &mut self,
        key: &'static str,
        fallback: T,
        findings: &mut FindingList,
    ) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.optional(key, findings).unwrap_or(fallback)
    }

    /// A value that parses from its text, if the key is there.
    pub(super) fn optional<T>(&mut self, key: &'static str, findings: &mut FindingList) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let value = self.raw(key)?;
        let line = line_at(self.text, value.span().start);
        let Some(text) = scalar_text(value.get_ref()) else {
            self.report(findings, line, key, "expected a single value");
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.report(findings, line, key, &value_message(&text, &error));
                None
            }
        }
    }

    /// An array of values that parse from their text.
    pub(super) fn list<T>(&mut self, key: &'static str, findings: &mut FindingList) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(value) = self.raw(key) else {
            return Vec::new();
        };
        let line = line_at(self.text, value.span().start);
        let DeValue::Array(items) = value.get_ref() else {
            self.report(findings, line, key, "expected an array");
            return Vec::new();
        };
        let mut parsed = Vec::with_capacity(items.len());
        for item in items {
            let line = line_at(self.text, item.span().start);
            match scalar_text(item.get_ref()).map(|text| (text.parse(), text)) {
                Some((Ok(value), _)) => parsed.push(value),
                Some((Err(error), text)) => {
                    self.report(findings, line, key, &value_message(&text, &error));
                }
                None => self.report(findings, line, key, "expected a single value"),
            }
        }
        parsed
    }

    /// The tables of an array of tables.
    pub(super) fn tables(
        &mut self,
        key: &'static str,
        findings: &mut FindingList,
    ) -> Vec<&'a Spanned<DeValue<'a>>> {
        let Some(value) = self.raw(key) else {
            return Vec::new();
        };
        if let DeValue::Array(items) = value.get_ref() {
            return items.iter().collect();
        }
        let line = line_at(self.text, value.span().start);
        self.report(findings, line, key, &format!("write it as `[[{key}]]`"));
        Vec::new()
    }

    /// Reports every key that nobody asked for, with the nearest known one.
    pub(super) fn finish(self, findings: &mut FindingList) {
        for (key, _) in self.table {
            let name = key.get_ref().as_ref();
            if self.known.contains(&name) {
                continue;
            }
            let line = line_at(self.text, key.span().start);
            let nearest = self.known.iter().min_by_key(|known| distance(known, name));
            let message = match nearest {
                Some(nearest) => format!("unknown key; the nearest known one is `{nearest}`"),
                None => "unknown key".into(),
            };
            self.report(findings, line, name, &message);
        }
    }

    /// Adds a finding about `key` at `line`.
    pub(super) fn report(&self, findings: &mut FindingList, line: u32, key: &str, message: &str) {
        findings.push(PlanFinding {
            line: Some(line),
            key: format!("{}{key}", self.prefix).into(),
            message: message.into(),
        });
    }
}

/// What is wrong with a value, naming it if the error does not.
fn value_message(text: &str, error: &impl Display) -> Box<str> {
    let message = error.to_string();
    if message.contains(text) {
        return message.into();
    }
    format!("`{text}`: {message}").into()
}

fn scalar_text(value: &DeValue<'_>) -> Option<Box<str>> {
    match value {
        DeValue::String(text) => Some(text.as_ref().into()),
        DeValue::Integer(number) => Some(number.as_str().replace('_', "").into()),
        DeValue::Float(number) => Some(number.as_str().replace('_', "").into()),
        DeValue::Boolean(truth) => Some(truth.to_string().into()),
        _ => None,
    }
}

/// The Levenshtein distance between two keys.
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[right.len()]
}
