//! Idle connections to backend servers.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ServerIncarnation;

use crate::http::FieldList;
use crate::http::HttpChannel;

/// Most idle connections that are kept to one server.
const MAX_IDLE: usize = 48;
/// Part of the idle time named by a server that is made use of, in percent:
/// it may close earlier than it says.
const IDLE_PART: u64 = 60;

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
    servers: Vec<(ServerIncarnation, Vec<IdleChannel>)>,
}

impl ConnectionPool {
    /// Takes a connection that was idle for `most_idle` at most.
    pub fn take(
        &mut self,
        server: &ServerIncarnation,
        now: ClockTime,
        most_idle: ClockSpan,
    ) -> Option<HttpChannel> {
        let place = self.servers.binary_search_by(|(id, _)| id.cmp(server));
        let idle = &mut self.servers[place.ok()?].1;
        while let Some(entry) = idle.pop() {
            if now.since(entry.since) > most_idle {
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
        server: &ServerIncarnation,
        channel: HttpChannel,
        now: ClockTime,
        keep: ClockSpan,
    ) {
        let place = match self.servers.binary_search_by(|(id, _)| id.cmp(server)) {
            Ok(place) => place,
            Err(place) => {
                self.servers.insert(place, (server.clone(), Vec::new()));
                place
            }
        };
        let idle = &mut self.servers[place].1;
        if idle.len() < MAX_IDLE {
            idle.push(IdleChannel {
                channel,
                since: now,
                until: now + keep,
            });
        }
    }

    /// Drops all connections to a server.
    pub fn forget(&mut self, server: &ServerIncarnation) {
        if let Ok(place) = self.servers.binary_search_by(|(id, _)| id.cmp(server)) {
            self.servers.remove(place);
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
pub fn keep_span(fields: &FieldList, default: ClockSpan) -> ClockSpan {
    let told = fields.get("keep-alive").and_then(|value| {
        let mut parts = value.split(',').map(str::trim);
        let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
        seconds.parse::<u64>().ok()
    });
    told.map_or(default, |seconds| {
        ClockSpan::from_millis(seconds * 1_000 * IDLE_PART / 100)
    })
}
