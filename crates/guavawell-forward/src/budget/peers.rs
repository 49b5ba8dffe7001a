//! The other instances of the fleet: how many there are, in which zones, and
//! where they answer questions for tokens. Each writes its row once in a boot.

use std::net::SocketAddr;
use std::rc::Rc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::grant::FleetMember;
use guavawell_core::grant::decode_row;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ZoneId;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;

use super::BudgetDesk;
use super::FIRST_LOOK;
use super::LOOK_PAUSE;
use super::PEER_PART;
use super::PEER_TABLE;
use super::calls::encode;
use super::fault_pause;
use crate::store::KeyedRows;
use crate::store::RowKey;
use crate::store::WriteAnswer;

/// How long an instance that did not answer is not asked again: a question to
/// one that is cut off costs its whole time limit. Doubled with each further
/// one that it does not answer.
const AVOID: ClockSpan = ClockSpan::from_millis(1_000);
/// Doublings of [`AVOID`] at most: one that is back is found within seconds.
const MAX_DOUBLINGS: u32 = 3;

/// An instance's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PeerRow {
    /// Where it answers other instances; `None` if it does not.
    pub(super) address: Option<SocketAddr>,
    /// Its availability zone.
    pub(super) zone: ZoneId,
}

/// Another instance.
#[derive(Clone, Debug)]
pub(super) struct PeerEntry {
    pub(super) instance: InstanceId,
    pub(super) zone: ZoneId,
    pub(super) address: SocketAddr,
    /// It is not asked before this time.
    pub(super) avoided_until: ClockTime,
    /// Questions in a row that it did not answer.
    pub(super) misses: u32,
}

impl BudgetDesk {
    /// Looks at the fleet for as long as the process lives.
    pub(super) async fn keep_peers(self: Rc<Self>) {
        // A fleet that starts as a whole is complete after a moment.
        Timer::after(FIRST_LOOK).await;
        loop {
            self.read_peers().await;
            Timer::after(LOOK_PAUSE).await;
        }
    }

    /// Writes the own row, however long it takes.
    pub(super) async fn announce(&self) {
        self.write_own_row(self.peer_address).await;
    }

    /// Tells the others that this process leaves: it is not to be asked for
    /// tokens any more.
    pub async fn announce_leaving(&self) {
        self.write_own_row(None).await;
    }

    async fn write_own_row(&self, address: Option<SocketAddr>) {
        let row = PeerRow {
            address,
            zone: self.zone.clone(),
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

    /// Reads which instances there are; false if the store failed.
    pub(super) async fn read_peers(&self) -> bool {
        match (self.store.table)(PEER_TABLE).await {
            Ok(rows) => {
                self.book.borrow_mut().set_instances(rows.len());
                self.take_peers(&rows);
                true
            }
            Err(fault) => {
                self.note_fault("peers", &fault);
                false
            }
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
            let known = before.filter(|peer| peer.address == address);
            peers.push(PeerEntry {
                instance,
                zone: row.zone,
                address,
                avoided_until: known.map_or(ClockTime::default(), |peer| peer.avoided_until),
                misses: known.map_or(0, |peer| peer.misses),
            });
        }
        peers.sort_by(|one, other| one.instance.cmp(&other.instance));
        let mut fleet: Vec<FleetMember> = peers
            .iter()
            .map(|peer| FleetMember {
                instance: peer.instance.clone(),
                zone: peer.zone.clone(),
            })
            .collect();
        fleet.push(FleetMember {
            instance: self.instance.clone(),
            zone: self.zone.clone(),
        });
        self.book.borrow_mut().set_fleet(fleet);
        self.budget_bell.notify(usize::MAX);
        *known = peers;
    }

    /// The zone of another instance.
    pub(super) fn peer_zone(&self, instance: &InstanceId) -> Option<ZoneId> {
        let peers = self.peers.borrow();
        let place = peers.binary_search_by(|peer| peer.instance.cmp(instance));
        Some(peers[place.ok()?].zone.clone())
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
        let now = self.clock.now();
        self.change_peer(instance, |peer| {
            let span = AVOID.as_millis() << peer.misses.min(MAX_DOUBLINGS);
            peer.avoided_until = now + ClockSpan::from_millis(span);
            peer.misses += 1;
        });
    }

    /// An instance answered.
    pub(super) fn reached_peer(&self, instance: &InstanceId) {
        self.change_peer(instance, |peer| peer.misses = 0);
    }

    fn change_peer(&self, instance: &InstanceId, change: impl FnOnce(&mut PeerEntry)) {
        let mut peers = self.peers.borrow_mut();
        if let Ok(place) = peers.binary_search_by(|peer| peer.instance.cmp(instance)) {
            change(&mut peers[place]);
        }
    }
}
