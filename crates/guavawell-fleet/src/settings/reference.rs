//! The settings reference, made from the fields' own doc comments.

use std::fmt::Write;

use super::RouterSettings;
use super::group::SettingField;

/// One entry of the settings reference.
pub struct KeyReference {
    key: Box<str>,
    doc: Box<str>,
    /// Absent for a group.
    value: Option<ValueReference>,
}

/// What a key may hold and what it holds when left out.
struct ValueReference {
    kind: Box<str>,
    default: Option<Box<str>>,
}

impl KeyReference {
    /// The entry of a group.
    pub fn group(key: &str, doc: &str) -> Self {
        Self {
            key: key.into(),
            doc: one_line(doc),
            value: None,
        }
    }

    /// The entry of a value.
    pub fn value(key: &str, doc: &str, kind: &str, default: &str) -> Self {
        let value = ValueReference {
            kind: kind.into(),
            default: Some(default.into()),
        };
        Self {
            key: key.into(),
            doc: one_line(doc),
            value: Some(value),
        }
    }

    /// Says that the key has no default.
    pub fn leave_unset(&mut self) {
        if let Some(value) = &mut self.value {
            value.default = None;
        }
    }
}

fn one_line(doc: &str) -> Box<str> {
    let lines: Vec<&str> = doc.lines().map(str::trim).collect();
    lines.join(" ").trim().into()
}

/// The page docs/operators/SETTINGS.md.
#[must_use]
pub fn reference_page() -> Box<str> {
    let mut entries = Vec::new();
    RouterSettings::default().describe("", "", &mut entries);
    let mut page = PAGE_HEAD.to_owned();
    for entry in entries.iter().skip(1) {
        write_entry(&mut page, entry);
    }
    page.into()
}

const PAGE_HEAD: &str = "\
# Settings of a router

`guavawell-router --settings FILE.toml`. A key left out keeps its default, and a key without a default stays
unset. Paths count from the file's folder. A wrong file is refused with every finding at its place. The file is
read once, at start; certificates and keys of `tls` tables and gossip's key files are read again when they change.

This page is made from the doc comments in `crates/guavawell-fleet/src/settings/`; a test compares the two. To write
it anew: `UPDATE_SETTINGS_PAGE=1 cargo test -p guavawell-fleet settings_page`.
";

fn write_entry(page: &mut String, entry: &KeyReference) {
    let (key, doc) = (&entry.key, &entry.doc);
    let written = match &entry.value {
        None => write!(
            page,
            "\n## `[{key}]`\n\n{doc}\n\n| key | holds | default | meaning |\n|---|---|---|---|\n"
        ),
        Some(value) => {
            let name = key.rsplit('.').next().unwrap_or(key);
            let kind = &value.kind;
            let default = match &value.default {
                Some(default) => format!("`{default}`"),
                None => "unset".to_owned(),
            };
            writeln!(page, "| `{name}` | {kind} | {default} | {doc} |")
        }
    };
    debug_assert!(written.is_ok(), "writing to a string never fails");
}
