//! Sends suspicions of requests that crash servers directly to other instances.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use guavawell_core::poison::SharedSuspicion;
use guavawell_core::poison::SuspicionList;
use smol::LocalExecutor;

use super::BudgetManager;
use crate::peer::PeerRequest;

/// Timeout of a broadcast to one instance. An instance that misses it reads the
/// suspicions from the store.
const BROADCAST_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of other instances below which every crash is broadcast. In a larger
/// fleet one server crash would cause a thousand messages, and a request's first
/// crash becomes known through the store as fast.
const SMALL_FLEET_PEERS: usize = 16;
/// Consecutive crashes from which a suspicion is broadcast in any fleet.
const URGENT_CRASHES: u8 = 2;

impl BudgetManager {
    /// Broadcasts new suspicions for as long as the process runs.
    pub(super) async fn broadcast_suspects(self: Rc<Self>, executor: &Rc<LocalExecutor<'static>>) {
        loop {
            let mut entries = self.poison.next_broadcast().await;
            if !self.broadcasts_all() {
                entries.retain(|entry| entry.mark.crashes >= URGENT_CRASHES);
            }
            if entries.is_empty() {
                continue;
            }
            for (_, address) in self.peers.addresses() {
                let send = Rc::clone(&self).send_suspects(address, entries.clone());
                executor.spawn(send).detach();
            }
        }
    }

    fn broadcasts_all(&self) -> bool {
        let small_fleet = self.peers.count() < SMALL_FLEET_PEERS;
        small_fleet || self.failing_since.get().is_some()
    }

    async fn send_suspects(self: Rc<Self>, address: SocketAddr, entries: Vec<SharedSuspicion>) {
        let list = SuspicionList {
            written_at: None,
            entries,
        };
        let request = PeerRequest::Suspects(list);
        let sent = self
            .peers
            .send_request(address, &request, BROADCAST_TIMEOUT);
        if let Err(error) = sent.await {
            metrics::counter!("guavawell_forward_suspects_untold_total").increment(1);
            log::debug!("sending suspects to {address} failed: {error}");
        }
    }
}
