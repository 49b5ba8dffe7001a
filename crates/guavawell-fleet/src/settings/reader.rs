//! Reads a TOML document and collects what is wrong with it.

use std::cell::RefCell;
use std::path::Path;

use guavawell_core::finding::Finding;
use guavawell_core::finding::FindingList;
use guavawell_core::finding::FindingPlace;
use guavawell_core::finding::line_at;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use super::value::SettingValue;

/// One settings file with its findings so far.
pub struct FileReader<'t> {
    path: &'t Path,
    text: &'t str,
    /// Keys seen and their lines, sorted by key.
    lines: RefCell<Vec<KeyLine>>,
    findings: RefCell<FindingList>,
}

/// The line of a key that the file holds.
struct KeyLine {
    key: Box<str>,
    line: u32,
}

/// One table of a file.
pub struct TableReader<'t> {
    file: &'t FileReader<'t>,
    table: &'t DeTable<'t>,
    key: Box<str>,
}

impl<'t> FileReader<'t> {
    /// A reader of `text`, the content of the file at `path`.
    pub fn new(path: &'t Path, text: &'t str) -> Self {
        Self {
            path,
            text,
            lines: RefCell::default(),
            findings: RefCell::default(),
        }
    }

    /// Parses the document; syntax errors become findings.
    pub fn document(&self) -> DeTable<'t> {
        let (document, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            self.push("", line_at(self.text, offset), error.message());
        }
        document.into_inner()
    }

    /// Whether anything was found so far.
    pub fn is_broken(&self) -> bool {
        !self.findings.borrow().is_empty()
    }

    /// A reader of the document's top table, whose keys are `known`.
    pub fn root(&'t self, document: &'t DeTable<'t>, known: &[&str]) -> TableReader<'t> {
        TableReader::new(self, document, "".into(), known)
    }

    /// Adds a finding about `key`, at its line or that of its table.
    pub fn find(&self, key: &str, message: impl AsRef<str>) {
        self.push(key, self.line_of(key), message.as_ref());
    }

    /// Whether the file holds `key`.
    pub fn holds(&self, key: &str) -> bool {
        self.search(key).is_ok()
    }

    /// The folder that relative paths count from.
    pub fn folder(&self) -> &Path {
        self.path.parent().unwrap_or(Path::new(""))
    }

    /// All findings, sorted by place.
    pub fn into_findings(self) -> FindingList {
        self.findings.into_inner().sorted()
    }

    fn push(&self, key: &str, line: u32, message: &str) {
        let place = FindingPlace {
            file: self.path.display().to_string().into(),
            line,
            key: key.into(),
            ..FindingPlace::default()
        };
        let finding = Finding::new(place, message);
        self.findings.borrow_mut().push(finding);
    }

    fn search(&self, key: &str) -> Result<usize, usize> {
        let lines = self.lines.borrow();
        lines.binary_search_by(|entry| (*entry.key).cmp(key))
    }

    /// The line of `key`, or of the nearest table around it; 0 if none.
    fn line_of(&self, key: &str) -> u32 {
        if let Ok(index) = self.search(key) {
            return self.lines.borrow()[index].line;
        }
        match key.rsplit_once('.') {
            Some((table, _)) => self.line_of(table),
            None => 0,
        }
    }

    fn note_line(&self, key: &str, offset: usize) -> u32 {
        let line = line_at(self.text, offset);
        if let Err(index) = self.search(key) {
            let key = key.into();
            self.lines.borrow_mut().insert(index, KeyLine { key, line });
        }
        line
    }
}

impl<'t> TableReader<'t> {
    fn new(
        file: &'t FileReader<'t>,
        table: &'t DeTable<'t>,
        key: Box<str>,
        known: &[&str],
    ) -> Self {
        for name in table.keys() {
            let key = join_key(&key, name.get_ref());
            let line = file.note_line(&key, name.span().start);
            if !known.contains(&name.get_ref().as_ref()) {
                let place = FindingPlace {
                    file: file.path.display().to_string().into(),
                    line,
                    key,
                    ..FindingPlace::default()
                };
                let finding = Finding::unknown_key(place, known);
                file.findings.borrow_mut().push(finding);
            }
        }
        Self { file, table, key }
    }

    /// A reader of the sub-table `name`, whose keys are `known`.
    pub fn group(&self, name: &str, known: &[&str]) -> Option<TableReader<'t>> {
        let key = join_key(&self.key, name);
        match self.get(name)?.get_ref() {
            DeValue::Table(table) => Some(TableReader::new(self.file, table, key, known)),
            other => {
                let found = other.type_str();
                self.file
                    .find(&key, format!("expected a table, found {found}"));
                None
            }
        }
    }

    /// The value of the key `name`; a wrong one becomes a finding.
    pub fn value<T: SettingValue>(&self, name: &str) -> Option<T> {
        let value = self.get(name)?;
        match T::from_toml(value.get_ref(), self.file.folder()) {
            Ok(value) => Some(value),
            Err(message) => {
                self.file.find(&join_key(&self.key, name), message);
                None
            }
        }
    }

    fn get(&self, name: &str) -> Option<&'t Spanned<DeValue<'t>>> {
        let mut entries = self.table.iter();
        let entry = entries.find(|(key, _)| key.get_ref().as_ref() == name);
        entry.map(|(_, value)| value)
    }
}

/// The full name of the key `name` in the table `table`.
pub fn join_key(table: &str, name: &str) -> Box<str> {
    if table.is_empty() {
        name.into()
    } else {
        format!("{table}.{name}").into()
    }
}
