//! Serves requests of other instances: loans, returns, suspects, the configuration,
//! and connections to backend servers.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use smol::Async;
use smol::LocalExecutor;

use super::CONFIG_VERSION_FIELD;
use super::FleetKey;
use super::PeerRequest;
use super::ReceivedRequest;
use super::message::good_count_answer;
use super::message::origin_answer;
use super::message::write_tunnel_answer;
use crate::accept::accept_all;
use crate::clock::timer_span;
use crate::continuation::known_origin;
use crate::http::ChannelError;
use crate::http::HeadWriter;
use crate::http::HttpChannel;
use crate::http::within;
use crate::limit_news::learn_limit;
use crate::poison::parts::learn_crashes;
use crate::poison::parts::told_good_counts;
use crate::router::ForwardRouter;
use crate::schedule::TaskQueues;
use crate::tunnel::CarriedTunnel;
use crate::tunnel::carry;
use crate::tunnel::open_for_peer;
use crate::warmth::learn_warmth;

/// Time after which a connection without a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which a connection without a first request is closed.
const FIRST_TIMEOUT: ClockSpan = ClockSpan::from_millis(3_000);

/// Serves other instances for as long as the process runs.
pub async fn serve_peers(
    router: Rc<ForwardRouter>,
    listener: Async<TcpListener>,
    queues: TaskQueues,
) {
    let serve = |channel: HttpChannel| {
        let Some(entry) = router.strangers.add(&channel.stream(), FIRST_TIMEOUT) else {
            return;
        };
        let channel = channel.counted_by(&router.link.instances);
        let router = Rc::clone(&router);
        let owner = queues.clone();
        let connection = async move {
            let first = receive_authenticated(&router, channel, timer_span(FIRST_TIMEOUT));
            match first.await {
                Ok(connection) => {
                    drop(entry);
                    let control = Rc::clone(&owner.control);
                    let serve = serve_instance(router, connection, owner.requests);
                    control.spawn(serve).detach();
                }
                Err(error) => log::debug!("connection to the port of instances ended: {error}"),
            }
        };
        // Until it has proved that it is one, an instance does not delay control tasks.
        queues.probes.spawn(connection).detach();
    };
    accept_all("instance", &listener, router.strangers.accept_turn(), serve).await;
}

/// A connection of another instance, and its next request.
struct InstanceConnection {
    channel: HttpChannel,
    key: FleetKey,
    nonce: u64,
    request: ReceivedRequest,
}

/// Receives a request and checks its proof. A client without one is rejected, and its
/// connection dropped.
async fn receive_authenticated(
    router: &ForwardRouter,
    mut channel: HttpChannel,
    limit: Duration,
) -> Result<InstanceConnection, ChannelError> {
    let request = within(limit, ReceivedRequest::read(&mut channel)).await?;
    let Some(key) = router.peers.key() else {
        // A process that has just started may be called before it has read
        // the key.
        return reject(&channel, 503, "Service Unavailable").await;
    };
    let Some(nonce) = request.authenticated_nonce(key) else {
        metrics::counter!("guavawell_forward_strangers_total").increment(1);
        return reject(&channel, 403, "Forbidden").await;
    };
    Ok(InstanceConnection {
        channel,
        key,
        nonce,
        request,
    })
}

/// Serves requests of another instance until the connection ends. One that becomes a tunnel
/// to a server is carried in the queue of requests: its bytes are those of callers' requests,
/// so they do not delay other control tasks.
async fn serve_instance(
    router: Rc<ForwardRouter>,
    connection: InstanceConnection,
    requests: Rc<LocalExecutor<'static>>,
) {
    match serve_until_tunnel(&router, connection).await {
        Ok(tunnel) => requests.spawn(carry(router, tunnel)).detach(),
        Err(error) => log::debug!("connection from another instance ended: {error}"),
    }
}

/// Serves requests until the connection becomes a tunnel to a server.
async fn serve_until_tunnel(
    router: &Rc<ForwardRouter>,
    mut connection: InstanceConnection,
) -> Result<CarriedTunnel, ChannelError> {
    loop {
        let channel = match answer(router, connection).await? {
            Answered::Next(channel) => channel,
            Answered::Tunnel(tunnel) => return Ok(tunnel),
        };
        connection = receive_authenticated(router, channel, IDLE_TIMEOUT).await?;
    }
}

/// What a connection is after a request.
enum Answered {
    /// The instance may send the next request.
    Next(HttpChannel),
    /// It carries a connection to a server.
    Tunnel(CarriedTunnel),
}

/// Answers a request of another instance.
async fn answer(
    router: &Rc<ForwardRouter>,
    connection: InstanceConnection,
) -> Result<Answered, ChannelError> {
    let InstanceConnection {
        channel,
        key,
        nonce,
        request: received,
    } = connection;
    let budgets = &router.budgets;
    let peers = &router.peers;
    let head = &received.head;
    peers.receive_version(head.fields.get(CONFIG_VERSION_FIELD));
    let request = PeerRequest::parse(head.path(), &received.body, &router.settings.instance);
    let status = request
        .as_ref()
        .map_or((400, "Bad Request"), |_| (200, "OK"));
    let mut writer = HeadWriter::response(status.0, status.1);
    peers.write_version(&mut writer);
    let mut body = Vec::new();
    let mut server = None;
    match request {
        Some(PeerRequest::Loan(organisation, loan)) => {
            let answer =
                budgets.answer_loan(&channel, &organisation, loan, &head.host, &mut writer);
            answer.await?;
        }
        Some(PeerRequest::Return(loan_return)) => budgets.receive_return(&loan_return),
        Some(PeerRequest::Suspects(list)) => router.poison.learn(&list, &"another"),
        Some(PeerRequest::Config(known)) => {
            body = peers.answer_config(known, &mut writer);
        }
        Some(PeerRequest::Limit(report)) => learn_limit(router, &report),
        Some(PeerRequest::Warmth(report)) => learn_warmth(router, &report),
        Some(PeerRequest::Origins(origins)) => {
            router.origins.learn(&origins, router.clock.now());
        }
        Some(PeerRequest::PartCrashes(crashes)) => learn_crashes(router, &crashes),
        Some(PeerRequest::PartGood(parts)) => {
            body = good_count_answer(&told_good_counts(router, &parts));
        }
        Some(PeerRequest::Origin(question)) => {
            let origin = known_origin(router, question);
            body = origin_answer(origin.as_ref());
        }
        Some(PeerRequest::Tunnel(incarnation, framing)) => {
            let opened = open_for_peer(router, &incarnation).await;
            write_tunnel_answer(&mut writer, opened.as_ref().err().copied());
            server = opened.ok().map(|server| (incarnation, framing, server));
        }
        None => {}
    }
    writer.field_of("Content-Length", body.len());
    channel.send(&key.seal(writer, nonce, &body)).await?;
    Ok(match server {
        Some((incarnation, framing, server)) => Answered::Tunnel(CarriedTunnel {
            incarnation,
            framing,
            peer: channel,
            server,
        }),
        None => Answered::Next(channel),
    })
}

/// Rejects a request; the caller then drops the connection.
async fn reject<T>(channel: &HttpChannel, status: u16, reason: &str) -> Result<T, ChannelError> {
    let mut writer = HeadWriter::response(status, reason);
    writer.field_of("Connection", "close");
    writer.field_of("Content-Length", 0);
    channel.send(&writer.finish()).await?;
    Err(ChannelError::Closed)
}
