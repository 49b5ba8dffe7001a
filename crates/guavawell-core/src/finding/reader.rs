//! Reads one TOML table and reports all problems instead of stopping at the first.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use toml::Spanned;
use toml::de::DeInteger;
use toml::de::DeTable;
use toml::de::DeValue;

use super::FindingProblem;
use super::PlacedValue;
use super::SourceText;
use super::ValueKind;
use super::nearest_word;

/// Reads one table key by key.
///
/// Each read marks its key as known. [`TableReader::finish`] reports all other
/// keys of the table as unknown.
#[derive(Debug)]
pub struct TableReader<'t, 's> {
    table: &'t DeTable<'s>,
    offset: usize,
    path: Box<str>,
    known: Vec<&'static str>,
}

impl<'t, 's> TableReader<'t, 's> {
    /// A reader of the root table.
    #[must_use]
    pub fn root(table: &'t Spanned<DeTable<'s>>) -> Self {
        Self::new(table.get_ref(), 0, "".into())
    }

    const fn new(table: &'t DeTable<'s>, offset: usize, path: Box<str>) -> Self {
        Self {
            table,
            offset,
            path,
            known: Vec::new(),
        }
    }

    /// The byte offset of the table.
    #[must_use]
    pub const fn offset(&self) -> usize {
        self.offset
    }

    /// The path of the table, such as `budget[3]`; empty for the root table.
    #[must_use]
    pub fn path(&self) -> Box<str> {
        self.path.clone()
    }

    /// The full path of a key of this table, such as `budget[3].paid`.
    #[must_use]
    pub fn key_path(&self, key: &str) -> Box<str> {
        if self.path.is_empty() {
            return key.into();
        }
        format!("{}.{key}", self.path).into()
    }

    /// Reads a required string and parses it.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        source: &mut SourceText<'_>,
    ) -> Option<PlacedValue<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.require(key, ValueKind::Text, source)?;
        self.optional(key, source)
    }

    /// Reads an optional string and parses it.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        source: &mut SourceText<'_>,
    ) -> Option<PlacedValue<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        let value = self.take(key)?;
        self.parse_text(key, value, ValueKind::Text, source)
    }

    /// Reads an array of strings and parses them. A missing key counts as an empty
    /// array, and items that cannot be parsed are left out.
    pub fn list<T>(&mut self, key: &'static str, source: &mut SourceText<'_>) -> Vec<PlacedValue<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(value) = self.take(key) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.wrong_type(key, value, ValueKind::TextList, source);
            return Vec::new();
        };
        items
            .iter()
            .filter_map(|item| self.parse_text(key, item, ValueKind::TextList, source))
            .collect()
    }

    /// Reads a required integer within `range`.
    pub fn required_integer(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        source: &mut SourceText<'_>,
    ) -> Option<u64> {
        self.require(key, ValueKind::Integer, source)?;
        self.optional_integer(key, range, source)
    }

    /// Reads an optional integer within `range`.
    pub fn optional_integer(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        source: &mut SourceText<'_>,
    ) -> Option<u64> {
        let value = self.take(key)?;
        let Some(digits) = value.get_ref().as_integer() else {
            self.wrong_type(key, value, ValueKind::Integer, source);
            return None;
        };
        let number = integer_value(digits).filter(|number| range.contains(number));
        if number.is_none() {
            let problem = FindingProblem::OutOfRange {
                found: digits.as_str().into(),
                low: *range.start(),
                high: *range.end(),
            };
            source.report(value.span().start, &self.key_path(key), problem);
        }
        number
    }

    /// Reads a boolean. A missing key counts as `default`.
    pub fn boolean(
        &mut self,
        key: &'static str,
        default: bool,
        source: &mut SourceText<'_>,
    ) -> bool {
        let Some(value) = self.take(key) else {
            return default;
        };
        let Some(flag) = value.get_ref().as_bool() else {
            self.wrong_type(key, value, ValueKind::Boolean, source);
            return default;
        };
        flag
    }

    /// Returns a reader of an optional table.
    pub fn table(
        &mut self,
        key: &'static str,
        source: &mut SourceText<'_>,
    ) -> Option<TableReader<'t, 's>> {
        let value = self.take(key)?;
        let Some(table) = value.get_ref().as_table() else {
            self.wrong_type(key, value, ValueKind::Table, source);
            return None;
        };
        let path = self.key_path(key);
        Some(TableReader::new(table, value.span().start, path))
    }

    /// Returns readers of an array of tables. A missing key counts as an empty
    /// array.
    pub fn tables(
        &mut self,
        key: &'static str,
        source: &mut SourceText<'_>,
    ) -> Vec<TableReader<'t, 's>> {
        let Some(value) = self.take(key) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.wrong_type(key, value, ValueKind::TableList, source);
            return Vec::new();
        };
        let path = self.key_path(key);
        let mut readers = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            let Some(table) = item.get_ref().as_table() else {
                self.wrong_type(key, item, ValueKind::TableList, source);
                continue;
            };
            let path = format!("{path}[{index}]").into();
            readers.push(TableReader::new(table, item.span().start, path));
        }
        readers
    }

    /// Reports all keys that no call has read as unknown.
    pub fn finish(self, source: &mut SourceText<'_>) {
        for key in self.table.keys() {
            let word: &str = key.get_ref();
            if self.known.contains(&word) {
                continue;
            }
            let nearest = nearest_word(word, &self.known).map(Into::into);
            let problem = FindingProblem::UnknownKey { nearest };
            source.report(key.span().start, &self.key_path(word), problem);
        }
    }

    fn take(&mut self, key: &'static str) -> Option<&'t Spanned<DeValue<'s>>> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        self.table.get(key)
    }

    fn require(
        &mut self,
        key: &'static str,
        expected: ValueKind,
        source: &mut SourceText<'_>,
    ) -> Option<()> {
        if self.take(key).is_some() {
            return Some(());
        }
        let problem = FindingProblem::MissingKey { expected };
        source.report(self.offset, &self.key_path(key), problem);
        None
    }

    fn parse_text<T>(
        &self,
        key: &str,
        value: &Spanned<DeValue<'s>>,
        expected: ValueKind,
        source: &mut SourceText<'_>,
    ) -> Option<PlacedValue<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        let offset = value.span().start;
        let Some(text) = value.get_ref().as_str() else {
            self.wrong_type(key, value, expected, source);
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(PlacedValue::new(parsed, offset)),
            Err(error) => {
                let reason = format!("{error}").into();
                let problem = FindingProblem::BadValue { reason };
                source.report(offset, &self.key_path(key), problem);
                None
            }
        }
    }

    fn wrong_type(
        &self,
        key: &str,
        value: &Spanned<DeValue<'s>>,
        expected: ValueKind,
        source: &mut SourceText<'_>,
    ) {
        let problem = FindingProblem::WrongType {
            expected,
            found: value.get_ref().type_str().into(),
        };
        source.report(value.span().start, &self.key_path(key), problem);
    }
}

fn integer_value(digits: &DeInteger<'_>) -> Option<u64> {
    u64::from_str_radix(digits.as_str(), digits.radix()).ok()
}
