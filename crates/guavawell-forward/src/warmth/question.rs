//! One question to a server, and what its answer says.

use std::rc::Rc;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ServerIncarnation;
use guavawell_fleet::event::EventDraft;
use thiserror::Error;

use super::QueryTarget;
use super::known_revision;
use super::report::HeardAnswer;
use crate::http::ChannelError;
use crate::http::HeadWriter;
use crate::http::HttpChannel;
use crate::http::ResponseHead;
use crate::http::within;
use crate::peer::ServerAnswer;
use crate::router::ForwardRouter;
use crate::server_status::read_cold_span;

/// Time for the answer of a server. One that runs as many requests as it can answers
/// once a slot is free.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest body of an answer, in bytes.
const MAX_ANSWER_BODY: usize = 16 * 1024;

/// Why a server did not say whether it is cold.
#[derive(Debug, Error)]
enum WarmthError {
    /// The connection failed, or the response is malformed.
    #[error(transparent)]
    Channel(#[from] ChannelError),
    /// The server is not healthy, or cannot answer now.
    #[error("the server answered with status {0}")]
    Status(u16),
    /// Another server has the address.
    #[error("another server answered")]
    OtherServer,
}

/// Asks a server and applies its answer.
pub(super) async fn ask_server(router: Rc<ForwardRouter>, target: QueryTarget, path: Box<str>) {
    metrics::counter!("guavawell_forward_warmth_questions_total").increment(1);
    let revision = known_revision(&router);
    let answer = within(ANSWER_TIMEOUT, query_health(&router, &target, &path)).await;
    router.warmth_queries.release(&target.server);
    match answer {
        Ok(head) => match read_answer(&router, &target, &head) {
            Ok(cold) => apply_answer(&router, &target.server, cold, revision),
            Err(error) => log_unanswered(&router, &target.server, &error),
        },
        Err(error) => log_unanswered(&router, &target.server, &error.into()),
    }
}

/// Sends a question for a server's health, over an idle connection if there is one.
async fn query_health(
    router: &ForwardRouter,
    target: &QueryTarget,
    path: &str,
) -> Result<ResponseHead, ChannelError> {
    let names = &router.settings.names;
    let max_idle = router.settings.times.idle_once;
    let now = router.clock.now();
    let idle = router.pool.borrow_mut().take(&target.server, now, max_idle);
    let mut channel = match idle {
        Some(channel) => channel,
        None => open_connection(target).await?,
    };
    let mut request = HeadWriter::request("GET", path);
    request.field_of("Host", target.address);
    request.field_of(names.expected_server, &target.server.id);
    channel.send(&request.finish()).await?;
    // A response with a request's id answers another request.
    let is_own = |head: &ResponseHead| head.fields.get(names.request).is_none();
    let head = channel.response_head(false, is_own).await?;
    channel.body(head.framing, MAX_ANSWER_BODY).await?;
    // A second answer may arrive late. It names no request, so a request on this connection
    // would take it for its own.
    drop(channel);
    Ok(head)
}

async fn open_connection(target: &QueryTarget) -> Result<HttpChannel, ChannelError> {
    metrics::counter!("guavawell_forward_connections_total").increment(1);
    HttpChannel::connect(target.address, ANSWER_TIMEOUT).await
}

/// How much longer a server is cold by its answer. A healthy server that states no
/// cold time is warm.
fn read_answer(
    router: &ForwardRouter,
    target: &QueryTarget,
    head: &ResponseHead,
) -> Result<ClockSpan, WarmthError> {
    let names = &router.settings.names;
    if head.status != 200 {
        return Err(WarmthError::Status(head.status));
    }
    if head.fields.get(names.server_id) != Some(target.server.id.as_str()) {
        return Err(WarmthError::OtherServer);
    }
    let stated = head.fields.get(names.cold);
    let cold = stated.map(|text| read_cold_span(router, &target.server, text));
    Ok(cold.unwrap_or_default())
}

/// Applies what a server answered, and keeps it for the other instances.
fn apply_answer(
    router: &ForwardRouter,
    server: &ServerIncarnation,
    cold: ClockSpan,
    revision: u64,
) {
    let now = router.clock.now();
    if let Some(entry) = router.servers.borrow_mut().get_mut(server) {
        entry.warmth.state(now, cold, revision);
    }
    let answer = ServerAnswer {
        server: server.clone(),
        cold,
    };
    let heard = HeardAnswer { answer, revision };
    router.warmth_queries.heard.borrow_mut().push(heard);
    router.zone_history.server_heard();
    let draft = EventDraft::new("server.warmth_stated")
        .field("server", server)
        .field("cold_ms", cold.as_millis())
        .field("asked_after", revision);
    router.log.emit(draft);
}

fn log_unanswered(router: &ForwardRouter, server: &ServerIncarnation, error: &WarmthError) {
    metrics::counter!("guavawell_forward_warmth_unanswered_total").increment(1);
    let draft = EventDraft::new("server.warmth_unknown")
        .field("server", server)
        .field("error", error);
    router.log.emit(draft);
}
