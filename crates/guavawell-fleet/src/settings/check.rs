//! Rules over several keys, or over a key's value.

use std::net::SocketAddr;

use guavawell_core::clock::ClockSpan;

use super::RouterSettings;
use super::network::TlsSettings;
use super::reader::FileReader;
use super::unit::ByteCount;

/// Keys that every file must hold.
const REQUIRED_KEYS: [&str; 2] = ["instance.id", "instance.zone"];

/// Smallest bound on a peer's message: a piece of a ledger has to fit twice.
const MIN_MESSAGE_BYTES: ByteCount = ByteCount::new(1024 * 1024);

/// Shortest retention of claims, in longest requests: each of its 8
/// generations is twice as long as a request may be.
const LEAST_RETENTION: u64 = 16;

/// A carried body has at most this part of a peer's largest message.
const RELAY_PART: u64 = 4;

/// Shortest gossip key that is accepted, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// Adds a finding for each rule that `settings` break.
pub fn check(settings: &RouterSettings, file: &FileReader<'_>) {
    check_required(file);
    check_ports(settings, file);
    check_addresses(settings, file);
    check_peers(settings, file);
    check_gossip(settings, file);
    check_spans(settings, file);
    check_hedge(settings, file);
    check_retention(settings, file);
    check_counts(settings, file);
}

fn check_required(file: &FileReader<'_>) {
    for key in REQUIRED_KEYS {
        if !file.holds(key) {
            file.find(key, "missing; every instance states its own");
        }
    }
}

fn check_ports(settings: &RouterSettings, file: &FileReader<'_>) {
    let callers = &settings.callers;
    check_port(
        "callers",
        callers.listen,
        callers.plain_loopback,
        callers.tls.as_ref(),
        file,
    );
    let operators = &settings.operators;
    check_port(
        "operators",
        operators.listen,
        operators.plain_loopback,
        operators.tls.as_ref(),
        file,
    );
    let peers = &settings.peers;
    check_port(
        "peers",
        peers.listen,
        peers.plain_loopback,
        peers.tls.as_ref(),
        file,
    );
}

fn check_port(
    group: &str,
    listen: SocketAddr,
    plain_loopback: bool,
    tls: Option<&TlsSettings>,
    file: &FileReader<'_>,
) {
    match (plain_loopback, tls) {
        (true, Some(_)) => file.find(
            &format!("{group}.plain_loopback"),
            "excludes `tls`; keep one of the two",
        ),
        (true, None) if !listen.ip().is_loopback() => file.find(
            &format!("{group}.listen"),
            format!("`{listen}` is no loopback address; plain TCP is allowed on loopback only"),
        ),
        (true, None) => (),
        (false, Some(tls)) => check_tls(group, tls, file),
        (false, None) => {
            if !file.holds(&format!("{group}.tls")) {
                file.find(
                    group,
                    "needs `tls`, or `plain_loopback = true` on a loopback address",
                );
            }
        }
    }
}

fn check_tls(group: &str, tls: &TlsSettings, file: &FileReader<'_>) {
    for (name, path) in [("cert", &tls.cert), ("key", &tls.key)] {
        let key = format!("{group}.tls.{name}");
        if path.is_empty() && !file.holds(&key) {
            file.find(&key, "missing; give the path of a PEM file");
        }
    }
}

fn check_addresses(settings: &RouterSettings, file: &FileReader<'_>) {
    let mut taken: Vec<(SocketAddr, &str)> = Vec::new();
    let ports = [
        ("callers.listen", settings.callers.listen),
        ("operators.listen", settings.operators.listen),
        ("peers.listen", settings.peers.listen),
    ];
    for (key, listen) in ports {
        match taken.iter().find(|(address, _)| *address == listen) {
            Some((_, other)) if listen.port() != 0 => {
                file.find(key, format!("`{listen}` is the address of `{other}` too"));
            }
            _ => taken.push((listen, key)),
        }
    }
}

fn check_peers(settings: &RouterSettings, file: &FileReader<'_>) {
    if settings.peers.max_message_bytes < MIN_MESSAGE_BYTES {
        file.find(
            "peers.max_message_bytes",
            format!("must be at least {}", MIN_MESSAGE_BYTES.get()),
        );
    }
    let most = settings.peers.max_message_bytes.get() / RELAY_PART;
    if settings.platform.relay_max_bytes.get() > most {
        file.find(
            "platform.relay_max_bytes",
            format!("must not exceed a quarter of `peers.max_message_bytes`, {most}"),
        );
    }
    let Some(tls) = &settings.peers.tls else {
        return;
    };
    if tls.ca.is_none() && !file.holds("peers.tls.ca") {
        file.find(
            "peers.tls.ca",
            "missing; routers authenticate each other, so name the authority's PEM file",
        );
    }
    if !is_dns_name(settings.instance.id.as_str()) {
        let id = &settings.instance.id;
        file.find(
            "instance.id",
            format!("`{id}` is no DNS name; the certificate for peers names the instance by one"),
        );
    }
}

/// Whether a certificate can name `id` as a DNS name.
fn is_dns_name(id: &str) -> bool {
    rustls_pki_types::DnsName::try_from(id).is_ok()
}

fn check_gossip(settings: &RouterSettings, file: &FileReader<'_>) {
    let gossip = &settings.gossip;
    let given = file.holds("gossip.keys") || file.holds("gossip.key_files");
    if gossip.keys.is_empty() && gossip.key_files.is_empty() {
        let key = if given { "gossip.keys" } else { "gossip" };
        file.find(key, "needs a shared key: `key_files` or `keys`");
    }
    let short = |key: &&super::SecretText| key.expose().len() < MIN_KEY_BYTES;
    if gossip.keys.iter().any(|key| short(&key)) {
        file.find(
            "gossip.keys",
            format!("a key is shorter than {MIN_KEY_BYTES} bytes"),
        );
    }
}

fn check_spans(settings: &RouterSettings, file: &FileReader<'_>) {
    let spans = [
        ("callers.head_timeout_ms", settings.callers.head_timeout_ms),
        ("callers.idle_timeout_ms", settings.callers.idle_timeout_ms),
        (
            "peers.connect_timeout_ms",
            settings.peers.connect_timeout_ms,
        ),
        ("peers.call_timeout_ms", settings.peers.call_timeout_ms),
        ("peers.idle_timeout_ms", settings.peers.idle_timeout_ms),
        ("peers.idle_probe_ms", settings.peers.idle_probe_ms),
        ("peers.probe_interval_ms", settings.peers.probe_interval_ms),
        ("peers.probe_timeout_ms", settings.peers.probe_timeout_ms),
        ("platform.timeout_ms", settings.platform.timeout_ms),
        (
            "platform.segment_wait_ms",
            settings.platform.segment_wait_ms,
        ),
        (
            "slots.witness_timeout_ms",
            settings.slots.witness_timeout_ms,
        ),
        ("slots.takeover_after_ms", settings.slots.takeover_after_ms),
        (
            "slots.settle_interval_ms",
            settings.slots.settle_interval_ms,
        ),
        ("routing.load_poll_ms", settings.routing.load_poll_ms),
        (
            "routing.connect_timeout_ms",
            settings.routing.connect_timeout_ms,
        ),
        ("routing.silent_after_ms", settings.routing.silent_after_ms),
        ("routing.hedge_after_ms", settings.routing.hedge_after_ms),
        ("orders.review_ms", settings.orders.review_ms),
        ("orders.silent_after_ms", settings.orders.silent_after_ms),
        ("orders.take_over_ms", settings.orders.take_over_ms),
        (
            "limits.request_timeout_ms",
            settings.limits.request_timeout_ms,
        ),
    ];
    for (key, span) in spans {
        if span == ClockSpan::default() {
            file.find(key, "may not be 0");
        }
    }
}

fn check_hedge(settings: &RouterSettings, file: &FileReader<'_>) {
    let routing = &settings.routing;
    if routing.hedge && routing.hedge_after_ms >= routing.silent_after_ms {
        file.find(
            "routing.hedge_after_ms",
            format!(
                "must be shorter than `silent_after_ms` ({}), or silence goes first",
                routing.silent_after_ms
            ),
        );
    }
    if routing.hedge && routing.retry_share.per_mille() == 0 {
        file.find(
            "routing.retry_share",
            "may not be 0 with `hedge`, which is paid for as a retry",
        );
    }
}

/// A generation of claims has to be longer than any request.
fn check_retention(settings: &RouterSettings, file: &FileReader<'_>) {
    let claims = settings.retention.claims_ms.as_millis();
    let least = LEAST_RETENTION * settings.limits.request_timeout_ms.as_millis();
    if claims > 0 && claims < least {
        file.find(
            "retention.claims_ms",
            format!(
                "must be 0, which keeps claims for ever, or at least {least}: \
                 {LEAST_RETENTION} times `limits.request_timeout_ms`"
            ),
        );
    }
}

fn check_counts(settings: &RouterSettings, file: &FileReader<'_>) {
    let counts = [
        (
            "routing.subset_servers",
            settings.routing.subset_servers.into(),
        ),
        (
            "callers.max_body_bytes",
            settings.callers.max_body_bytes.get(),
        ),
        (
            "callers.max_body_memory_bytes",
            settings.callers.max_body_memory_bytes.get(),
        ),
        (
            "callers.max_connections",
            settings.callers.max_connections.into(),
        ),
        ("peers.threads", settings.peers.threads.into()),
        ("peers.max_calls", settings.peers.max_calls.into()),
        (
            "peers.max_connections",
            settings.peers.max_connections.into(),
        ),
        (
            "gossip.bytes_per_second",
            settings.gossip.bytes_per_second.get(),
        ),
        (
            "platform.fleet_writes_per_second",
            settings.platform.fleet_writes_per_second.get(),
        ),
        (
            "platform.fleet_reads_per_second",
            settings.platform.fleet_reads_per_second.get(),
        ),
        ("platform.relay_calls", settings.platform.relay_calls.into()),
        ("orders.at_once", settings.orders.at_once.into()),
        ("orders.fleet_loads", settings.orders.fleet_loads.into()),
        (
            "retention.rows_per_second",
            settings.retention.rows_per_second.into(),
        ),
        ("limits.max_running", settings.limits.max_running.into()),
        (
            "limits.max_output_tokens",
            settings.limits.max_output_tokens.get(),
        ),
        ("log.event_queue", settings.log.event_queue.into()),
    ];
    for (key, count) in counts {
        if count == 0 {
            file.find(key, "may not be 0");
        }
    }
    let platform = &settings.platform;
    if platform.segment_most_wait_ms < platform.segment_wait_ms {
        file.find(
            "platform.segment_most_wait_ms",
            "must not be less than `segment_wait_ms`",
        );
    }
    let limits = &settings.limits;
    if limits.default_output_tokens > limits.max_output_tokens {
        file.find(
            "limits.default_output_tokens",
            "must not exceed `max_output_tokens`",
        );
    }
}
