//! Idle connections to backend servers.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ServerIncarnation;

use crate::http::FieldList;
use crate::http::HttpChannel;
use crate::tunnel::MAX_TUNNEL_IDLE;

/// Maximum number of idle connections per server.
const MAX_IDLE: usize = 48;
/// Percentage of the server's keep-alive timeout that is used, as the server
/// may close the connection earlier than it announces.
const KEEP_ALIVE_PERCENT: u64 = 60;

#[derive(Debug)]
struct IdleChannel {
    channel: HttpChannel,
    since: ClockTime,
    until: ClockTime,
}

/// Idle connections of each server.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    /// Sorted by server; the connections of each are ordered from oldest to
    /// newest.
    servers: Vec<(ServerIncarnation, Vec<IdleChannel>)>,
}

impl ConnectionPool {
    /// Removes and returns an open connection that has been idle for `max_idle`
    /// at most.
    pub fn take(
        &mut self,
        server: &ServerIncarnation,
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
                return Some(entry.channel.used_after(now.since(entry.since)));
            }
        }
        None
    }

    /// Adds a connection after a complete response. It may stay idle for
    /// `max_idle`.
    pub fn put(
        &mut self,
        server: &ServerIncarnation,
        channel: HttpChannel,
        now: ClockTime,
        max_idle: ClockSpan,
    ) {
        let index = match self.servers.binary_search_by(|(id, _)| id.cmp(server)) {
            Ok(index) => index,
            Err(index) => {
                self.servers.insert(index, (server.clone(), Vec::new()));
                index
            }
        };
        let max_idle = match channel.carrier() {
            Some(_) => max_idle.min(MAX_TUNNEL_IDLE),
            None => max_idle,
        };
        let idle = &mut self.servers[index].1;
        if idle.len() < MAX_IDLE {
            idle.push(IdleChannel {
                channel,
                since: now,
                until: now + max_idle,
            });
        }
    }

    /// Closes all idle connections to a server.
    pub fn drop_connections(&mut self, server: &ServerIncarnation) {
        if let Ok(index) = self.servers.binary_search_by(|(id, _)| id.cmp(server)) {
            self.servers.remove(index);
        }
    }

    /// Closes the idle connections for which `is_wanted` does not hold.
    pub fn retain(&mut self, is_wanted: impl Fn(&ServerIncarnation, &HttpChannel) -> bool) {
        for (server, idle) in &mut self.servers {
            idle.retain(|entry| is_wanted(server, &entry.channel));
        }
    }

    /// Closes expired connections, to free resources on both sides.
    pub fn sweep(&mut self, now: ClockTime) {
        for (_, idle) in &mut self.servers {
            idle.retain(|entry| now < entry.until);
        }
        self.servers.retain(|(_, idle)| !idle.is_empty());
    }
}

/// How long a connection may stay idle, from the server's `Keep-Alive` header.
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
