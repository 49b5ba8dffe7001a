//! Idle connections, by address, shared by all threads.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use smol::net::TcpStream;

use crate::connection::IdleConnections;

/// Most idle connections kept for one address.
const MAX_IDLE: usize = 256;

#[derive(Debug)]
struct AddressPool {
    address: SocketAddr,
    idle: IdleConnections,
}

/// Idle connections for every address in use.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    addresses: ArcSwap<Vec<Arc<AddressPool>>>,
}

impl ConnectionPool {
    /// An idle connection that is still open, if there is one.
    pub async fn take(&self, address: SocketAddr) -> Option<TcpStream> {
        self.find(address)?.idle.take().await
    }

    /// Gives back a connection whose last exchange ended whole.
    pub fn give_back(&self, address: SocketAddr, stream: TcpStream) {
        let pool = self.find(address).unwrap_or_else(|| self.insert(address));
        pool.idle.give_back(stream);
    }

    /// Drops every idle connection to `address`, after one of them went silent.
    pub fn forget(&self, address: SocketAddr) {
        if let Some(pool) = self.find(address) {
            pool.idle.clear();
        }
    }

    fn find(&self, address: SocketAddr) -> Option<Arc<AddressPool>> {
        let pools = self.addresses.load();
        let index = pools
            .binary_search_by_key(&address, |pool| pool.address)
            .ok()?;
        Some(Arc::clone(&pools[index]))
    }

    fn insert(&self, address: SocketAddr) -> Arc<AddressPool> {
        self.addresses.rcu(|pools| {
            let mut pools = Vec::clone(pools);
            if let Err(index) = pools.binary_search_by_key(&address, |pool| pool.address) {
                let pool = AddressPool {
                    address,
                    idle: IdleConnections::new(MAX_IDLE),
                };
                pools.insert(index, Arc::new(pool));
            }
            pools
        });
        self.find(address).expect("the pool was inserted above")
    }
}
