//! One request in flight at a backend server.

use std::cell::Cell;
use std::rc::Rc;

use guavawell_core::forward::ServerEntry;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerPick;
use guavawell_core::poison::RequestFingerprint;

use crate::router::ForwardRouter;

/// Counts a request at a server while it runs there.
#[derive(Debug)]
pub struct ServerLease {
    router: Rc<ForwardRouter>,
    server: ServerIncarnation,
    unread: Cell<u64>,
    memory: u64,
    /// The request, if servers have crashed under it.
    suspect: Option<RequestFingerprint>,
}

impl ServerLease {
    /// Counts a request that is about to be sent.
    #[must_use]
    pub fn new(
        router: &Rc<ForwardRouter>,
        pick: &ServerPick,
        memory: u64,
        suspect: Option<RequestFingerprint>,
    ) -> Self {
        let now = router.clock.now();
        if let Some(server) = router.servers.borrow_mut().get_mut(&pick.server) {
            server.begin(now, pick.prefill_tokens, memory);
            server.suspects.extend(suspect);
        }
        Self {
            router: Rc::clone(router),
            server: pick.server.clone(),
            unread: Cell::new(pick.prefill_tokens),
            memory,
            suspect,
        }
    }

    /// The server.
    #[must_use]
    pub const fn server(&self) -> &ServerIncarnation {
        &self.server
    }

    /// Bytes of the server were received.
    pub fn heard(&self) {
        let now = self.router.clock.now();
        self.change(|server| server.health.last_received_at = now);
    }

    /// The server has read the prompt.
    pub fn prompt_read(&self) {
        let unread = self.unread.replace(0);
        self.change(|server| {
            server.load.prefill_tokens = server.load.prefill_tokens.saturating_sub(unread);
        });
    }

    /// Whether the server has said nothing to anyone here for long.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        let now = self.router.clock.now();
        let servers = self.router.servers.borrow();
        servers
            .get(&self.server)
            .is_none_or(|server| server.silent(now))
    }

    /// Waits until a later life of the server is known: no answer will come
    /// from this one.
    pub async fn life_ended(&self) {
        loop {
            let reborn = self.router.reborn.listen();
            if self.is_succeeded() {
                return;
            }
            reborn.await;
        }
    }

    fn is_succeeded(&self) -> bool {
        let servers = self.router.servers.borrow();
        let newest = servers.newest(&self.server.id);
        newest.is_some_and(|entry| entry.incarnation.born > self.server.born)
    }

    /// The outcome, where the server could have served the request.
    pub fn rate(&self, failed: bool) {
        let now = self.router.clock.now();
        self.change(|server| server.rate(now, failed));
    }

    /// Changes what is known of the server, if it is still listed.
    pub fn change(&self, change: impl FnOnce(&mut ServerEntry)) {
        if let Some(server) = self.router.servers.borrow_mut().get_mut(&self.server) {
            change(server);
        }
    }
}

impl Drop for ServerLease {
    fn drop(&mut self) {
        let unread = self.unread.get();
        let memory = self.memory;
        self.change(|server| {
            server.finish(unread, memory);
            let place = server
                .suspects
                .iter()
                .position(|held| Some(*held) == self.suspect);
            place.map(|place| server.suspects.swap_remove(place));
        });
    }
}
