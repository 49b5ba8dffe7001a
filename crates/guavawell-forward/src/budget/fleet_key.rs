//! Reads the key that authenticates instances to each other, or creates it.
//!
//! Without it, anyone who reaches an instance's port could borrow tokens, or
//! return tokens that were spent. So each message carries a proof of a key that
//! only the fleet's instances can read from the platform's store. The first
//! instance that finds no key writes one.

use guavawell_core::grant::decode_row;
use smol::Timer;

use super::BudgetManager;
use super::ROW_KEY;
use super::calls::encode;
use super::retry_delay;
use crate::peer::FleetKey;
use crate::store::RowKey;
use crate::store::RowState;
use crate::store::WriteAnswer;

/// Table of the key; its row is in [`KEY_PART`].
const KEY_TABLE: &str = "guavawell_keys";
/// Part of [`KEY_TABLE`] that holds the row.
const KEY_PART: &str = "";

impl BudgetManager {
    /// Reads the fleet's key, or creates it; retries until it succeeds.
    pub(super) async fn load_key(&self) {
        loop {
            if let Some(key) = self.read_or_write_key().await {
                self.peers.set_key(key);
                return;
            }
            Timer::after(retry_delay()).await;
        }
    }

    async fn read_or_write_key(&self) -> Option<FleetKey> {
        let row_key = || RowKey {
            table: KEY_TABLE,
            part: KEY_PART.into(),
            key: ROW_KEY.into(),
        };
        let state = self.read_row("key", row_key()).await?;
        if state.version > 0 {
            return decode_key(&state);
        }
        let key = FleetKey::generate();
        let written = self.write_row("key", row_key(), 0, encode(&key)?);
        match written.await.ok()? {
            WriteAnswer::Done(..) => Some(key),
            WriteAnswer::Changed(state) => decode_key(&state),
        }
    }
}

fn decode_key(state: &RowState) -> Option<FleetKey> {
    let key = decode_row(state.value.as_deref()?);
    if let Err(error) = &key {
        log::error!("cannot decode the fleet's key in {KEY_TABLE}: {error}");
    }
    key.ok()
}
