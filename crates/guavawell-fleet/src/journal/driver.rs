//! The task that writes segments.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::platform::BackoffPolicy;
use guavawell_core::platform::Jitter;
use guavawell_core::platform::WriteClass;
use guavawell_core::request::billing::BillingRecord;
use guavawell_core::request::billing::JournalBuffer;
use guavawell_core::request::billing::JournalPolicy;
use guavawell_core::request::billing::JournalSegment;
use smol::Timer;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future;

use crate::clock::duration;
use crate::clock::now;
use crate::platform::ObjectPut;
use crate::platform::Objects;
use crate::platform::PlatformError;

/// How the journal is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalSettings {
    /// When a segment is closed.
    pub policy: JournalPolicy,
    /// Waits after a failed write.
    pub backoff: BackoffPolicy,
    /// Records in memory from which on [`JournalDriver::is_full`] says so;
    /// half of what a holder remembers, so that it forgets none of them.
    pub most_backlog: usize,
}

impl Default for JournalSettings {
    fn default() -> Self {
        Self {
            policy: JournalPolicy::default(),
            backoff: BackoffPolicy::default(),
            most_backlog: 50_000,
        }
    }
}

enum JournalMessage {
    Record(BillingRecord),
    Flush(Sender<()>),
}

/// The journal of one router; clones share it.
#[derive(Clone, Debug)]
pub struct JournalDriver {
    queue: Sender<JournalMessage>,
    backlog: Arc<AtomicUsize>,
    most_backlog: usize,
    /// The longest wait of a segment, in milliseconds.
    longest_wait: Arc<AtomicU64>,
}

impl JournalDriver {
    /// The journal of `router` and the task that writes its records, to be
    /// spawned where the router's other tasks run: it ends with them, as at a
    /// crash. It tells `on_durable` the records that may be forgotten.
    pub fn prepare(
        objects: Objects,
        router: InstanceIncarnation,
        settings: JournalSettings,
        on_durable: impl FnMut(Vec<BillingRecord>) + Send + 'static,
    ) -> (Self, impl Future<Output = ()> + Send + 'static) {
        let (queue, messages) = channel::unbounded();
        let backlog = Arc::new(AtomicUsize::new(0));
        let most_backlog = settings.most_backlog;
        let longest_wait = settings.policy.max_wait.as_millis();
        let longest_wait = Arc::new(AtomicU64::new(longest_wait));
        let writer = JournalWriter {
            objects,
            router,
            settings,
            buffers: Vec::new(),
            flushes: Vec::new(),
            backlog: Arc::clone(&backlog),
            longest_wait: Arc::clone(&longest_wait),
            failures: 0,
            held_until: ClockTime::default(),
            on_durable,
        };
        let journal = Self {
            queue,
            backlog,
            most_backlog,
            longest_wait,
        };
        (journal, writer.run(messages))
    }

    /// Starts the task on the global executor, where it outlives its handles
    /// until every record is written.
    #[must_use]
    pub fn start(
        objects: Objects,
        router: InstanceIncarnation,
        settings: JournalSettings,
        on_durable: impl FnMut(Vec<BillingRecord>) + Send + 'static,
    ) -> Self {
        let (journal, task) = Self::prepare(objects, router, settings, on_durable);
        smol::spawn(task).detach();
        journal
    }

    /// Takes a record; it is kept until it is durable.
    pub fn record(&self, record: BillingRecord) {
        let backlog = self.backlog.fetch_add(1, Ordering::Relaxed) + 1;
        metrics::gauge!("guavawell_journal_backlog").set(count_of(backlog));
        // The task ends only with the process.
        let _ = self.queue.try_send(JournalMessage::Record(record));
    }

    /// Closes segments after `wait` from now on, full or not.
    pub fn set_longest_wait(&self, wait: ClockSpan) {
        self.longest_wait.store(wait.as_millis(), Ordering::Relaxed);
    }

    /// Waits until every record taken so far is durable.
    ///
    /// It waits for as long as the object store is out; bound it by a timeout.
    pub async fn flush(&self) {
        let (done, flushed) = channel::bounded(1);
        if self.queue.send(JournalMessage::Flush(done)).await.is_ok() {
            let _ = flushed.recv().await;
        }
    }

    /// Records that are not known to be durable.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.backlog.load(Ordering::Relaxed)
    }

    /// Whether so many records wait that nothing further should be granted.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.backlog() >= self.most_backlog
    }
}

struct JournalWriter<F> {
    objects: Objects,
    router: InstanceIncarnation,
    settings: JournalSettings,
    /// Sorted by slot.
    buffers: Vec<JournalBuffer>,
    flushes: Vec<Sender<()>>,
    backlog: Arc<AtomicUsize>,
    longest_wait: Arc<AtomicU64>,
    failures: u32,
    held_until: ClockTime,
    on_durable: F,
}

impl<F: FnMut(Vec<BillingRecord>) + Send> JournalWriter<F> {
    async fn run(mut self, messages: Receiver<JournalMessage>) {
        loop {
            self.adjust_wait();
            match wait(&messages, self.due_in(now())).await {
                Some(Ok(message)) => self.take(message),
                Some(Err(_)) => return self.close(&messages).await,
                None => self.write_due().await,
            }
        }
    }

    fn adjust_wait(&mut self) {
        let wait = ClockSpan::from_millis(self.longest_wait.load(Ordering::Relaxed));
        if wait != self.settings.policy.max_wait {
            self.settings.policy.max_wait = wait;
            let buffers = self.buffers.iter_mut();
            buffers.for_each(|buffer| buffer.set_max_wait(wait));
        }
    }

    fn due_in(&self, now: ClockTime) -> Option<ClockSpan> {
        let due = self.buffers.iter().filter_map(|buffer| buffer.due_in(now));
        Some(due.min()?.max(self.held_until.since(now)))
    }

    fn take(&mut self, message: JournalMessage) {
        match message {
            JournalMessage::Record(record) => self.add(record),
            JournalMessage::Flush(done) => {
                self.buffers.iter_mut().for_each(JournalBuffer::close);
                self.flushes.push(done);
                self.tell_flushed();
            }
        }
    }

    fn add(&mut self, record: BillingRecord) {
        let slot = &record.slot;
        let found = self
            .buffers
            .binary_search_by(|buffer| buffer.slot().cmp(slot));
        let place = found.unwrap_or_else(|place| {
            let policy = self.settings.policy;
            let buffer = JournalBuffer::new(policy, slot.clone(), self.router.clone());
            self.buffers.insert(place, buffer);
            place
        });
        self.buffers[place].add(record, now());
    }

    /// Writes one segment of each slot that has one due.
    async fn write_due(&mut self) {
        for place in 0..self.buffers.len() {
            let Some(segment) = self.buffers[place].next(now()).cloned() else {
                continue;
            };
            match self.write(place, &segment).await {
                Ok(()) => self.failures = 0,
                Err(error) => {
                    self.hold_back(&error);
                    return;
                }
            }
        }
        self.tell_flushed();
    }

    async fn write(&mut self, place: usize, segment: &JournalSegment) -> Result<(), PlatformError> {
        let key = segment.name.to_string();
        let body = segment.body();
        let put = self
            .objects
            .put_new(&key, body.clone(), WriteClass::Journal);
        let is_ours = match put.await? {
            ObjectPut::Written => true,
            ObjectPut::Exists => self.objects.get(&key).await?.as_ref() == Some(&body),
        };
        if is_ours {
            let records = self.buffers[place].take_written(&segment.name);
            self.backlog.fetch_sub(records.len(), Ordering::Relaxed);
            metrics::counter!("guavawell_journal_segments_total").increment(1);
            (self.on_durable)(records);
        } else {
            log::error!("another object lies at `{key}`; the segment takes a new name");
            self.buffers[place].rename(&segment.name);
        }
        Ok(())
    }

    fn hold_back(&mut self, error: &PlatformError) {
        if self.failures == 0 {
            log::warn!("billing records wait in memory: {error}");
        }
        self.failures = self.failures.saturating_add(1);
        let jitter = Jitter(fastrand::u16(..));
        let wait = self.settings.backoff.wait(self.failures, jitter);
        self.held_until = now() + wait;
    }

    fn tell_flushed(&mut self) {
        if self.buffers.iter().all(|buffer| buffer.backlog() == 0) {
            for done in self.flushes.drain(..) {
                let _ = done.try_send(());
            }
        }
    }

    /// Every handle is gone: writes what is left.
    async fn close(mut self, messages: &Receiver<JournalMessage>) {
        while let Ok(message) = messages.try_recv() {
            self.take(message);
        }
        self.buffers.iter_mut().for_each(JournalBuffer::close);
        while let Some(wait) = self.due_in(now()) {
            Timer::after(duration(wait)).await;
            self.write_due().await;
        }
    }
}

/// The next message; `None` once a segment is due.
async fn wait(
    messages: &Receiver<JournalMessage>,
    due: Option<ClockSpan>,
) -> Option<Result<JournalMessage, channel::RecvError>> {
    let message = async { Some(messages.recv().await) };
    match due {
        None => message.await,
        Some(span) if span == ClockSpan::default() => None,
        Some(span) => {
            let due = async {
                Timer::after(duration(span)).await;
                None
            };
            future::or(message, due).await
        }
    }
}

fn count_of(len: usize) -> f64 {
    f64::from(u32::try_from(len).unwrap_or(u32::MAX))
}
