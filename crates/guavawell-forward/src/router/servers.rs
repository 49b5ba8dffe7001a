//! The list of backend servers, as the platform's store holds it.

use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ServerEntry;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerPhase;
use guavawell_core::id::BackendId;
use guavawell_fleet::event::EventDraft;

use super::ForwardRouter;
use crate::clock::wait_until;
use crate::clock::wait_while;

impl ForwardRouter {
    /// Adds or updates a server that the platform lists.
    pub fn update_server(&self, mut entry: ServerEntry) {
        entry.warmth = entry.warmth.received(self.clock.now());
        let incarnation = entry.incarnation.clone();
        let phase = entry.phase;
        let (row, stated) = (entry.warmth.listed_revision(), entry.warmth.listed_span());
        let version = entry.version.clone();
        let mut servers = self.servers.borrow_mut();
        let before = servers.get(&incarnation).map(|entry| entry.phase);
        let was_cold = self.cold_left(servers.get(&incarnation));
        let previous = servers.upsert(entry);
        let after = servers.get(&incarnation).map(|entry| entry.phase);
        let cold_left = self.cold_left(servers.get(&incarnation));
        drop(servers);
        if let Some(span) = cold_left.filter(|_| was_cold.is_none()) {
            self.log_cold(&incarnation, "list", span);
        }
        if let Some(previous) = previous {
            self.drop_previous_process(&previous, &incarnation);
        }
        if before != after {
            let draft = server_draft("server.listed", &incarnation, phase)
                .field("row", row)
                .field("stated_cold_ms", stated.as_millis())
                .field("version", version);
            self.log.emit(draft);
        }
    }

    /// Drops the connections to a server's previous process and wakes the
    /// requests that wait for its responses.
    fn drop_previous_process(&self, previous: &ServerIncarnation, incarnation: &ServerIncarnation) {
        self.pool.borrow_mut().drop_connections(previous);
        self.restart_event.notify(usize::MAX);
        let draft = EventDraft::new("server.reborn")
            .field("life", incarnation)
            .field("before", previous);
        self.log.emit(draft);
    }

    /// Removes a server that the platform no longer lists.
    pub fn remove_unlisted_server(&self, id: &BackendId) {
        let now = self.clock.now();
        let lapse = &self.settings.times.lapse;
        let phase = lapse.phase_after_removal(now, self.platform_failed_at.get());
        self.remove_server("server.unlisted", id, phase);
    }

    /// Stops using a server whose entry on the platform cannot be read, whoever
    /// wrote it.
    pub fn mark_server_unreadable(&self, id: &BackendId) {
        self.remove_server("server.distrusted", id, ServerPhase::Unreadable);
    }

    fn remove_server(&self, kind: &str, id: &BackendId, phase: ServerPhase) {
        let mut servers = self.servers.borrow_mut();
        let Some(incarnation) = servers.newest(id).map(|entry| entry.incarnation.clone()) else {
            return;
        };
        servers.remove(&incarnation, phase);
        drop(servers);
        self.log_server(kind, &incarnation, phase);
    }

    /// Replaces the list of servers: those missing from it are removed, and
    /// those with `unreadable` entries are no longer used.
    pub fn replace_server_list(&self, entries: Vec<ServerEntry>, unreadable: &[BackendId]) {
        let readable = entries.iter().map(|entry| &entry.incarnation.id);
        let mut listed: Vec<BackendId> = readable.chain(unreadable).cloned().collect();
        listed.sort();
        let known = self.servers.borrow();
        let ids = known
            .servers()
            .iter()
            .map(|entry| entry.incarnation.id.clone());
        let missing: Vec<BackendId> = ids.filter(|id| listed.binary_search(id).is_err()).collect();
        drop(known);
        self.servers.borrow_mut().note_full_read(self.clock.now());
        for id in missing {
            self.remove_unlisted_server(&id);
        }
        for id in unreadable {
            self.mark_server_unreadable(id);
        }
        for entry in entries {
            self.update_server(entry);
        }
        self.servers_read.set(true);
        self.state_loaded.notify(usize::MAX);
    }

    /// Records that a query for the list of servers, sent at `sent_at`, was
    /// answered as of a revision of the store.
    pub fn servers_checked(&self, sent_at: ClockTime, revision: u64) {
        let is_first = self.server_revision.replace(revision) == 0;
        if is_first && self.servers.borrow().evacuations().revision() == 0 {
            self.zones_unread(0, revision);
        }
        let mut age = self.server_age.get();
        age.confirm(sent_at);
        self.server_age.set(age);
        let refreshed = |due: &ClockTime| *due <= sent_at;
        if self.servers_due.get().as_ref().is_some_and(refreshed) {
            self.servers_due.set(None);
        }
        self.servers_answered.notify(usize::MAX);
    }

    /// Lets the list of servers be queried at once: what it said until now no
    /// longer counts for some servers.
    pub fn refresh_servers(&self) {
        self.servers_due.set(Some(self.clock.boot_now()));
        self.refresh_event.notify(usize::MAX);
    }

    /// Waits until the list of servers is to be queried at once, for `max_wait` at
    /// most.
    pub async fn wait_refresh_due(&self, max_wait: Duration) {
        wait_until(self.refresh_event.listen(), max_wait).await;
    }

    /// Waits for the list of servers if it is to be queried at once, for
    /// `max_wait` at most. Returns whether it came; if not, no further request
    /// waits for it.
    pub async fn await_refresh(&self, max_wait: ClockSpan) -> bool {
        let is_due = || self.servers_due.get().is_some();
        if !is_due() {
            return false;
        }
        let came = wait_while(&self.clock, &self.servers_answered, max_wait, is_due).await;
        self.servers_due.set(None);
        came
    }

    /// Records that a query for the list of servers, sent at `sent_at`, was not
    /// answered in time.
    pub fn servers_unanswered(&self, sent_at: ClockTime) {
        let mut age = self.server_age.get();
        let poll_timeout = self.settings.times.servers.poll_timeout();
        age.unanswered(sent_at, poll_timeout, self.clock.boot_now());
        self.server_age.set(age);
    }

    /// The age from which the list of servers is overdue.
    fn servers_overdue_after(&self) -> ClockSpan {
        let timing = self.settings.times.servers;
        timing.overdue_after(self.budgets.instances())
    }

    /// Whether the list of servers is overdue or to be queried at once.
    #[must_use]
    pub fn servers_overdue(&self) -> bool {
        let age = self.server_age.get().at(self.clock.boot_now());
        self.servers_due.get().is_some()
            || age.is_some_and(|age| age > self.servers_overdue_after())
    }

    /// Whether requests should wait for the overdue list of servers.
    #[must_use]
    pub fn servers_awaited(&self) -> bool {
        let now = self.clock.boot_now();
        let overdue_after = self.servers_overdue_after();
        self.server_age.get().is_awaited(overdue_after, now)
    }

    /// Waits for the overdue list of servers, for `max_wait` at most.
    pub async fn await_servers(&self, max_wait: ClockSpan) {
        let awaited = || self.servers_awaited();
        if !wait_while(&self.clock, &self.servers_answered, max_wait, awaited).await {
            let mut age = self.server_age.get();
            age.wait_timed_out();
            self.server_age.set(age);
        }
    }

    /// How much longer a server is cold; `None` if it is warm or unknown, or its
    /// service has no slow start.
    fn cold_left(&self, entry: Option<&ServerEntry>) -> Option<ClockSpan> {
        let entry = entry?;
        self.cold_span(&entry.service)?;
        let now = self.clock.now();
        let is_cold = entry.warmth.is_cold(now);
        is_cold.then(|| entry.warmth.warm_at().since(now))
    }

    /// Logs that a server was found to be cold, and from which source.
    pub fn log_cold(&self, server: &ServerIncarnation, source: &str, span: ClockSpan) {
        let draft = EventDraft::new("server.cold")
            .field("server", server)
            .field("source", source)
            .field("for_ms", span.as_millis());
        self.log.emit(draft);
    }

    fn log_server(&self, kind: &str, incarnation: &ServerIncarnation, phase: ServerPhase) {
        self.log.emit(server_draft(kind, incarnation, phase));
    }
}

fn server_draft(kind: &str, incarnation: &ServerIncarnation, phase: ServerPhase) -> EventDraft {
    let phase = match phase {
        ServerPhase::Ready => "ready",
        ServerPhase::Leaving => "leaving",
        ServerPhase::Lapsed(_) => "lapsed",
        ServerPhase::Unreadable => "unreadable",
    };
    EventDraft::new(kind)
        .field("server", incarnation)
        .field("phase", phase)
}
