//! Writes this instance's own row of suspicions to the store.

use std::rc::Rc;
use std::time::Duration;

use guavawell_core::grant::encode_row;
use guavawell_core::poison::SuspicionList;
use smol::Timer;

use super::POISON_TABLE;
use super::PoisonTracker;
use crate::clock::wait_due;
use crate::store::RowKey;
use crate::store::RowState;
use crate::store::StoreFault;
use crate::store::WriteAnswer;

/// Shortest delay after a failed write; up to as much again is added as jitter.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Shortest interval between two writes of the row.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(50);

impl PoisonTracker {
    /// Keeps the own row up to date for as long as the process runs.
    pub async fn publish(self: Rc<Self>) {
        loop {
            self.wait_due().await;
            self.write_due_at.set(None);
            match self.write_row().await {
                Ok(true) => {
                    Timer::after(MIN_WRITE_INTERVAL).await;
                }
                // The row had another version. It was merged, so the next write can
                // succeed.
                Ok(false) => self.write_due_at.set(Some(self.clock.now())),
                Err(fault) => {
                    log::debug!("writing the row of suspects failed: {fault}");
                    metrics::counter!("guavawell_forward_store_faults_total").increment(1);
                    self.write_due_at.set(Some(self.clock.now()));
                    Timer::after(RETRY_DELAY + RETRY_DELAY.mul_f64(fastrand::f64())).await;
                }
            }
        }
    }

    /// Waits until a write of the row is due. The row may hold suspicions of an
    /// earlier process of this instance, so it must be read before it is overwritten.
    async fn wait_due(&self) {
        let due = || self.write_due_at.get().filter(|_| self.has_loaded_rows());
        wait_due(&self.clock, &self.row_wakeup, due).await;
    }

    /// Writes the row; false if the store holds another version than the last known.
    async fn write_row(&self) -> Result<bool, StoreFault> {
        let now = self.clock.now();
        let list = SuspicionList {
            written_at: self.store_clock.get().now(now),
            entries: self.table.borrow().published_entries(now),
        };
        let bytes =
            encode_row(&list).map_err(|error| StoreFault::NotDone(error.to_string().into()))?;
        let key = RowKey {
            table: POISON_TABLE,
            part: "".into(),
            key: self.instance.as_str().into(),
        };
        metrics::counter!("guavawell_forward_poison_writes_total").increment(1);
        match (self.store.write)(key, self.row_version.get(), bytes).await? {
            WriteAnswer::Done(version, _) => {
                self.row_version.set(version);
                Ok(true)
            }
            WriteAnswer::Changed(state) => {
                self.apply_own_row(&state);
                Ok(false)
            }
        }
    }

    /// Merges the own row as the store holds it: written by an earlier process of this
    /// instance, or by a write whose answer was lost.
    fn apply_own_row(&self, state: &RowState) {
        self.row_version.set(state.version);
        if let Some(value) = &state.value {
            let instance = self.instance.clone();
            self.apply_row(instance.as_str(), state.version, value, state.time);
        }
    }
}
