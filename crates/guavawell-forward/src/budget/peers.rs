//! The other instances of the fleet: how many there are, and where they answer
//! questions for tokens. Each writes its address once in a boot.

use std::net::SocketAddr;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::grant::decode_row;
use guavawell_core::id::InstanceId;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;

use super::BudgetDesk;
use super::PEER_PART;
use super::PEER_TABLE;
use super::calls::encode;
use super::fault_pause;
use crate::store::KeyedRows;
use crate::store::RowKey;
use crate::store::WriteAnswer;

/// How long an instance that did not answer is not asked again: a question to
/// one that is cut off costs its whole time limit.
const AVOID: ClockSpan = ClockSpan::from_millis(2_000);

/// An instance's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PeerRow {
    /// Where it answers other instances; `None` if it does not.
    pub(super) address: Option<SocketAddr>,
}

/// Another instance.
#[derive(Clone, Debug)]
pub(super) struct PeerEntry {
    pub(super) instance: InstanceId,
    pub(super) address: SocketAddr,
    /// It is not asked before this time.
    pub(super) avoided_until: ClockTime,
}

impl BudgetDesk {
    /// Writes the own row, however long it takes.
    pub(super) async fn announce(&self) {
        let row = PeerRow {
            address: self.peer_address,
        };
        let Some(bytes) = encode(&row) else {
            return;
        };
        let mut version = 0;
        loop {
            let written = self.write_row("peers", self.peer_key(), version, bytes.clone());
            match written.await {
                Ok(WriteAnswer::Done(..)) => return,
                Ok(WriteAnswer::Changed(state)) => {
                    if state.value.as_deref() == Some(&bytes[..]) {
                        return;
                    }
                    version = state.version;
                }
                Err(_) => {
                    Timer::after(fault_pause()).await;
                }
            }
        }
    }

    fn peer_key(&self) -> RowKey {
        RowKey {
            table: PEER_TABLE,
            part: PEER_PART.into(),
            key: self.instance.as_str().into(),
        }
    }

    /// Reads which instances there are.
    pub(super) async fn read_peers(&self) {
        match (self.store.table)(PEER_TABLE).await {
            Ok(rows) => {
                self.book.borrow_mut().set_instances(rows.len());
                self.take_peers(&rows);
            }
            Err(fault) => self.note_fault("peers", &fault),
        }
    }

    fn take_peers(&self, rows: &KeyedRows) {
        let mut known = self.peers.borrow_mut();
        let mut peers: Vec<PeerEntry> = Vec::with_capacity(rows.len());
        for (key, state) in rows {
            let value = state.value.as_deref().unwrap_or_default();
            let row = decode_row::<PeerRow>(value);
            let (Ok(instance), Ok(row)) = (key.parse::<InstanceId>(), row) else {
                log::warn!("the row of instance `{key}` cannot be read");
                continue;
            };
            let Some(address) = row.address.filter(|_| instance != self.instance) else {
                continue;
            };
            let before = known.iter().find(|peer| peer.instance == instance);
            let avoided = before.filter(|peer| peer.address == address);
            peers.push(PeerEntry {
                instance,
                address,
                avoided_until: avoided.map_or(ClockTime::default(), |peer| peer.avoided_until),
            });
        }
        peers.sort_by(|one, other| one.instance.cmp(&other.instance));
        *known = peers;
    }

    /// Where an instance answers, unless it lately did not.
    pub(super) fn peer_address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        let place = peers.binary_search_by(|peer| peer.instance.cmp(instance));
        let peer = &peers[place.ok()?];
        (self.clock.now() >= peer.avoided_until).then_some(peer.address)
    }

    /// All instances that answer, but for those that lately did not.
    pub(super) fn peer_addresses(&self) -> Vec<(InstanceId, SocketAddr)> {
        let now = self.clock.now();
        let peers = self.peers.borrow();
        let able = peers.iter().filter(|peer| now >= peer.avoided_until);
        able.map(|peer| (peer.instance.clone(), peer.address))
            .collect()
    }

    /// An instance did not answer.
    pub(super) fn avoid_peer(&self, instance: &InstanceId) {
        let until = self.clock.now() + AVOID;
        let mut peers = self.peers.borrow_mut();
        if let Ok(place) = peers.binary_search_by(|peer| peer.instance.cmp(instance)) {
            peers[place].avoided_until = until;
        }
    }
}
