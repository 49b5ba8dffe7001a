//! Event logs: reading lines, tolerating bad ones, and mending small disorder.
//!
//! It never drops a line silently: one that holds no event is counted.

mod bad;
mod line;
mod window;

use std::fmt;
use std::fs::File;
use std::io;
use std::io::BufReader;
use std::io::Read;
use std::path::Path;

use guavawell_core::event::EventRecord;

pub use bad::BadLine;
pub use bad::BadLineList;
pub use bad::BadReason;
pub(crate) use window::ReorderWindow;

/// Bytes read from a log at a time.
const BUFFER_BYTES: usize = 256 * 1024;

/// Where an event was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventPlace {
    /// Place of the log in the list given.
    pub source: u32,
    /// The line, from 1.
    pub line: u64,
}

/// One event with the place where it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedEvent {
    /// The event.
    pub record: EventRecord,
    /// Where it was read.
    pub place: EventPlace,
}

/// One event log.
pub struct EventSource {
    name: Box<str>,
    reader: BufReader<Box<dyn Read>>,
}

impl EventSource {
    /// A log that is read from `reader` and shown as `name`.
    #[must_use]
    pub fn new(name: &str, reader: Box<dyn Read>) -> Self {
        Self {
            name: name.into(),
            reader: BufReader::with_capacity(BUFFER_BYTES, reader),
        }
    }

    /// Opens a file; `-` is the standard input.
    ///
    /// # Errors
    ///
    /// What the system says about the file.
    pub fn open(path: &Path) -> io::Result<Self> {
        if path == Path::new("-") {
            return Ok(Self::new("stdin", Box::new(io::stdin())));
        }
        let file = File::open(path)?;
        Ok(Self::new(&path.display().to_string(), Box::new(file)))
    }

    /// The log's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }
}

impl fmt::Debug for EventSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "EventSource({})", self.name)
    }
}
