//! What a server says of itself in the head of an answer, whatever request the
//! answer is to.
//!
//! It holds for this life of the server and goes before what the platform lists:
//! the platform hears of it later, or not at all while it is away.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ServerEntry;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::parse_pause;
use guavawell_fleet::event::EventDraft;

use crate::http::ResponseHead;
use crate::router::ForwardRouter;

/// Field that says when to come back.
const RETRY_AFTER: &str = "retry-after";
/// What a server that leaves says.
const LEAVING: &str = "1";

/// Takes in what a server says in the head of an answer.
pub fn take_words(router: &ForwardRouter, server: &ServerIncarnation, head: &ResponseHead) {
    if head.status == 421 {
        // Another server has the address; these are its words.
        return;
    }
    if head
        .fields
        .has_token(router.settings.names.leaving, LEAVING)
    {
        take_leaving(router, server);
    }
    if head.status == 503 {
        take_pause(router, server, head);
    }
}

fn take_leaving(router: &ForwardRouter, server: &ServerIncarnation) {
    let mut servers = router.servers.borrow_mut();
    let fresh = servers
        .get_mut(server)
        .is_some_and(ServerEntry::record_leaving);
    drop(servers);
    if !fresh {
        return;
    }
    router.pool.borrow_mut().forget(server);
    let silent = router.configs.age().unwrap_or_default();
    let draft = EventDraft::new("server.says_leaving")
        .field("server", server)
        .field("platform_silent_ms", silent.as_millis());
    router.log.emit(draft);
}

/// Takes in for how long a server that turned a request away wants no other one;
/// of several times the longest.
fn take_pause(router: &ForwardRouter, server: &ServerIncarnation, head: &ResponseHead) {
    let texts = head.fields.all(RETRY_AFTER);
    let longest = texts
        .map(|text| read_words(router, server, text))
        .max()
        .unwrap_or_default();
    if longest == ClockSpan::ZERO {
        return;
    }
    let now = router.clock.now();
    let mut servers = router.servers.borrow_mut();
    let entry = servers.get_mut(server);
    let fresh = entry.is_some_and(|entry| entry.pause(now, longest));
    drop(servers);
    metrics::counter!("guavawell_forward_server_pauses_total").increment(1);
    if fresh {
        let draft = EventDraft::new("server.pauses")
            .field("server", server)
            .field("for_ms", longest.as_millis());
        router.log.emit(draft);
    }
}

fn read_words(router: &ForwardRouter, server: &ServerIncarnation, text: &[u8]) -> ClockSpan {
    let text = String::from_utf8_lossy(text);
    let (pause, error) = parse_pause(&text);
    if let Some(error) = error {
        let draft = EventDraft::new("server.word_unreadable")
            .field("server", server)
            .field("field", RETRY_AFTER)
            .field("error", error);
        router.log.emit(draft);
    }
    pause
}
