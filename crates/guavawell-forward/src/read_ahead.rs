//! Keeps what was read of responses and not yet taken by their callers, and ends those
//! whose callers take nothing.
//!
//! What a caller takes at once is written directly. Only what does not fit into its
//! connection waits here, and is written by [`CallerOutbox::deliver`], which runs beside
//! all other work for the request.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use event_listener::Event;
use futures_lite::FutureExt;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::MemoryUse;
use guavawell_core::forward::ReadAheadSettings;
use guavawell_core::forward::ResponseEnd;
use guavawell_core::forward::TakingPace;
use guavawell_core::forward::WaitingResponse;
use guavawell_core::forward::responses_to_end;
use guavawell_core::number::fraction;
use guavawell_fleet::event::EventDraft;

use crate::http::HttpChannel;
use crate::record::RequestRecord;
use crate::router::ForwardRouter;

/// Capacity that an empty queue keeps, in bytes.
const KEPT_CAPACITY: usize = 8 * 1024;
/// A queue gives memory back once its capacity is more than this multiple of its length:
/// the account counts lengths.
const SPARE_FACTOR: usize = 4;

/// The responses that wait for their callers.
#[derive(Debug, Default)]
pub struct WaitingResponses {
    queues: RefCell<Vec<Rc<ResponseQueue>>>,
    /// Bytes of responses that are held in memory.
    held: Cell<usize>,
}

/// What was read of a response and not yet written to its caller.
#[derive(Debug)]
struct ResponseQueue {
    bytes: RefCell<VecDeque<u8>>,
    /// Bytes of the response that are not complete enough to be written.
    incomplete: Cell<usize>,
    /// Most bytes that were held.
    peak: Cell<usize>,
    /// Bytes that were written after they had waited.
    taken: Cell<u64>,
    taken_at: Cell<ClockTime>,
    /// How much the caller has taken since the response began to wait.
    pace: Cell<TakingPace>,
    end: Cell<Option<ResponseEnd>>,
    /// Notified when bytes are added or taken, when memory may have become free, and at
    /// the end.
    changed: Event,
}

impl ResponseQueue {
    fn new(now: ClockTime) -> Self {
        Self {
            bytes: RefCell::default(),
            incomplete: Cell::new(0),
            peak: Cell::new(0),
            taken: Cell::new(0),
            taken_at: Cell::new(now),
            pace: Cell::new(TakingPace::new(now)),
            end: Cell::new(None),
            changed: Event::new(),
        }
    }

    fn len(&self) -> usize {
        self.bytes.borrow().len()
    }

    fn is_empty(&self) -> bool {
        self.bytes.borrow().is_empty()
    }

    fn held(&self) -> usize {
        self.len() + self.incomplete.get()
    }

    /// Begins anew to count what the caller takes.
    fn begin_taking(&self, now: ClockTime) {
        self.taken_at.set(now);
        self.pace.set(TakingPace::new(now));
    }

    fn note_taken(&self, bytes: usize, now: ClockTime) {
        let bytes = bytes as u64;
        self.taken.set(self.taken.get() + bytes);
        self.taken_at.set(now);
        let mut pace = self.pace.get();
        pace.note_taken(bytes);
        self.pace.set(pace);
    }

    fn review(&self, settings: &ReadAheadSettings, now: ClockTime) -> bool {
        let mut pace = self.pace.get();
        let is_slow = pace.review(settings, now);
        self.pace.set(pace);
        is_slow
    }

    fn waiting(&self) -> WaitingResponse {
        WaitingResponse {
            held: self.held(),
            taken_at: self.taken_at.get(),
        }
    }
}

/// Why a caller gets no more of a response.
#[derive(Debug)]
pub enum DeliveryEnd {
    /// The connection failed.
    Failed(io::Error),
    /// The caller closed the connection. The response will not look complete.
    Closed,
    /// The caller did not take the response.
    Ended(ResponseEnd),
}

/// Sends responses to a caller, and holds what the caller does not take at once.
#[derive(Debug)]
pub struct CallerOutbox<'a> {
    router: &'a ForwardRouter,
    channel: &'a HttpChannel,
    /// `None` if nothing is read ahead.
    queue: Option<Rc<ResponseQueue>>,
}

impl<'a> CallerOutbox<'a> {
    /// An empty outbox.
    #[must_use]
    pub fn new(router: &'a ForwardRouter, channel: &'a HttpChannel) -> Self {
        let queue = router
            .reads_ahead()
            .then(|| Rc::new(ResponseQueue::new(router.clock.now())));
        Self {
            router,
            channel,
            queue,
        }
    }

    /// The connection to the caller. Nothing may be written to it past a response.
    #[must_use]
    pub const fn channel(&self) -> &HttpChannel {
        self.channel
    }

    /// Sends or keeps `bytes`, and returns once more of the response may be read.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn send(&self, bytes: &[u8]) -> io::Result<()> {
        self.send_last(bytes).await?;
        self.await_room().await;
        Ok(())
    }

    /// Sends or keeps the last bytes of a response.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn send_last(&self, bytes: &[u8]) -> io::Result<()> {
        let Some(queue) = &self.queue else {
            let mut held = self.incomplete_part();
            held.set(bytes.len());
            return self.channel.send(bytes).await;
        };
        let written = if queue.is_empty() {
            self.channel.send_ready(bytes)?
        } else {
            0
        };
        if written < bytes.len() {
            self.keep(queue, &bytes[written..]);
        }
        Ok(())
    }

    /// Waits until the caller's connection has taken all that was sent.
    pub async fn finish(&self) {
        let Some(queue) = &self.queue else {
            return;
        };
        while !queue.is_empty() {
            let changed = queue.changed.listen();
            changed.await;
        }
    }

    /// Counts what is held of a response and not in the queue.
    #[must_use]
    pub const fn incomplete_part(&self) -> IncompletePart<'_> {
        IncompletePart {
            outbox: self,
            bytes: 0,
        }
    }

    /// Whether `bytes` of a response may be collected before they are sent.
    #[must_use]
    pub fn may_collect(&self, bytes: usize) -> bool {
        let settings = &self.router.settings.read_ahead;
        settings.may_read(self.router.memory_use(), bytes)
    }

    /// Writes what is kept, as the caller takes it, until the connection fails or the
    /// response is to be ended.
    pub async fn deliver(&self) -> DeliveryEnd {
        let Some(queue) = &self.queue else {
            return std::future::pending().await;
        };
        loop {
            let changed = queue.changed.listen();
            if let Some(end) = queue.end.get() {
                return DeliveryEnd::Ended(end);
            }
            if queue.is_empty() {
                changed.await;
                continue;
            }
            match self.write_kept(queue) {
                // What the caller sent before it closed the connection hides the end from
                // `wait_for_close`. The regular review wakes this loop to look.
                Ok(0) if self.channel.is_closed_by_peer() => return DeliveryEnd::Closed,
                Ok(0) => {
                    let stream = self.channel.stream();
                    let ended = async {
                        changed.await;
                        Ok(())
                    };
                    if let Err(error) = stream.writable().or(ended).await {
                        return DeliveryEnd::Failed(error);
                    }
                }
                Ok(_) => {}
                Err(error) => return DeliveryEnd::Failed(error),
            }
        }
    }

    /// Ends the response that the caller does not take. The connection will be reset, so
    /// that nothing looks complete and the kernel keeps nothing either.
    pub fn abandon(&self, end: ResponseEnd, id: &str, record: &RequestRecord) {
        let Some(queue) = &self.queue else {
            return;
        };
        let cause = end.as_str();
        record.note("cause", cause);
        record.truncated();
        let pause = self.router.clock.now().since(queue.taken_at.get());
        metrics::counter!("guavawell_forward_responses_ended_total", "cause" => cause).increment(1);
        let mut draft = EventDraft::new("response.not_taken")
            .field("cause", cause)
            .field("held_bytes", queue.held())
            .field("taken_bytes", queue.taken.get())
            .field("paused_ms", pause.as_millis())
            .field("all_held_bytes", self.router.held_bytes.get());
        draft.request = id.parse().ok();
        self.router.log.emit(draft);
        self.reset();
    }

    /// Has the connection reset once it is dropped.
    pub fn reset(&self) {
        if let Err(error) = self.channel.reset_on_close() {
            log::warn!("failed to reset a caller's connection: {error}");
        }
    }

    /// Takes [`reset`](Self::reset) back, once the response was sent completely.
    pub fn close_in_order(&self) {
        if let Err(error) = self.channel.close_in_order() {
            log::debug!("a caller's connection has failed: {error}");
        }
    }

    /// Records how much of the response was held at most.
    pub fn note_peak(&self, record: &RequestRecord) {
        let peak = self.queue.as_ref().map_or(0, |queue| queue.peak.get());
        if peak > 0 {
            record.note("held_peak_bytes", peak);
        }
    }

    /// Keeps bytes that the connection does not take now.
    fn keep(&self, queue: &Rc<ResponseQueue>, bytes: &[u8]) {
        if queue.is_empty() {
            queue.begin_taking(self.router.clock.now());
            self.router.waiting.add(queue);
        }
        self.change(queue, |queue| queue.bytes.borrow_mut().extend(bytes));
        queue.peak.set(queue.peak.get().max(queue.len()));
        queue.changed.notify(usize::MAX);
    }

    /// Waits until more of the response may be read.
    async fn await_room(&self) {
        let Some(queue) = &self.queue else {
            return;
        };
        let settings = &self.router.settings.read_ahead;
        while !queue.is_empty() {
            let changed = queue.changed.listen();
            if settings.may_read(self.router.memory_use(), queue.len()) {
                return;
            }
            changed.await;
        }
    }

    /// Writes what the connection takes now, and returns the number of bytes.
    fn write_kept(&self, queue: &Rc<ResponseQueue>) -> io::Result<usize> {
        let written = self
            .channel
            .send_ready(queue.bytes.borrow().as_slices().0)?;
        if written == 0 {
            return Ok(0);
        }
        self.change(queue, |queue| {
            let mut bytes = queue.bytes.borrow_mut();
            bytes.drain(..written);
            let (length, capacity) = (bytes.len(), bytes.capacity());
            if capacity > SPARE_FACTOR * length {
                bytes.shrink_to(KEPT_CAPACITY.max(2 * length));
            }
        });
        queue.note_taken(written, self.router.clock.now());
        if queue.is_empty() {
            self.router.waiting.remove(queue);
        }
        queue.changed.notify(usize::MAX);
        Ok(written)
    }

    /// Changes a queue, and the counts of what is held by as much.
    fn change(&self, queue: &ResponseQueue, change: impl FnOnce(&ResponseQueue)) {
        let before = queue.held();
        change(queue);
        let after = queue.held();
        for count in [&self.router.held_bytes, &self.router.waiting.held] {
            count.set(count.get() + after - before);
        }
    }
}

/// Counts the bytes that are held of one response and not in the queue, until it is dropped:
/// those that are not complete enough to be sent, and without a queue those that are sent.
#[derive(Debug)]
pub struct IncompletePart<'a> {
    outbox: &'a CallerOutbox<'a>,
    bytes: usize,
}

impl IncompletePart<'_> {
    /// Sets the number of bytes.
    pub fn set(&mut self, bytes: usize) {
        if let Some(queue) = &self.outbox.queue {
            let others = queue.incomplete.get().saturating_sub(self.bytes);
            self.outbox
                .change(queue, |queue| queue.incomplete.set(others + bytes));
        } else {
            let held = &self.outbox.router.held_bytes;
            held.set(held.get() + bytes - self.bytes);
        }
        self.bytes = bytes;
    }
}

impl Drop for IncompletePart<'_> {
    fn drop(&mut self) {
        self.set(0);
    }
}

impl Drop for CallerOutbox<'_> {
    fn drop(&mut self) {
        let Some(queue) = &self.queue else {
            return;
        };
        self.change(queue, |queue| {
            queue.bytes.borrow_mut().clear();
            queue.incomplete.set(0);
        });
        self.router.waiting.remove(queue);
    }
}

impl WaitingResponses {
    /// Bytes of responses that are held in memory.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held.get()
    }

    fn add(&self, queue: &Rc<ResponseQueue>) {
        if queue.peak.get() == 0 {
            metrics::counter!("guavawell_forward_responses_read_ahead_total").increment(1);
        }
        self.queues.borrow_mut().push(Rc::clone(queue));
    }

    fn remove(&self, queue: &Rc<ResponseQueue>) {
        let mut queues = self.queues.borrow_mut();
        let place = queues.iter().position(|other| Rc::ptr_eq(other, queue));
        place.map(|place| queues.swap_remove(place));
    }
}

/// Ends responses whose callers do not take them, and lets the others read on if memory
/// has become free. Reports what is held.
///
/// If the process `was_paused`, it could not write: no response is ended, and the time for
/// which their callers may take nothing begins anew.
pub fn review_responses(router: &ForwardRouter, was_paused: bool) {
    let queues = router.waiting.queues.borrow();
    let now = router.clock.now();
    if was_paused {
        for queue in &*queues {
            queue.begin_taking(now);
        }
    }
    let waiting: Vec<_> = queues.iter().map(|queue| queue.waiting()).collect();
    let settings: &ReadAheadSettings = &router.settings.read_ahead;
    let slow = queues.iter().map(|queue| queue.review(settings, now));
    let slow: Vec<_> = slow.collect();
    let memory = router.memory_use();
    for (place, end) in responses_to_end(settings, memory, &waiting, &slow, now) {
        queues[place].end.set(Some(end));
    }
    for queue in &*queues {
        queue.changed.notify(usize::MAX);
    }
    report_memory(memory, router.waiting.held_bytes());
}

fn report_memory(memory: MemoryUse, responses: usize) {
    let requests = memory.held.saturating_sub(responses);
    for (kind, bytes) in [("request", requests), ("response", responses)] {
        metrics::gauge!("guavawell_forward_held_bytes", "kind" => kind).set(fraction(bytes as u64));
    }
}
