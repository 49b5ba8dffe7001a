//! A folder for one test, its logs, and the real binary.

use std::path::PathBuf;
use std::process::Command;

use guavawell_core::event::EventField;
use guavawell_core::event::EventRecord;

/// An event of request `r` of organisation `o` on `instance`.
pub fn event(instance: &str, order: u64, at: u64, kind: &str) -> EventRecord {
    EventRecord {
        at: guavawell_core::clock::ClockTime::from_millis(at),
        order,
        instance: instance.parse().expect("an id"),
        incarnation: guavawell_core::id::IncarnationId::new(1),
        kind: kind.into(),
        organisation: Some("o".parse().expect("an id")),
        budget: None,
        request: Some("r".parse().expect("an id")),
        attempt: None,
        detail: Vec::new(),
    }
}

/// Adds a further field.
pub fn with(mut record: EventRecord, name: &str, value: &str) -> EventRecord {
    record.detail.push(EventField {
        name: name.into(),
        value: value.into(),
    });
    record
}

/// A log's text.
pub fn log_of(records: &[EventRecord]) -> String {
    let line = |record| serde_json::to_string(record).expect("plain fields") + "\n";
    records.iter().map(line).collect()
}

/// What the binary printed.
pub struct Printed {
    pub out: String,
    pub err: String,
}

/// A folder for one test, and the real binary.
pub struct TestEnv {
    folder: PathBuf,
}

impl TestEnv {
    pub fn new(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("a writable target folder");
        Self { folder }
    }

    /// Writes a log.
    pub fn write(&self, name: &str, text: &str) {
        std::fs::write(self.folder.join(name), text).expect("a writable folder");
    }

    /// Runs the binary within the folder and asserts its exit code.
    pub fn assert_code(&self, args: &[&str], code: i32) -> Printed {
        let output = Command::new(env!("CARGO_BIN_EXE_guavawell-timeline"))
            .args(args)
            .current_dir(&self.folder)
            .output()
            .expect("the binary starts");
        let printed = Printed {
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        };
        assert_eq!(
            output.status.code(),
            Some(code),
            "{}\n{}",
            printed.out,
            printed.err
        );
        printed
    }
}
