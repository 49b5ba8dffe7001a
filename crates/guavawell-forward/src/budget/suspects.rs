//! Tells other instances directly which requests crash servers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use guavawell_core::poison::SharedSuspicion;
use guavawell_core::poison::SuspicionList;
use smol::LocalExecutor;

use super::BudgetManager;
use crate::peer::PeerQuestion;

/// Longest wait for another instance to take it in. One that does not reads it
/// from the store.
const BROADCAST_TIMEOUT: Duration = Duration::from_secs(1);
/// Instances up to which every crash is told to all of them. In a larger fleet
/// each server's crash would make a thousand messages, and the store's rows
/// carry first crashes as fast.
const SMALL_FLEET_PEERS: usize = 16;
/// Crashes in a row that are told to all instances of any fleet.
const URGENT_CRASHES: u8 = 2;

impl BudgetManager {
    /// Tells others for as long as the process lives.
    pub(super) async fn broadcast_suspects(self: Rc<Self>, executor: &Rc<LocalExecutor<'static>>) {
        loop {
            let mut entries = self.poison.next_news().await;
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
        let few = self.peers.count() < SMALL_FLEET_PEERS;
        few || self.failing_since.get().is_some()
    }

    async fn send_suspects(self: Rc<Self>, address: SocketAddr, entries: Vec<SharedSuspicion>) {
        let list = SuspicionList {
            told_at: None,
            entries,
        };
        let question = PeerQuestion::Suspects(list);
        let sent = self.peers.ask(address, &question, BROADCAST_TIMEOUT);
        if let Err(error) = sent.await {
            metrics::counter!("guavawell_forward_suspects_untold_total").increment(1);
            log::debug!("{address} was not told of suspects: {error}");
        }
    }
}
