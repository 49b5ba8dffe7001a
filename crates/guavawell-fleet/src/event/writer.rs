//! The thread that writes the event log.

use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::TryRecvError;

use guavawell_core::event::EventRecord;

use super::EventCounts;

/// Records written before the output is flushed even if more are waiting.
const FLUSH_EVERY: u32 = 1_024;

/// What the log tells its writer.
pub enum WriterMessage {
    /// Write this record.
    Record(Box<EventRecord>),
    /// Write what came before, then stop.
    Close,
}

/// Writes records until it is told to stop or every handle is gone.
pub struct EventWriter<W: Write> {
    output: BufWriter<W>,
    counts: Arc<EventCounts>,
    failed: bool,
}

impl<W: Write> EventWriter<W> {
    /// A writer to `output` that counts what it wrote.
    pub fn new(output: W, counts: Arc<EventCounts>) -> Self {
        Self {
            output: BufWriter::new(output),
            counts,
            failed: false,
        }
    }

    /// Writes until the end; flushes whenever nothing is waiting.
    pub fn run(mut self, records: &Receiver<WriterMessage>) {
        while let Ok(message) = records.recv() {
            let more = self.write_burst(message, records);
            let flushed = self.output.flush();
            self.note(flushed);
            if !more {
                return;
            }
        }
    }

    /// Writes `first` and what waits behind it; `false` at the end.
    fn write_burst(&mut self, first: WriterMessage, records: &Receiver<WriterMessage>) -> bool {
        let mut message = first;
        for _ in 0..FLUSH_EVERY {
            let WriterMessage::Record(record) = message else {
                return false;
            };
            let written = self.write(&record);
            self.note(written);
            match records.try_recv() {
                Ok(next) => message = next,
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
        self.write_last(message)
    }

    /// Writes the message that a full burst has already taken.
    fn write_last(&mut self, message: WriterMessage) -> bool {
        let WriterMessage::Record(record) = message else {
            return false;
        };
        let written = self.write(&record);
        self.note(written);
        true
    }

    fn write(&mut self, record: &EventRecord) -> io::Result<()> {
        serde_json::to_writer(&mut self.output, record)?;
        self.output.write_all(b"\n")?;
        self.counts.written.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    /// Says when writing begins to fail and when it works again.
    fn note(&mut self, outcome: io::Result<()>) {
        match outcome {
            Err(error) => {
                metrics::counter!("guavawell_event_write_failures_total").increment(1);
                if !self.failed {
                    log::error!("the event log cannot be written: {error}");
                }
                self.failed = true;
            }
            Ok(()) if self.failed => {
                log::info!("the event log is written again");
                self.failed = false;
            }
            Ok(()) => (),
        }
    }
}
