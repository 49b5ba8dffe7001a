//! The event log: what this process saw, one JSON object a line.
//!
//! `emit` never waits: it raises the Lamport clock, queues the record for a
//! writer thread, and counts the record as dropped when the queue is full.
//! This folder never decides which events matter.

mod draft;
mod lamport;
#[cfg(test)]
mod tests;
mod writer;

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::thread::JoinHandle;

use guavawell_core::clock::ClockTime;
use guavawell_core::event::EventRecord;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::InstanceId;

use self::writer::EventWriter;
use self::writer::WriterMessage;
use crate::clock;
use crate::settings::EventTarget;
use crate::settings::FilePath;

pub use draft::EventDraft;
pub use lamport::LamportClock;

/// How an event log is opened.
#[derive(Clone, Debug)]
pub struct EventLogSettings {
    /// Where records go.
    pub target: EventTarget,
    /// Records that may wait to be written.
    pub queue: usize,
    /// This process's wall clock.
    pub now: fn() -> ClockTime,
}

impl Default for EventLogSettings {
    fn default() -> Self {
        Self {
            target: EventTarget::Off,
            queue: 65_536,
            now: clock::now,
        }
    }
}

/// A handle to this process's event log; clones share it.
///
/// The last handle dropped, or [`EventLog::close`], writes what is queued.
#[derive(Clone, Debug)]
pub struct EventLog {
    shared: Arc<LogState>,
}

#[derive(Debug)]
struct LogState {
    instance: InstanceId,
    incarnation: IncarnationId,
    now: fn() -> ClockTime,
    lamport: LamportClock,
    counts: Arc<EventCounts>,
    /// Absent if the log is off.
    sender: Option<SyncSender<WriterMessage>>,
    writer: Mutex<Option<JoinHandle<()>>>,
}

/// Counters of an event log.
#[derive(Debug, Default)]
struct EventCounts {
    dropped: AtomicU64,
    written: AtomicU64,
}

impl EventLog {
    /// Opens the log of `instance` in its life `incarnation`.
    ///
    /// # Errors
    ///
    /// The file cannot be opened for appending, or no thread can be started.
    pub fn open(
        settings: &EventLogSettings,
        instance: InstanceId,
        incarnation: IncarnationId,
    ) -> io::Result<Self> {
        match &settings.target {
            EventTarget::Off => Ok(Self::off(instance, incarnation)),
            EventTarget::Stdout => Self::with_output(settings, instance, incarnation, io::stdout()),
            EventTarget::File(path) => {
                let file = append_to(path)?;
                Self::with_output(settings, instance, incarnation, file)
            }
        }
    }

    /// Opens a log that writes to `output`, whatever the settings' target.
    ///
    /// # Errors
    ///
    /// No thread can be started.
    pub fn with_output(
        settings: &EventLogSettings,
        instance: InstanceId,
        incarnation: IncarnationId,
        output: impl Write + Send + 'static,
    ) -> io::Result<Self> {
        let (sender, records) = sync_channel(settings.queue);
        let counts = Arc::new(EventCounts::default());
        let writer = EventWriter::new(output, Arc::clone(&counts));
        let thread = thread::Builder::new().name("event-log".into());
        let thread = thread.spawn(move || writer.run(&records))?;
        let mut state = LogState::new(instance, incarnation);
        state.now = settings.now;
        state.lamport = LamportClock::start((settings.now)());
        state.counts = counts;
        state.sender = Some(sender);
        state.writer = Mutex::new(Some(thread));
        Ok(Self {
            shared: Arc::new(state),
        })
    }

    /// A log that keeps the Lamport clock and writes nothing.
    #[must_use]
    pub fn off(instance: InstanceId, incarnation: IncarnationId) -> Self {
        let state = LogState::new(instance, incarnation);
        Self {
            shared: Arc::new(state),
        }
    }

    /// Records an event and returns its place in the Lamport order.
    #[expect(
        clippy::must_use_candidate,
        reason = "most callers want only the record"
    )]
    pub fn emit(&self, draft: EventDraft) -> u64 {
        let state = &*self.shared;
        let order = state.lamport.raise();
        if let Some(sender) = &state.sender {
            let record = state.record(draft, order);
            let message = WriterMessage::Record(Box::new(record));
            if sender.try_send(message).is_err() {
                state.counts.dropped.fetch_add(1, Ordering::Relaxed);
                metrics::counter!("guavawell_events_dropped_total").increment(1);
            }
        }
        order
    }

    /// The Lamport clock that messages to other processes carry and merge.
    #[must_use]
    pub fn lamport(&self) -> &LamportClock {
        &self.shared.lamport
    }

    /// Records dropped so far because the queue was full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.shared.counts.dropped.load(Ordering::Relaxed)
    }

    /// Records handed to the file or to standard output so far.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.shared.counts.written.load(Ordering::Relaxed)
    }

    /// Writes what is queued and stops; later events count as dropped.
    pub fn close(&self) {
        self.shared.close();
    }
}

impl LogState {
    /// The state of a log that is off.
    fn new(instance: InstanceId, incarnation: IncarnationId) -> Self {
        Self {
            instance,
            incarnation,
            now: clock::now,
            lamport: LamportClock::start(clock::now()),
            counts: Arc::default(),
            sender: None,
            writer: Mutex::new(None),
        }
    }

    fn record(&self, draft: EventDraft, order: u64) -> EventRecord {
        EventRecord {
            at: (self.now)(),
            order,
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            kind: draft.kind,
            organisation: draft.organisation,
            budget: draft.budget,
            request: draft.request,
            attempt: draft.attempt,
            detail: draft.detail,
        }
    }

    fn close(&self) {
        let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(writer) = writer.take() else {
            return;
        };
        if let Some(sender) = &self.sender {
            // A writer that has gone takes no message; joining still works.
            let _ = sender.send(WriterMessage::Close);
        }
        if writer.join().is_err() {
            log::error!("the event log's writer panicked");
        }
    }
}

impl Drop for LogState {
    fn drop(&mut self) {
        self.close();
    }
}

fn append_to(path: &FilePath) -> io::Result<File> {
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(path.as_path())
}
