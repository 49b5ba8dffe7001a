//! Lines a second that the merge and the checks take, and their memory, over
//! logs that are made while they are read.

use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::time::Instant;

use guavawell_timeline::check::HistoryChecker;
use guavawell_timeline::merge::DEFAULT_WINDOW;
use guavawell_timeline::merge::EventMerge;
use guavawell_timeline::offset::OffsetEstimator;
use guavawell_timeline::source::EventSource;

/// Logs merged.
const LOGS: u64 = 12;
/// The kinds of one request's events, in their order.
const KINDS: [&str; 6] = [
    "request.accepted",
    "reservation.granted",
    "attempt.started",
    "attempt.ended",
    "reservation.settled",
    "billing.recorded",
];

/// One process's log, made line by line.
struct MadeLog {
    process: u64,
    next: u64,
    lines: u64,
    buffer: Vec<u8>,
    read: usize,
}

impl MadeLog {
    fn source(process: u64, lines: u64) -> EventSource {
        let log = Self {
            process,
            next: 0,
            lines,
            buffer: Vec::new(),
            read: 0,
        };
        EventSource::new(&format!("log{process}"), Box::new(log))
    }

    fn make_line(&mut self) {
        let (process, number) = (self.process, self.next);
        self.next += 1;
        let kind = KINDS[usize::try_from(number % 6).unwrap_or_default()];
        let order = number * LOGS + process;
        let at = 1_796_233_713_000 + number / 10;
        let request = number / 6;
        self.buffer.clear();
        self.read = 0;
        writeln!(
            self.buffer,
            "{{\"at\":{at},\"order\":{order},\"instance\":\"tln-a-{process}\",\"incarnation\":7,\
             \"kind\":\"{kind}\",\"organisation\":\"o{}\",\"budget\":\"b{}\",\
             \"request\":\"req-{process}-{request}\",\"attempt\":\"{request:032x}\",\
             \"detail\":[{{\"name\":\"tokens\",\"value\":\"40\"}}]}}",
            request % 10,
            request % 30
        )
        .expect("a vector takes every write");
    }
}

impl Read for MadeLog {
    fn read(&mut self, target: &mut [u8]) -> io::Result<usize> {
        if self.read == self.buffer.len() {
            if self.next == self.lines {
                return Ok(0);
            }
            self.make_line();
        }
        let rest = &self.buffer[self.read..];
        let count = rest.len().min(target.len());
        target[..count].copy_from_slice(&rest[..count]);
        self.read += count;
        Ok(count)
    }
}

fn main() {
    println!("what          lines     lines/s  peak memory so far");
    for lines in [500_000, 1_000_000, 4_000_000] {
        measure("merge", lines, false);
    }
    measure("merge, check", 4_000_000, true);
}

fn measure(name: &str, lines: u64, checked: bool) {
    let sources = (0..LOGS).map(|process| MadeLog::source(process, lines / LOGS));
    let merge = EventMerge::new(sources.collect(), DEFAULT_WINDOW);
    let mut offsets = OffsetEstimator::default();
    let mut history = HistoryChecker::default();
    let started = Instant::now();
    let mut count = 0_u32;
    for event in merge {
        offsets.add(&event.record);
        if checked {
            history.add(&event);
        }
        count += 1;
    }
    let report = history.finish(&[]);
    assert!(report.breaches.is_empty());
    let rate = f64::from(count) / started.elapsed().as_secs_f64();
    println!("{name:<12}  {count:>7}  {rate:>8.0}  {}", peak_memory());
}

/// The process's greatest resident size, as the kernel states it.
fn peak_memory() -> String {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.map_or_else(|| "unknown".into(), |size| size.trim().into())
}
