//! Many logs merged into one order in which no event precedes its cause.
//!
//! The order is by Lamport clock, then wall clock, then instance. A cause has
//! a lower Lamport order than its effect, whatever the wall clocks say, so
//! every cause comes first. Memory is bounded by the logs' windows.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::source::BadLineList;
use crate::source::EventPlace;
use crate::source::EventSource;
use crate::source::PlacedEvent;
use crate::source::ReorderWindow;

/// Records of one log that are held to put them in order, by default.
pub const DEFAULT_WINDOW: usize = 4_096;

/// An event that sorts by its place in the time line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventHead(PlacedEvent);

impl EventHead {
    /// Wraps an event.
    #[must_use]
    pub const fn new(event: PlacedEvent) -> Self {
        Self(event)
    }
}

impl Ord for EventHead {
    fn cmp(&self, other: &Self) -> Ordering {
        let (mine, theirs) = (&self.0.record, &other.0.record);
        mine.order
            .cmp(&theirs.order)
            .then_with(|| mine.at.cmp(&theirs.at))
            .then_with(|| mine.instance.cmp(&theirs.instance))
            .then_with(|| mine.incarnation.cmp(&theirs.incarnation))
            .then_with(|| self.0.place.cmp(&other.0.place))
    }
}

impl PartialOrd for EventHead {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// What a merge met on its way.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeSummary {
    /// Events given out.
    pub events: u64,
    /// Events left out, being copies of one given out.
    pub copies: u64,
    /// Events that came too late in their log for the window.
    pub disordered: u64,
    /// The first of them.
    pub first_disordered: Option<EventPlace>,
    /// Lines that hold no event.
    pub bad: BadLineList,
}

/// Merges logs; iterate over it for the time line.
pub struct EventMerge {
    names: Vec<Box<str>>,
    windows: Vec<ReorderWindow>,
    heads: BinaryHeap<Reverse<EventHead>>,
    last: Option<PlacedEvent>,
    summary: MergeSummary,
}

impl EventMerge {
    /// Merges `sources`, each put in order over `window` records.
    ///
    /// A window of `usize::MAX` sorts each log as a whole, in memory.
    #[must_use]
    pub fn new(sources: Vec<EventSource>, window: usize) -> Self {
        let names = sources.iter().map(|source| source.name().into()).collect();
        let windows = (0..).zip(sources);
        let windows = windows.map(|(index, source)| ReorderWindow::new(source, index, window));
        let mut merge = Self {
            names,
            windows: windows.collect(),
            heads: BinaryHeap::new(),
            last: None,
            summary: MergeSummary::default(),
        };
        for index in 0..merge.windows.len() {
            merge.refill(index);
        }
        merge
    }

    /// What the merge met so far.
    #[must_use]
    pub const fn summary(&self) -> &MergeSummary {
        &self.summary
    }

    /// The logs' names, in the order given.
    #[must_use]
    pub fn names(&self) -> &[Box<str>] {
        &self.names
    }

    /// A place as `log:line`.
    #[must_use]
    pub fn place_text(&self, place: EventPlace) -> Box<str> {
        place_text(&self.names, place)
    }

    fn refill(&mut self, index: usize) {
        if let Some(head) = self.windows[index].next_event(&mut self.summary.bad) {
            self.heads.push(Reverse(head));
        }
    }

    /// Counts an event that should have come before the last one.
    fn note_disorder(&mut self, event: &PlacedEvent) {
        let late = |last: &PlacedEvent| last.record.order > event.record.order;
        if self.last.as_ref().is_some_and(late) {
            self.summary.disordered += 1;
            self.summary.first_disordered.get_or_insert(event.place);
        }
    }
}

impl Iterator for EventMerge {
    type Item = PlacedEvent;

    fn next(&mut self) -> Option<PlacedEvent> {
        loop {
            let Reverse(EventHead(event)) = self.heads.pop()?;
            self.refill(event.place.source as usize);
            let copied = |last: &PlacedEvent| last.record == event.record;
            if self.last.as_ref().is_some_and(copied) {
                self.summary.copies += 1;
                continue;
            }
            self.note_disorder(&event);
            self.summary.events += 1;
            self.last = Some(event.clone());
            return Some(event);
        }
    }
}

/// A place as `log:line`.
#[must_use]
pub fn place_text(names: &[Box<str>], place: EventPlace) -> Box<str> {
    let name = names.get(place.source as usize);
    let name = name.map_or("?", |name| &**name);
    format!("{name}:{}", place.line).into()
}
