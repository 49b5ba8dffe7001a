//! Gathers the conditional writes of concurrent claims into transactions.
//!
//! While one transaction is under way, further writes queue for the next. A
//! transaction is all or nothing: where one condition fails, nothing is
//! written, the rows read tell whose it was, and the others go again.

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::ClaimGeneration;
use guavawell_core::platform::WriteClass;
use guavawell_core::request::claim::ClaimEvent;
use guavawell_core::request::claim::ClaimRow;
use guavawell_core::retention::GENERATION_KEY;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;

use super::book::GenerationBook;
use super::book::KnownGeneration;
use crate::clock::duration;
use crate::platform::PlatformError;
use crate::platform::Table;
use crate::platform::TableCompare;
use crate::platform::TableOp;
use crate::platform::TableRow;
use crate::platform::TableTxn;
use crate::platform::TxnAnswer;

/// How claims are gathered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchSettings {
    /// Most claims of one transaction; etcd takes 128 operations.
    pub most: usize,
    /// How long the first claim waits for company.
    pub linger: ClockSpan,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            most: 64,
            linger: ClockSpan::from_millis(2),
        }
    }
}

/// One conditional write that waits for its transaction.
pub(super) struct QueuedWrite {
    pub key: Box<str>,
    pub expected: u64,
    pub generation: ClaimGeneration,
    pub row: ClaimRow,
    pub answer: Sender<ClaimEvent>,
}

/// Writes queued claims until every sender is gone.
pub(super) async fn write_batches(
    table: Table,
    settings: BatchSettings,
    queue: Receiver<QueuedWrite>,
    book: GenerationBook,
) {
    let mut waiting: Vec<QueuedWrite> = Vec::new();
    loop {
        if waiting.is_empty() {
            let Ok(write) = queue.recv().await else {
                return;
            };
            waiting.push(write);
            Timer::after(duration(settings.linger)).await;
        }
        while let Ok(write) = queue.try_recv() {
            waiting.push(write);
        }
        let batch = take_batch(&mut waiting, settings.most.max(1));
        let again = write_batch(&table, &book, batch).await;
        waiting.splice(0..0, again);
    }
}

/// The first writes of different keys, since a transaction writes a key once.
fn take_batch(waiting: &mut Vec<QueuedWrite>, most: usize) -> Vec<QueuedWrite> {
    let mut batch: Vec<QueuedWrite> = Vec::new();
    let mut rest = Vec::new();
    for write in waiting.drain(..) {
        let taken = batch.iter().any(|other| other.key == write.key);
        if taken || batch.len() == most {
            rest.push(write);
        } else {
            batch.push(write);
        }
    }
    *waiting = rest;
    batch
}

/// Writes a batch, tells each writer, and gives back what goes again.
async fn write_batch(
    table: &Table,
    book: &GenerationBook,
    batch: Vec<QueuedWrite>,
) -> Vec<QueuedWrite> {
    let known = book.known();
    let batch = tell_stale(batch, known.generation);
    if batch.is_empty() {
        return batch;
    }
    metrics::histogram!("guavawell_claim_batch_size").record(count_of(batch.len()));
    match table
        .txn(&transaction(&known, &batch), WriteClass::Claim)
        .await
    {
        Ok(answer) if answer.succeeded => {
            let revision = answer.revision;
            tell_all(batch, &ClaimEvent::Written { revision });
            Vec::new()
        }
        Ok(answer) => tell_clashes(batch, &answer, known, book),
        Err(PlatformError::Lost(_)) => {
            tell_all(batch, &ClaimEvent::Unanswered);
            Vec::new()
        }
        Err(_) => {
            tell_all(batch, &ClaimEvent::Failed);
            Vec::new()
        }
    }
}

/// Tells the writers that count on another generation; gives back the others.
fn tell_stale(batch: Vec<QueuedWrite>, current: ClaimGeneration) -> Vec<QueuedWrite> {
    let is_current = |write: &QueuedWrite| write.generation == current;
    let (batch, stale): (Vec<_>, Vec<_>) = batch.into_iter().partition(is_current);
    tell_all(stale, &ClaimEvent::Stale { current });
    batch
}

fn count_of(len: usize) -> f64 {
    f64::from(u32::try_from(len).unwrap_or(u32::MAX))
}

fn transaction(known: &KnownGeneration, batch: &[QueuedWrite]) -> TableTxn {
    let compare = |write: &QueuedWrite| TableCompare::unchanged(&write.key, write.expected);
    let mut compares: Vec<TableCompare> = batch.iter().map(compare).collect();
    compares.push(known.compare());
    let mut failure: Vec<TableOp> = batch.iter().map(|write| TableOp::get(&write.key)).collect();
    failure.push(TableOp::get(GENERATION_KEY));
    TableTxn {
        compares,
        success: batch.iter().map(put).collect(),
        failure,
    }
}

fn put(write: &QueuedWrite) -> TableOp {
    let value = serde_json::to_vec(&write.row).expect("a claim serialises");
    TableOp::put(&write.key, value)
}

/// Tells the writers whose condition failed, and all others if another
/// generation is in force; else these go again.
fn tell_clashes(
    batch: Vec<QueuedWrite>,
    answer: &TxnAnswer,
    known: KnownGeneration,
    book: &GenerationBook,
) -> Vec<QueuedWrite> {
    let Some(found) = KnownGeneration::of(answer.row(batch.len())) else {
        tell_all(batch, &ClaimEvent::Failed);
        return Vec::new();
    };
    book.hear(found);
    let mut again = Vec::new();
    for (place, write) in batch.into_iter().enumerate() {
        let row = answer.row(place);
        let revision = row.map_or(0, |row| row.mod_revision);
        if revision != write.expected {
            tell(&write, seen(row));
        } else if found == known {
            again.push(write);
        } else {
            let current = found.generation;
            tell(&write, ClaimEvent::Stale { current });
        }
    }
    again
}

/// What a read row says to its claim.
pub(super) fn seen(row: Option<&TableRow>) -> ClaimEvent {
    let Some(row) = row else {
        return ClaimEvent::Absent;
    };
    match serde_json::from_slice(&row.value) {
        Ok(claim) => ClaimEvent::Found {
            row: claim,
            revision: row.mod_revision,
        },
        Err(error) => {
            log::error!("row `{}` is no claim: {error}", row.key);
            ClaimEvent::Failed
        }
    }
}

fn tell_all(batch: Vec<QueuedWrite>, event: &ClaimEvent) {
    for write in batch {
        tell(&write, event.clone());
    }
}

/// A writer that is gone has left its claim in doubt, which its key's next
/// reader meets like any other claim.
fn tell(write: &QueuedWrite, event: ClaimEvent) {
    let _ = write.answer.try_send(event);
}
