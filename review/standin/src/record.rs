//! What was sent, answered and run, in the order of time.

use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    /// Creates the file `record.txt` in a folder.
    ///
    /// # Panics
    ///
    /// The file cannot be created.
    #[must_use]
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("a record");
        Self {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        }
    }

    /// Adds a line with the time since the start.
    pub fn note(&self, text: impl Display) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            // A line that is not written is missed by its reader only.
            let _ = writeln!(file, "{seconds:8.3} {text}");
        }
    }
}
