//! Connects to a peer and greets it.

use std::io;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::id::InstanceId;
use smol::Timer;
use smol::future;
use smol::net::TcpStream;

use super::PeerClientSettings;
use super::PeerTarget;
use crate::peer::error::PeerFailure;
use crate::peer::transport::RunningRpc;
use crate::peer::transport::TaskSpawner;
use crate::peer::transport::duration;
use crate::peer::transport::start_rpc;
use crate::peer::wire::WireError;
use crate::peer::wire::read_life;
use crate::peer::wire::write_life;
use crate::peer_capnp::answer_sink;
use crate::peer_capnp::peer;
use crate::peer_capnp::peer_session;
use crate::tls::SecureStream;

/// A greeted peer.
pub struct GreetedPeer {
    /// Its life.
    pub life: InstanceIncarnation,
    /// What calls go to.
    pub session: peer_session::Client,
    /// The connection; dropping it closes it.
    pub rpc: RunningRpc,
}

/// Connects and greets within the settings' time; `sink` takes late replies.
pub async fn connect(
    settings: &PeerClientSettings,
    spawner: &TaskSpawner,
    target: &PeerTarget,
    sink: answer_sink::Client,
) -> Result<GreetedPeer, PeerFailure> {
    let limit = duration(settings.peers.connect_timeout_ms);
    let greeted = async {
        let stream = open_stream(settings, target).await;
        let stream = stream.map_err(|error| PeerFailure::Connect(error.to_string().into()))?;
        greet(settings, spawner, stream, &target.instance, sink).await
    };
    future::or(greeted, timed_out(limit)).await
}

async fn timed_out<T>(limit: Duration) -> Result<T, PeerFailure> {
    Timer::after(limit).await;
    Err(PeerFailure::Connect("no greeting in time".into()))
}

async fn open_stream(
    settings: &PeerClientSettings,
    target: &PeerTarget,
) -> io::Result<SecureStream> {
    let plain = settings.peers.plain_loopback;
    if settings.tls.is_none() && !(plain && target.address.ip().is_loopback()) {
        let message = "plain TCP is allowed on loopback only, and only by `plain_loopback`";
        return Err(io::Error::new(io::ErrorKind::PermissionDenied, message));
    }
    let stream = TcpStream::connect(target.address).await?;
    stream.set_nodelay(true)?;
    match &settings.tls {
        None => Ok(SecureStream::Plain(stream)),
        Some(tls) => {
            let stream = tls.connect(target.instance.as_str(), stream).await?;
            Ok(SecureStream::Tls(Box::new(stream.into())))
        }
    }
}

async fn greet(
    settings: &PeerClientSettings,
    spawner: &TaskSpawner,
    stream: SecureStream,
    instance: &InstanceId,
    sink: answer_sink::Client,
) -> Result<GreetedPeer, PeerFailure> {
    let max_message = settings.peers.max_message_bytes;
    let (rpc, peer): (RunningRpc, peer::Client) =
        start_rpc(spawner, stream, Side::Client, max_message, None);
    let refused = |error: WireError| PeerFailure::Connect(error.to_string().into());
    let greeted = exchange_greetings(settings, &peer, sink);
    let (life, session) = greeted.await.map_err(refused)?;
    if life.instance != *instance {
        return Err(PeerFailure::OtherInstance(life.instance));
    }
    Ok(GreetedPeer { life, session, rpc })
}

async fn exchange_greetings(
    settings: &PeerClientSettings,
    peer: &peer::Client,
    sink: answer_sink::Client,
) -> Result<(InstanceIncarnation, peer_session::Client), WireError> {
    let lamport = settings.log.lamport();
    let mut request = peer.greet_request();
    let mut greeting = request.get().init_greeting();
    write_life(greeting.reborrow().init_life(), &settings.life);
    greeting.set_order(lamport.raise());
    request.get().set_sink(sink);
    let response = request.send().promise.await?;
    let response = response.get()?;
    let greeting = response.get_greeting()?;
    lamport.merge(greeting.get_order());
    Ok((read_life(greeting.get_life()?)?, response.get_session()?))
}
