//! Idle connections to backend servers.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ServerLife;

use crate::http::FieldList;
use crate::http::HttpChannel;

/// Most idle connections that are kept to one server.
const MAX_IDLE: usize = 48;
/// Part of the idle time named by a server that is made use of, in percent:
/// it may close earlier than it says.
const KEEP_ALIVE_PERCENT: u64 = 60;

#[derive(Debug)]
struct IdleChannel {
    channel: HttpChannel,
    since: ClockTime,
    until: ClockTime,
}

/// Idle connections, by life of a server.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    /// Sorted by life; the newest connection last.
    servers: Vec<(ServerLife, Vec<IdleChannel>)>,
}

impl ConnectionPool {
    /// Takes a connection that was idle for `max_idle` at most.
    pub fn take(
        &mut self,
        server: &ServerLife,
        now: ClockTime,
        max_idle: ClockSpan,
    ) -> Option<HttpChannel> {
        let index = self.servers.binary_search_by(|(id, _)| id.cmp(server));
        let idle = &mut self.servers[index.ok()?].1;
        while let Some(entry) = idle.pop() {
            if now.since(entry.since) > max_idle {
                idle.push(entry);
                return None;
            }
            if now < entry.until && entry.channel.is_quiet() {
                return Some(entry.channel);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was whole.
    pub fn put(
        &mut self,
        server: &ServerLife,
        channel: HttpChannel,
        now: ClockTime,
        keep: ClockSpan,
    ) {
        let index = match self.servers.binary_search_by(|(id, _)| id.cmp(server)) {
            Ok(index) => index,
            Err(index) => {
                self.servers.insert(index, (server.clone(), Vec::new()));
                index
            }
        };
        let idle = &mut self.servers[index].1;
        if idle.len() < MAX_IDLE {
            idle.push(IdleChannel {
                channel,
                since: now,
                until: now + keep,
            });
        }
    }

    /// Drops all connections to a server.
    pub fn drop_connections(&mut self, server: &ServerLife) {
        if let Ok(index) = self.servers.binary_search_by(|(id, _)| id.cmp(server)) {
            self.servers.remove(index);
        }
    }

    /// Drops connections whose time is over, so that neither end holds them
    /// for nothing.
    pub fn sweep(&mut self, now: ClockTime) {
        for (_, idle) in &mut self.servers {
            idle.retain(|entry| now < entry.until);
        }
        self.servers.retain(|(_, idle)| !idle.is_empty());
    }
}

/// How long a connection may stay idle by its server's word.
#[must_use]
pub fn keep_alive_span(fields: &FieldList, default: ClockSpan) -> ClockSpan {
    let timeout = fields.get("keep-alive").and_then(|value| {
        let mut parts = value.split(',').map(str::trim);
        let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
        seconds.parse::<u64>().ok()
    });
    timeout.map_or(default, |seconds| {
        ClockSpan::from_millis(seconds * 1_000 * KEEP_ALIVE_PERCENT / 100)
    })
}
