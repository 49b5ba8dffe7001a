//! Mends small disorder within one log.
//!
//! A process raises its Lamport clock and queues the record in two steps, so
//! neighbouring records of different threads may be written the wrong way
//! round. A window of records per log puts them right in bounded memory.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::EventPlace;
use super::EventSource;
use super::PlacedEvent;
use super::bad::BadLine;
use super::bad::BadLineList;
use super::line::LineReader;
use crate::merge::EventHead;

/// One log, its records put in order over a window.
pub(crate) struct ReorderWindow {
    reader: LineReader,
    source: u32,
    size: usize,
    heap: BinaryHeap<Reverse<EventHead>>,
}

impl ReorderWindow {
    pub(crate) fn new(source: EventSource, index: u32, size: usize) -> Self {
        Self {
            reader: LineReader::new(source),
            source: index,
            size: size.max(1),
            heap: BinaryHeap::new(),
        }
    }

    /// The next event of this log; bad lines on the way go to `bad`.
    pub(crate) fn next_event(&mut self, bad: &mut BadLineList) -> Option<EventHead> {
        while self.heap.len() < self.size {
            let Some(read) = self.reader.next_line() else {
                break;
            };
            let place = EventPlace {
                source: self.source,
                line: read.line,
            };
            match read.event {
                Ok(record) => {
                    let head = EventHead::new(PlacedEvent { record, place });
                    self.heap.push(Reverse(head));
                }
                Err(reason) => bad.push(BadLine { place, reason }),
            }
        }
        self.heap.pop().map(|Reverse(head)| head)
    }
}
