//! The other instances of the fleet: how many there are, in which zones, and
//! where they answer questions for tokens. Each writes its row once in a boot.

use std::net::SocketAddr;
use std::rc::Rc;

use guavawell_core::grant::FleetMember;
use guavawell_core::grant::decode_row;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ZoneId;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;

use super::BudgetManager;
use super::FIRST_PEER_REFRESH_DELAY;
use super::PEER_PART;
use super::PEER_REFRESH_INTERVAL;
use super::PEER_TABLE;
use super::calls::encode;
use super::retry_delay;
use crate::peer::PeerSeat;
use crate::store::KeyedRows;
use crate::store::RowKey;
use crate::store::WriteAnswer;

/// An instance's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PeerRow {
    /// Where it answers other instances; `None` if it does not.
    pub(super) address: Option<SocketAddr>,
    /// Its availability zone.
    pub(super) zone: ZoneId,
}

impl BudgetManager {
    /// Looks at the fleet for as long as the process lives.
    pub(super) async fn maintain_peers(self: Rc<Self>) {
        // A fleet that starts as a whole is complete after a moment.
        Timer::after(FIRST_PEER_REFRESH_DELAY).await;
        loop {
            self.read_peers().await;
            Timer::after(PEER_REFRESH_INTERVAL).await;
        }
    }

    /// Writes the own row, however long it takes.
    pub(super) async fn register(&self) {
        self.write_own_row(self.peers.own_address()).await;
    }

    /// Tells the others that this process leaves: it is not to be asked for
    /// tokens any more.
    pub async fn deregister(&self) {
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
                    Timer::after(retry_delay()).await;
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
                self.apply_peers(&rows);
                true
            }
            Err(fault) => {
                self.record_fault("peers", &fault);
                false
            }
        }
    }

    fn apply_peers(&self, rows: &KeyedRows) {
        let mut seats = Vec::with_capacity(rows.len());
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
            let zone = row.zone;
            let member = FleetMember { instance, zone };
            seats.push(PeerSeat { member, address });
        }
        let mut fleet: Vec<FleetMember> = seats.iter().map(|seat| seat.member.clone()).collect();
        fleet.push(FleetMember {
            instance: self.instance.clone(),
            zone: self.zone.clone(),
        });
        self.peers.set_seats(seats);
        self.book.borrow_mut().set_fleet(fleet);
        self.budget_wakeup.notify(usize::MAX);
    }
}
