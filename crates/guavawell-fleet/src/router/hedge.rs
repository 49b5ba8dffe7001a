//! A second attempt at another backend server while the first token is late.
//!
//! Both bear the same attempt id and stand under the same reservation, so that
//! one of them at most is charged. The first to give an event wins; the other
//! is cancelled at its server. Only requests that may run twice are hedged.

use std::pin::Pin;
use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use futures::future::Either;
use futures::future::select;
use guavawell_core::backend::HedgeAsk;
use guavawell_core::backend::should_hedge;
use guavawell_core::budget::BackendAssignment;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::AttemptId;
use guavawell_core::id::BackendId;
use smol::Timer;
use smol::future::FutureExt;

use super::attempt::StartResult;
use super::attempt::StartedStream;
use super::attempt::StreamAttempt;
use super::choice::choose;
use super::send::AttemptRun;
use super::send::OpenAttempt;
use crate::clock;
use crate::engine::EngineError;
use crate::engine::EngineRequest;
use crate::event::EventDraft;

/// An attempt that gave its first event, or failed.
pub struct StartedAttempt {
    /// The attempt that goes on: the winner, or the first one.
    pub attempt: StreamAttempt,
    /// Its first event, or why there is none.
    pub result: StartResult,
    /// Whether a second attempt may have run as well, without an event.
    pub other_ran: bool,
    /// Backend servers tried so far.
    pub tried: Vec<BackendId>,
}

/// How a race of two attempts ended.
struct RaceEnd {
    /// Whether the second attempt goes on; the first does if both failed.
    is_second: bool,
    result: StartResult,
    /// How the other one failed; absent while it is under way.
    other: Option<EngineError>,
}

impl RaceEnd {
    fn first(result: StartResult, other: Option<EngineError>) -> Self {
        Self {
            is_second: false,
            result,
            other,
        }
    }

    fn second(started: StartedStream, other: Option<EngineError>) -> Self {
        Self {
            is_second: true,
            result: Ok(started),
            other,
        }
    }
}

/// Sends an attempt and waits for its first event; hedges once if that is late.
pub async fn start_hedged(
    run: AttemptRun<'_>,
    message: &EngineRequest,
    mut open: OpenAttempt,
) -> StartedAttempt {
    let mut tried = std::mem::take(&mut open.tried);
    let attempt = open.attempt;
    let mut first = StreamAttempt::new(run.core, open);
    let mut second = None;
    let end = {
        let sent = Instant::now();
        let mut running = pin!(first.start(message));
        if let Some(result) = within(running.as_mut(), delay(run)).await {
            RaceEnd::first(result, None)
        } else {
            second = open_second(run, attempt, &mut tried, sent.elapsed());
            match &mut second {
                // Boxed, because few requests need the room.
                Some(second) => Box::pin(race(running, second.start(message))).await,
                None => RaceEnd::first(running.await, None),
            }
        }
    };
    let (attempt, other_ran) = match second {
        Some(second) => judge(run, first, second, &end),
        None => (first, false),
    };
    StartedAttempt {
        attempt,
        result: end.result,
        other_ran,
        tried,
    }
}

/// Wait for the first event after which a request is hedged, if it ever is.
fn delay(run: AttemptRun<'_>) -> Option<Duration> {
    let routing = &run.core.settings.routing;
    let may_hedge = routing.hedge && run.call.idempotent;
    may_hedge.then(|| clock::duration(routing.hedge_after_ms))
}

/// The result, if it is there after `limit`; without one, always.
async fn within(
    running: Pin<&mut impl Future<Output = StartResult>>,
    limit: Option<Duration>,
) -> Option<StartResult> {
    let Some(limit) = limit else {
        return Some(running.await);
    };
    let ended = async { Some(running.await) };
    let late = async {
        Timer::after(limit).await;
        None
    };
    ended.or(late).await
}

/// Chooses another backend server and pays for the second attempt.
fn open_second(
    run: AttemptRun<'_>,
    attempt: AttemptId,
    tried: &mut Vec<BackendId>,
    waited: Duration,
) -> Option<StreamAttempt> {
    let core = run.core;
    let lease = choose(core, run.call, tried).ok()?;
    let backend = lease.backend().id().clone();
    let address = core.address_of(&backend)?;
    let ask = HedgeAsk {
        idempotent: run.call.idempotent,
        first_token_seen: false,
        waited: ClockSpan::from_millis(u64::try_from(waited.as_millis()).unwrap_or(u64::MAX)),
        after: core.settings.routing.hedge_after_ms,
        attempts: 1,
    };
    if !should_hedge(&ask, &core.retries) {
        metrics::counter!("guavawell_hedges_unpaid_total").increment(1);
        return None;
    }
    metrics::counter!("guavawell_hedges_total").increment(1);
    let sent = event(run, attempt, "hedge.sent").field("backend", &backend);
    core.events.emit(sent);
    tried.push(backend.clone());
    let open = OpenAttempt {
        attempt,
        lease,
        address,
        backend,
        tried: Vec::new(),
    };
    Some(StreamAttempt::new(core, open))
}

/// Waits for the first event of either; a failure of one leaves the other.
async fn race(
    first: Pin<&mut impl Future<Output = StartResult>>,
    second: impl Future<Output = StartResult>,
) -> RaceEnd {
    let second = pin!(second);
    match select(first, second).await {
        Either::Left((Ok(started), _)) => RaceEnd::first(Ok(started), None),
        Either::Right((Ok(started), _)) => RaceEnd::second(started, None),
        Either::Left((Err(failure), second)) => match second.await {
            Ok(started) => RaceEnd::second(started, Some(failure)),
            Err(other) => RaceEnd::first(Err(failure), Some(other)),
        },
        Either::Right((Err(failure), first)) => RaceEnd::first(first.await, Some(failure)),
    }
}

/// Ends the attempt that lost; gives the other one, and whether the loser may
/// have run.
fn judge(
    run: AttemptRun<'_>,
    first: StreamAttempt,
    second: StreamAttempt,
    end: &RaceEnd,
) -> (StreamAttempt, bool) {
    let (winner, loser) = if end.is_second {
        (second, first)
    } else {
        (first, second)
    };
    let attempt = winner.attempt();
    if end.is_second {
        metrics::counter!("guavawell_hedges_won_total").increment(1);
        // Another try of the id reads along with the attempt that goes on.
        run.core.slots.note_backend(BackendAssignment {
            identity: run.entry.head.identity.clone(),
            attempt,
            backend: winner.backend().clone(),
        });
    }
    let ended = event(run, attempt, "hedge.ended")
        .field("won", end.is_second)
        .field("backend", winner.backend())
        .field("loser", loser.backend());
    run.core.events.emit(ended);
    let failure = end.other.as_ref();
    let other_ran = failure.is_none_or(|failure| !failure.certainly_not_run());
    loser.lose(failure);
    (winner, other_ran)
}

fn event(run: AttemptRun<'_>, attempt: AttemptId, kind: &str) -> EventDraft {
    let identity = &run.entry.head.identity;
    EventDraft::new(kind)
        .organisation(&identity.organisation)
        .request(&identity.request)
        .attempt(attempt)
}
