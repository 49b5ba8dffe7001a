//! Instances that may carry connections to servers, and requests to them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ZoneId;

use super::PeerError;
use super::PeerRegistry;
use super::PeerRequest;
use super::message::read_tunnel_answer;
use crate::http::HttpChannel;
use crate::tunnel::TunnelFraming;
use crate::tunnel::TunnelRefusal;

/// An instance that may carry connections to servers.
#[derive(Clone, Debug)]
pub(crate) struct Carrier {
    /// The instance.
    pub(crate) instance: Rc<InstanceId>,
    /// Its availability zone.
    pub(crate) zone: ZoneId,
    /// Its address.
    address: SocketAddr,
    /// Connections of this instance that it carries.
    pub(crate) open_tunnels: usize,
}

impl PeerRegistry {
    /// The instances that may be asked for a connection to a server.
    pub(crate) fn carriers(&self) -> Vec<Carrier> {
        let now = self.clock.now();
        let peers = self.peers.borrow();
        let available = peers.iter().filter(|peer| now >= peer.carrier_paused_until);
        let carriers = available.map(|peer| Carrier {
            instance: Rc::clone(&peer.carrier),
            zone: peer.endpoint.member.zone.clone(),
            address: peer.endpoint.address,
            // Two copies are the registry's own and this one's.
            open_tunnels: Rc::strong_count(&peer.carrier).saturating_sub(2),
        });
        carriers.collect()
    }

    /// Asks an instance for no connection to a server for a while.
    pub(crate) fn pause_carrier(&self, instance: &InstanceId, span: ClockSpan) {
        let until = self.clock.now() + span;
        self.update(instance, |peer| peer.carrier_paused_until = until);
    }

    /// Asks an instance for a connection to a server, without a retry. `limit` is the
    /// timeout.
    pub(crate) async fn open_tunnel(
        &self,
        carrier: &Carrier,
        server: &ServerIncarnation,
        limit: Duration,
    ) -> Result<Result<HttpChannel, TunnelRefusal>, PeerError> {
        let key = self.key.get().ok_or(PeerError::NoKey)?;
        let request = PeerRequest::Tunnel(server.clone(), TunnelFraming::Records);
        let version = self.configs.version();
        let exchange = self
            .channels
            .exchange(carrier.address, &request, key, version, limit);
        let (response, channel) = exchange.await?;
        if response.head.status != 200 {
            return Err(PeerError::Unauthenticated(response.head.status));
        }
        match read_tunnel_answer(&response.head)? {
            Some(refusal) => Ok(Err(refusal)),
            None => Ok(Ok(channel.carried_by(Rc::clone(&carrier.instance)))),
        }
    }
}
