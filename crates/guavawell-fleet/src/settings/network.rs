//! Settings of the addresses and of who may talk there.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ZoneId;

use super::unit::ByteCount;
use super::unit::ByteRate;
use super::unit::FilePath;
use super::unit::ReadRate;
use super::unit::SecretText;
use super::unit::WriteRate;

const CALLER_PORT: u16 = 8080;
const OPERATOR_PORT: u16 = 8081;
const PEER_PORT: u16 = 8082;
const GOSSIP_PORT: u16 = 8083;
const TABLE_PORT: u16 = 2379;
const OBJECT_PORT: u16 = 9000;
const INSTANCE_PORT: u16 = 8001;

const fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

fn unnamed_instance() -> InstanceId {
    let id: Result<InstanceId, _> = "unnamed".parse();
    id.expect("the text is a valid id")
}

fn unnamed_zone() -> ZoneId {
    let id: Result<ZoneId, _> = "unnamed".parse();
    id.expect("the text is a valid id")
}

settings_group! {
    /// Who this instance is.
    pub struct InstanceSettings {
        /// The instance's id, unique in the fleet; required. The certificate
        /// for peers names it as its DNS name.
        id: InstanceId = unnamed_instance();
        /// The availability zone that the instance stands in; required.
        zone: ZoneId = unnamed_zone();
    }
}

settings_group! {
    /// The certificate and key of a port. The files are read again when they
    /// change.
    pub struct TlsSettings {
        /// PEM file of the certificate chain, the instance's own first.
        cert: FilePath = FilePath::default();
        /// PEM file of the private key.
        key: FilePath = FilePath::default();
        /// PEM file of the authorities that the other side's certificate
        /// must come from. Required for peers; for callers and operators,
        /// setting it demands a client certificate.
        ca: Option<FilePath> = None;
    }
}

settings_group! {
    /// The port that callers reach through the platform's balancer. A request
    /// head of more than 8 KiB is refused; that bound is fixed.
    pub struct CallerSettings {
        /// Address to listen on.
        listen: SocketAddr = loopback(CALLER_PORT);
        /// Serve plain TCP. Only on a loopback address; without it, `tls` is
        /// required.
        plain_loopback: bool = false;
        /// Largest request body, in bytes.
        max_body_bytes: ByteCount = ByteCount::new(4 * 1024 * 1024);
        /// Bytes that the bodies of all requests may take in memory together;
        /// a request whose body does not fit is refused and has not run. A body
        /// that does not state its length takes `max_body_bytes` until it has
        /// arrived.
        max_body_memory_bytes: ByteCount = ByteCount::new(256 * 1024 * 1024);
        /// Most open connections; further ones are closed at once.
        max_connections: u32 = 4096;
        /// Longest time from the first byte of a request head to its end, in
        /// milliseconds.
        head_timeout_ms: ClockSpan = ClockSpan::from_millis(5_000);
        /// Longest time that a connection stays open without a request, in
        /// milliseconds.
        idle_timeout_ms: ClockSpan = ClockSpan::from_millis(60_000);
        /// Certificate and key for callers.
        tls: Option<TlsSettings> = None;
    }
}

settings_group! {
    /// The operators' port: health, readiness, metrics, status.
    pub struct OperatorSettings {
        /// Address to listen on; never the callers' one.
        listen: SocketAddr = loopback(OPERATOR_PORT);
        /// Serve plain TCP. Only on a loopback address; without it, `tls` is
        /// required.
        plain_loopback: bool = false;
        /// Certificate and key for operators.
        tls: Option<TlsSettings> = None;
    }
}

settings_group! {
    /// Calls between routers, by `capnp-rpc`.
    pub struct PeerSettings {
        /// Address to listen on, and the one that other routers reach.
        listen: SocketAddr = loopback(PEER_PORT);
        /// Speak plain TCP, both ways. Only on a loopback address; without
        /// it, `tls` with `ca` is required.
        plain_loopback: bool = false;
        /// Threads that serve and make calls.
        threads: u32 = 1;
        /// Longest time to connect and greet, in milliseconds.
        connect_timeout_ms: ClockSpan = ClockSpan::from_millis(1_000);
        /// Longest time for one call, in milliseconds.
        call_timeout_ms: ClockSpan = ClockSpan::from_millis(2_000);
        /// Quiet time on a connection with calls under way before it is
        /// probed, in milliseconds.
        probe_interval_ms: ClockSpan = ClockSpan::from_millis(500);
        /// Quiet time on a connection without calls before it is probed, in
        /// milliseconds.
        idle_probe_ms: ClockSpan = ClockSpan::from_millis(15_000);
        /// Longest time for a probe's answer, in milliseconds; then the
        /// connection is replaced.
        probe_timeout_ms: ClockSpan = ClockSpan::from_millis(500);
        /// Time without a call after which a connection is closed, in
        /// milliseconds.
        idle_timeout_ms: ClockSpan = ClockSpan::from_millis(60_000);
        /// Largest message read, in bytes; a larger one ends its connection.
        /// Messages sent stay under half of it. At least 1 MiB.
        max_message_bytes: ByteCount = ByteCount::new(4 * 1024 * 1024);
        /// Most calls that wait or run towards one peer; further ones fail
        /// at once as not sent.
        max_calls: u32 = 16_384;
        /// Most connections accepted from peers.
        max_connections: u32 = 1_024;
        /// Certificate, key and authority for peers, both ways.
        tls: Option<TlsSettings> = None;
    }
}

settings_group! {
    /// Membership among routers, over UDP.
    pub struct GossipSettings {
        /// Address to listen on, and the one that other routers reach.
        listen: SocketAddr = loopback(GOSSIP_PORT);
        /// Files with a shared key each, read again when they change. The first
        /// signs; all are accepted, so that a key is replaced without a gap.
        key_files: Vec<FilePath> = Vec::new();
        /// Shared keys as text, used as `key_files` are and after them.
        keys: Vec<SecretText> = Vec::new();
        /// Most bytes sent a second, whatever the fleet's size. About as many
        /// come in, so that both together stay under 24 KB.
        bytes_per_second: ByteRate = ByteRate::new(10_000);
        /// Gossip addresses to begin with, beside the platform's list.
        seeds: Vec<SocketAddr> = Vec::new();
    }
}

settings_group! {
    /// The platform's table service, object store and instance list.
    pub struct PlatformSettings {
        /// Address of the table service.
        table: SocketAddr = loopback(TABLE_PORT);
        /// Address of the object store.
        objects: SocketAddr = loopback(OBJECT_PORT);
        /// Bucket of the object store.
        bucket: Box<str> = "guavawell".into();
        /// Address of the instance list.
        instances: SocketAddr = loopback(INSTANCE_PORT);
        /// Namespace of the instance list.
        namespace: Box<str> = "guavawell".into();
        /// What all routers together may write, in writes a second. Each
        /// router's share follows the number of routers and their demand.
        /// Money goes before claims, claims before billing records, those
        /// before the rest. A write that would wait longer than `timeout_ms`
        /// is not sent. The same at every router.
        fleet_writes_per_second: WriteRate = WriteRate::new(400);
        /// What all routers together may read, in reads a second, shared in
        /// the same way. Rows go before lists, lists before objects.
        fleet_reads_per_second: ReadRate = ReadRate::new(1_600);
        /// Least time that a segment of billing records stays open, in
        /// milliseconds. It stays open longer where the share of writes is
        /// small, so that segments take an eighth of it at most.
        segment_wait_ms: ClockSpan = ClockSpan::from_millis(5_000);
        /// Longest time that a segment of billing records stays open, in
        /// milliseconds, however small the share.
        segment_most_wait_ms: ClockSpan = ClockSpan::from_millis(30_000);
        /// Longest time for one call to the platform, in milliseconds.
        timeout_ms: ClockSpan = ClockSpan::from_millis(2_000);
        /// While this router's own link to the table or the object store is
        /// out, let other routers carry its exchanges; and carry theirs.
        relay: bool = true;
        /// Most exchanges carried for other routers at a time; further ones
        /// are refused at once. Their writes count against this router's
        /// share.
        relay_calls: u32 = 64;
        /// Largest body of an exchange, or of its answer, that is carried, in
        /// bytes. At most a quarter of `peers.max_message_bytes`.
        relay_max_bytes: ByteCount = ByteCount::new(256 * 1024);
    }
}
