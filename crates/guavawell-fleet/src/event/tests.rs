use std::fs;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Barrier;
use std::sync::Mutex;
use std::thread;

use guavawell_core::clock::ClockTime;
use guavawell_core::event::EventRecord;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::InstanceId;

use super::EventDraft;
use super::EventLog;
use super::EventLogSettings;
use super::LamportClock;
use crate::settings::EventTarget;
use crate::settings::FilePath;

fn instance() -> InstanceId {
    "tln-a-1".parse().unwrap()
}

fn settings() -> EventLogSettings {
    EventLogSettings {
        now: || ClockTime::from_millis(1_000),
        ..EventLogSettings::default()
    }
}

fn open(settings: &EventLogSettings, output: impl Write + Send + 'static) -> EventLog {
    EventLog::with_output(settings, instance(), IncarnationId::new(7), output).unwrap()
}

/// An output that others can read.
#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl SharedOutput {
    fn records(&self) -> Vec<EventRecord> {
        let bytes = self.0.lock().unwrap().clone();
        let text = String::from_utf8(bytes).unwrap();
        let lines = text.lines();
        lines
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }
}

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output that waits at its first write until the test lets it go.
struct HeldOutput {
    output: SharedOutput,
    reached: Arc<Barrier>,
    go: Arc<Barrier>,
    held: bool,
}

impl Write for HeldOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.held {
            self.held = false;
            self.reached.wait();
            self.go.wait();
        }
        self.output.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_record_carries_time_order_instance_and_sorted_detail() {
    let output = SharedOutput::default();
    let log = open(&settings(), output.clone());
    let draft = EventDraft::new("slot.taken_over")
        .budget(&"b-1".parse().unwrap())
        .field("tokens", 5)
        .field("from", "kei-1-2");
    // The clock starts at the wall clock, 1,000 ms here.
    assert_eq!(log.emit(draft), 1_001);
    log.close();
    let records = output.records();
    assert_eq!(records.len(), 1);
    let line = serde_json::to_string(&records[0]).unwrap();
    insta::assert_snapshot!(line, @r#"{"at":1000,"order":1001,"instance":"tln-a-1","incarnation":7,"kind":"slot.taken_over","budget":"b-1","detail":[{"name":"from","value":"kei-1-2"},{"name":"tokens","value":"5"}]}"#);
}

#[test]
fn close_writes_everything_queued_by_many_threads() {
    let output = SharedOutput::default();
    let log = open(&settings(), output.clone());
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..2_000 {
                    log.emit(EventDraft::new("test.event"));
                }
            });
        }
    });
    log.close();
    let mut orders: Vec<u64> = output.records().iter().map(|record| record.order).collect();
    orders.sort_unstable();
    let all: Vec<u64> = (1_001..=9_000).collect();
    assert_eq!(orders, all);
    assert_eq!(log.dropped(), 0);
    assert_eq!(log.written(), 8_000);
}

#[test]
fn dropping_the_last_handle_writes_what_is_queued() {
    let output = SharedOutput::default();
    let log = open(&settings(), output.clone());
    let other = log.clone();
    log.emit(EventDraft::new("test.event"));
    drop(log);
    other.emit(EventDraft::new("test.event"));
    drop(other);
    assert_eq!(output.records().len(), 2);
}

#[test]
fn a_full_queue_drops_and_counts_without_waiting() {
    let reached = Arc::new(Barrier::new(2));
    let go = Arc::new(Barrier::new(2));
    let output = SharedOutput::default();
    let held = HeldOutput {
        output: output.clone(),
        reached: Arc::clone(&reached),
        go: Arc::clone(&go),
        held: true,
    };
    let small = EventLogSettings {
        queue: 2,
        ..settings()
    };
    let log = open(&small, held);
    log.emit(EventDraft::new("test.event"));
    reached.wait();
    for _ in 0..5 {
        log.emit(EventDraft::new("test.event"));
    }
    assert_eq!(log.dropped(), 3);
    go.wait();
    log.close();
    assert_eq!(output.records().len(), 3);
    log.emit(EventDraft::new("test.event"));
    assert_eq!(log.dropped(), 4);
}

#[test]
fn a_file_is_appended_to() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("events.jsonl");
    let to_file = EventLogSettings {
        target: EventTarget::File(FilePath::new(path.clone())),
        ..settings()
    };
    for _ in 0..2 {
        let log = EventLog::open(&to_file, instance(), IncarnationId::new(7)).unwrap();
        log.emit(EventDraft::new("test.event"));
    }
    assert_eq!(fs::read_to_string(path).unwrap().lines().count(), 2);
}

#[test]
fn a_log_that_is_off_still_orders_events() {
    let log = EventLog::off(instance(), IncarnationId::new(7));
    let first = log.emit(EventDraft::new("test.event"));
    assert_eq!(log.emit(EventDraft::new("test.event")), first + 1);
    assert_eq!(log.dropped(), 0);
}

#[test]
fn an_effect_sorts_after_its_cause() {
    let cause = LamportClock::default();
    let effect = LamportClock::default();
    for _ in 0..9 {
        cause.raise();
    }
    let sent = cause.raise();
    effect.merge(sent);
    assert!(effect.raise() > sent);
    effect.merge(3);
    assert_eq!(effect.now(), 11);
}
