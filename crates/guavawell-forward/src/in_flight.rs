//! Tracks one request in flight at a backend server.

use std::cell::Cell;
use std::rc::Rc;

use guavawell_core::clock::ClockTime;
use guavawell_core::forward::CutCause;
use guavawell_core::forward::ServerEntry;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerPick;
use guavawell_core::poison::RequestFingerprint;
use guavawell_fleet::event::EventDraft;

use crate::attempt::AttemptInfo;
use crate::http::ChannelError;
use crate::router::ForwardRouter;

/// Counts a request in its server's load until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    router: Rc<ForwardRouter>,
    server: ServerIncarnation,
    prefill_tokens: Cell<u64>,
    memory_tokens: u64,
    /// The request's fingerprint, if servers have crashed while running it.
    suspect: Option<RequestFingerprint>,
    /// Whether the request is late at another server and counts as one to be taken over.
    is_taken_over: Cell<bool>,
}

impl InFlightGuard {
    /// Counts a request that is about to be sent to the picked server.
    #[must_use]
    pub fn new(
        router: &Rc<ForwardRouter>,
        pick: &ServerPick,
        memory_tokens: u64,
        suspect: Option<RequestFingerprint>,
    ) -> Self {
        let now = router.clock.now();
        if let Some(server) = router.servers.borrow_mut().get_mut(&pick.server) {
            server.begin(now, pick.prefill_tokens, memory_tokens);
            server.suspects.extend(suspect);
            if pick.risky {
                server.fragility.note_risk(now);
                metrics::counter!("guavawell_forward_risky_sends_total").increment(1);
            }
        }
        Self {
            router: Rc::clone(router),
            server: pick.server.clone(),
            prefill_tokens: Cell::new(pick.prefill_tokens),
            memory_tokens,
            suspect,
            is_taken_over: Cell::new(false),
        }
    }

    /// Records why a response is no complete one, if more is known than that its
    /// connection ended or failed.
    pub fn note_broken(&self, info: &AttemptInfo, error: &ChannelError) {
        match error {
            ChannelError::Cut(cause) => self.note_cut(info, *cause),
            error if error.is_malformed() => self.note_malformed(info, error),
            _ => {}
        }
    }

    /// Records that a response is cut although its connection ended in the ordinary way.
    fn note_cut(&self, info: &AttemptInfo, cause: CutCause) {
        let cause = cause.as_str();
        metrics::counter!("guavawell_forward_responses_cut_total", "cause" => cause).increment(1);
        let draft = EventDraft::new("response.cut").field("cause", cause);
        self.emit_broken(info, draft);
    }

    /// Records that what a server sent is no response of the protocol.
    fn note_malformed(&self, info: &AttemptInfo, error: &ChannelError) {
        metrics::counter!("guavawell_forward_responses_malformed_total").increment(1);
        let draft = EventDraft::new("response.malformed").field("error", error);
        self.emit_broken(info, draft);
    }

    fn emit_broken(&self, info: &AttemptInfo, draft: EventDraft) {
        let mut draft = draft.field("server", &self.server);
        draft.request = info.request.parse().ok();
        if let Some(carrier) = &info.carrier {
            draft = draft.field("carrier", carrier);
        }
        self.router.log.emit(draft);
    }

    /// Counts the request as one that is late at another server, until something of it was
    /// brought or it ends.
    pub fn begin_taking_over(&self) {
        self.is_taken_over.set(true);
        self.change(|server| server.load.taken_over += 1);
    }

    /// Ends [`begin_taking_over`](Self::begin_taking_over).
    pub fn end_taking_over(&self) {
        if self.is_taken_over.replace(false) {
            self.change(|server| {
                server.load.taken_over = server.load.taken_over.saturating_sub(1);
            });
        }
    }

    /// The server that runs the request.
    #[must_use]
    pub const fn server(&self) -> &ServerIncarnation {
        &self.server
    }

    /// Records that an attempt brought bytes of the server.
    pub fn note_received(&self, info: &AttemptInfo) {
        let now = self.router.clock.now();
        info.heard_at.set(Some(now));
        self.change(|server| server.record_received(now));
    }

    /// Records that the server has processed the prompt.
    pub fn note_prompt_processed(&self) {
        let prefill_tokens = self.prefill_tokens.replace(0);
        self.change(|server| {
            server.load.prefill_tokens = server.load.prefill_tokens.saturating_sub(prefill_tokens);
        });
    }

    /// Waits until the server is known to have restarted: the process that
    /// received the request will not respond.
    pub async fn server_restarted(&self) {
        loop {
            let restart_event = self.router.restart_event.listen();
            if self.has_restarted() {
                return;
            }
            restart_event.await;
        }
    }

    fn has_restarted(&self) -> bool {
        let servers = self.router.servers.borrow();
        let newest = servers.newest(&self.server.id);
        newest.is_some_and(|entry| entry.incarnation.born > self.server.born)
    }

    /// Adds the outcome of the request to the server's failure rate. Called
    /// only if the server could have served the request.
    pub fn note_outcome(&self, failed: bool) {
        let now = self.router.clock.now();
        self.change(|server| server.rate(now, failed));
    }

    /// Updates the entry of the server, if it is still listed.
    pub fn change(&self, change: impl FnOnce(&mut ServerEntry)) {
        if let Some(server) = self.router.servers.borrow_mut().get_mut(&self.server) {
            change(server);
        }
    }
}

/// Closes the idle connections to a server that has sent nothing since `began`, although
/// requests waited for it: they may be dead too. A new one shows whether it is in reach.
pub fn drop_silent_connections(
    router: &ForwardRouter,
    server: &ServerIncarnation,
    began: ClockTime,
) {
    let servers = router.servers.borrow();
    let entry = servers.get(server);
    let is_silent = entry.is_some_and(|entry| entry.health.last_received_at <= began);
    drop(servers);
    if is_silent {
        router.pool.borrow_mut().drop_connections(server);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.end_taking_over();
        let prefill_tokens = self.prefill_tokens.get();
        let memory_tokens = self.memory_tokens;
        self.change(|server| {
            server.finish(prefill_tokens, memory_tokens);
            let index = server
                .suspects
                .iter()
                .position(|suspect| Some(*suspect) == self.suspect);
            index.map(|index| server.suspects.swap_remove(index));
        });
    }
}
