//! The table of the fleet's instances, with their zones and peer addresses. Each
//! instance writes its own row at start and when it leaves.

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
use crate::peer::PeerEndpoint;
use crate::store::KeyedRows;
use crate::store::RowKey;
use crate::store::WriteAnswer;

/// An instance's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PeerRow {
    /// Address for other instances' requests; `None` if it takes none.
    pub(super) address: Option<SocketAddr>,
    /// Availability zone of the instance.
    pub(super) zone: ZoneId,
}

impl BudgetManager {
    /// Reads the table again and again, for as long as the process runs.
    pub(super) async fn maintain_peers(self: Rc<Self>) {
        // Instances that start at the same time have registered by then.
        Timer::after(FIRST_PEER_REFRESH_DELAY).await;
        loop {
            self.read_peers().await;
            Timer::after(PEER_REFRESH_INTERVAL).await;
        }
    }

    /// Registers this instance in the table; retries until it succeeds.
    pub(super) async fn register(&self) {
        self.write_own_row(self.peers.own_address()).await;
    }

    /// Removes the address from this instance's row, so that others stop asking it
    /// for tokens: the process is leaving.
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

    /// Reads the table; false if the store failed.
    pub(super) async fn read_peers(&self) -> bool {
        match (self.store.table)(PEER_TABLE).await {
            Ok(rows) => {
                self.ledger.borrow_mut().set_instances(rows.len());
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
        let mut endpoints = Vec::with_capacity(rows.len());
        for (key, state) in rows {
            let value = state.value.as_deref().unwrap_or_default();
            let row = decode_row::<PeerRow>(value);
            let (Ok(instance), Ok(row)) = (key.parse::<InstanceId>(), row) else {
                log::warn!("cannot decode the row of instance `{key}`");
                continue;
            };
            let Some(address) = row.address.filter(|_| instance != self.instance) else {
                continue;
            };
            let zone = row.zone;
            let member = FleetMember { instance, zone };
            endpoints.push(PeerEndpoint { member, address });
        }
        let mut fleet: Vec<FleetMember> = endpoints
            .iter()
            .map(|endpoint| endpoint.member.clone())
            .collect();
        fleet.push(FleetMember {
            instance: self.instance.clone(),
            zone: self.zone.clone(),
        });
        self.peers.set_endpoints(endpoints);
        self.ledger.borrow_mut().set_fleet(fleet);
        self.budget_wakeup.notify(usize::MAX);
    }
}
