//! Finds the boundaries and ids of server-sent events.

/// The complete events in received bytes. An empty line ends an event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventScan {
    /// Number of bytes up to the end of the last complete event.
    pub complete_bytes: usize,
    /// Number of complete events.
    pub count: u64,
    /// The id of the first complete event that has one.
    pub first_id: Option<u64>,
    /// The id of the last complete event that has one.
    pub last_id: Option<u64>,
}

/// Finds the complete events in a buffer that grows at its end, and looks at each byte
/// once.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    /// The complete events since the last call of [`consume`](Self::consume).
    scan: EventScan,
    /// Where the line begins that is not complete.
    line_start: usize,
    /// Bytes that were searched for the end of this line.
    searched: usize,
    in_event: bool,
    id: Option<u64>,
}

impl EventScanner {
    /// Finds the complete events at the beginning of `bytes`, which are those of the last
    /// call and more.
    pub fn scan(&mut self, bytes: &[u8]) -> &EventScan {
        let newline = |from: usize| bytes[from..].iter().position(|byte| *byte == b'\n');
        while let Some(length) = newline(self.searched) {
            let end = self.searched + length;
            let line = bytes[self.line_start..end].trim_ascii_end();
            self.line_start = end + 1;
            self.searched = end + 1;
            if line.is_empty() {
                self.end_event();
            } else {
                self.in_event |= !is_comment(line);
                self.id = event_id(line).or(self.id);
            }
        }
        self.searched = bytes.len();
        &self.scan
    }

    /// Ends an event, or comments, at an empty line.
    fn end_event(&mut self) {
        let scan = &mut self.scan;
        if self.in_event {
            scan.count += 1;
            scan.first_id = scan.first_id.or(self.id);
            scan.last_id = self.id.or(scan.last_id);
        }
        scan.complete_bytes = self.line_start;
        self.in_event = false;
        self.id = None;
    }

    /// Forgets the events so far; `count` bytes were removed from the beginning of the
    /// buffer.
    pub fn consume(&mut self, count: usize) {
        self.line_start = self.line_start.saturating_sub(count);
        self.searched = self.searched.saturating_sub(count);
        self.scan = EventScan::default();
    }
}

/// Whether bytes after the last complete event begin another one. Comments do not.
#[must_use]
pub fn begins_event(rest: &[u8]) -> bool {
    let mut lines = rest.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
    lines.any(|line| !line.is_empty() && !is_comment(line))
}

fn is_comment(line: &[u8]) -> bool {
    line.first() == Some(&b':')
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    let text = std::str::from_utf8(value.trim_ascii()).ok()?;
    text.parse().ok()
}
