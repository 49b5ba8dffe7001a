//! One caller: a request with its tries.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use guavawell_core::id::RequestId;
use http_types::Url;
use smol::Timer;

use crate::client::Exchange;
use crate::client::Outgoing;
use crate::client::chat_body;
use crate::client::exchange;
use crate::history::RefusalOutcome;
use crate::history::RequestHistory;
use crate::history::TryEnd;
use crate::history::TryRecord;
use crate::hooks::AnswerSeen;
use crate::hooks::AnswerVerdict;
use crate::plan::CallKind;
use crate::plan::LoadPlan;
use crate::plan::RequestProfile;
use crate::plan::TargetKind;
use crate::runner::Worker;

/// Letters that fill a prompt up to its size.
const FILLER: &str = "the quick brown fox jumps over the lazy dog ";

/// Bytes of a prompt that count as one token.
const PROMPT_TOKEN_BYTES: usize = 4;

/// One request, drawn from the mix.
pub(crate) struct CallerRequest {
    /// Number of the request within the run.
    pub(crate) number: u64,
    /// When it was due; latencies count from here.
    pub(crate) due: Instant,
    /// Place of its profile in the mix.
    pub(crate) profile: usize,
    /// Draws sizes, targets and delays of this request alone.
    pub(crate) random: fastrand::Rng,
}

/// What every try of one request sends.
struct RequestText {
    /// The id that the caller gives; an engine knows none.
    request: Option<RequestId>,
    path: Box<str>,
    prompt: Box<str>,
    body: Box<str>,
    max_tokens: u32,
    /// Most tokens that it can cost; zero where the caller cannot know.
    worst: u64,
    chat: bool,
}

/// Sends a request until it has an end that is final for its caller.
pub(crate) async fn call(worker: Rc<Worker>, mut request: CallerRequest) {
    let plan = &worker.shared.plan;
    let profile = &plan.profiles[request.profile];
    let text = write_request(&worker, profile, &mut request);
    let headers = write_headers(&worker, profile, &text);
    let mut history = RequestHistory {
        request: text.request.clone(),
        organisation: profile.organisation.clone(),
        profile: profile.name.clone(),
        budget: profile.budget.clone(),
        idempotent: profile.idempotent,
        tries: Vec::new(),
        end: TryEnd::Unreachable,
    };
    worker.begin(profile, text.worst);
    loop {
        let started = Instant::now();
        let mut answer = send_try(&worker, &text, &headers, request.number, &mut history).await;
        judge(&worker, profile, &text, &mut answer);
        let from = if history.tries.len() > 1 {
            started
        } else {
            request.due
        };
        worker.record_try(from, &answer);
        finish_try(&worker, &mut history, &answer);
        let tries = u32::try_from(history.tries.len()).unwrap_or(u32::MAX);
        if tries >= plan.retry.max_tries || !may_retry(&answer.end, text.request.is_some()) {
            break;
        }
        let delay = retry_delay(&worker, tries, answer.retry_after, &mut request.random);
        Timer::after(delay).await;
    }
    worker.shared.budgets.finish(&history, text.worst);
    worker.finish(request.profile, request.due, &history);
}

fn write_request(
    worker: &Worker,
    profile: &RequestProfile,
    request: &mut CallerRequest,
) -> RequestText {
    let plan = &worker.shared.plan;
    let id = format!("{}-{}", plan.tag, request.number);
    let named = profile.request_id && plan.target_kind == TargetKind::Router;
    let request_id = named.then(|| id.parse().ok()).flatten();
    match &profile.call {
        CallKind::Chat(chat) => {
            let size = chat.prompt_bytes.draw(&mut request.random);
            let max_tokens = chat.max_tokens.draw(&mut request.random);
            let prompt = fill(&profile.name, &id, size);
            RequestText {
                body: chat_body(chat.model.as_str(), &prompt, max_tokens, chat.stream),
                request: request_id,
                path: "/v1/chat/completions".into(),
                worst: prompt.len().div_ceil(PROMPT_TOKEN_BYTES) as u64 + u64::from(max_tokens),
                prompt,
                max_tokens,
                chat: true,
            }
        }
        CallKind::Service(service) => {
            let size = service.body_bytes.draw(&mut request.random);
            let prompt = fill(&profile.name, &id, size);
            RequestText {
                body: prompt.clone(),
                request: request_id,
                path: format!("/services/{}/{}", service.service, service.path).into(),
                prompt,
                max_tokens: 0,
                worst: 0,
                chat: false,
            }
        }
    }
}

/// A text of `size` bytes that begins alike for one profile, so that prefix
/// caches have something to find, and ends with the request's own id.
fn fill(profile: &str, id: &str, size: u32) -> Box<str> {
    let size = size as usize;
    let mut text = String::with_capacity(size.max(id.len()));
    let filled = size.saturating_sub(id.len());
    text.push_str(profile);
    text.push(' ');
    while text.len() < filled {
        text.push_str(FILLER);
    }
    let mut end = filled.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
    text.push_str(id);
    text.into()
}

fn write_headers(
    worker: &Worker,
    profile: &RequestProfile,
    text: &RequestText,
) -> Vec<(&'static str, Box<str>)> {
    let mut headers = Vec::new();
    if worker.shared.plan.target_kind == TargetKind::Engine {
        return headers;
    }
    if !profile.key.is_empty() {
        headers.push(("authorization", format!("Bearer {}", profile.key).into()));
    }
    if let Some(request) = &text.request {
        headers.push(("idempotency-key", request.as_str().into()));
    }
    if !profile.idempotent {
        headers.push(("x-guavawell-idempotent", "false".into()));
    }
    if let Some(budget) = &profile.budget {
        headers.push(("x-guavawell-budget", budget.as_str().into()));
    }
    if let Some(deadline) = profile.deadline {
        let millis = deadline.as_millis().to_string();
        headers.push(("x-guavawell-deadline-ms", millis.into()));
    }
    if let Some(priority) = profile.priority {
        headers.push(("x-guavawell-priority", priority.to_string().into()));
    }
    headers
}

async fn send_try(
    worker: &Worker,
    text: &RequestText,
    headers: &[(&'static str, Box<str>)],
    number: u64,
    history: &mut RequestHistory,
) -> Exchange {
    let started_ms = worker.shared.elapsed_ms();
    let turn = worker.shared.next_target();
    let connected = worker.pool.connect(turn).await;
    let target = connected
        .as_ref()
        .map_or(turn, |connection| connection.target);
    let address = worker.pool.address(target);
    history.tries.push(TryRecord {
        target: address.to_string().into(),
        started_ms,
        ended_ms: started_ms,
        attempt: None,
        usage: None,
        parts: 0,
        end: TryEnd::Unreachable,
    });
    let Ok(connection) = connected else {
        return Exchange::unreachable();
    };
    let mut headers = headers.to_vec();
    if worker.shared.plan.target_kind == TargetKind::Engine {
        let attempt = engine_attempt(&worker.shared.plan, number, history.tries.len());
        headers.push(("x-guavawell-attempt", attempt));
    }
    let outgoing = Outgoing {
        url: address_url(&address.to_string(), &text.path),
        headers: &headers,
        body: &text.body,
        chat: text.chat,
    };
    let idle = Duration::from_millis(worker.shared.plan.idle_timeout.as_millis());
    let answer = exchange(connection.stream.clone(), &outgoing, idle).await;
    if answer.reusable {
        worker.pool.keep(connection);
    }
    answer
}

/// An attempt id for an engine asked directly: unlike that of any other try,
/// and of any other run with another tag or seed.
fn engine_attempt(plan: &LoadPlan, number: u64, tries: usize) -> Box<str> {
    let mut hasher = DefaultHasher::new();
    (&plan.tag, plan.seed, tries).hash(&mut hasher);
    format!("{:016x}{number:016x}", hasher.finish()).into()
}

fn address_url(address: &str, path: &str) -> Url {
    let text = format!("http://{address}{path}");
    Url::parse(&text).unwrap_or_else(|_| {
        Url::parse(&format!("http://{address}/")).expect("a socket address makes a URL")
    })
}

/// Puts the check's word over a whole answer.
fn judge(worker: &Worker, profile: &RequestProfile, text: &RequestText, answer: &mut Exchange) {
    if answer.end != TryEnd::Whole {
        return;
    }
    let named = answer.request.as_deref();
    let sent = text.request.as_ref().map(RequestId::as_str);
    if let (Some(sent), Some(named)) = (sent, named)
        && sent != named
    {
        let why = format!("answer names request `{named}`");
        answer.end = TryEnd::Wrong { why: why.into() };
        return;
    }
    let minted = named.and_then(|id| id.parse().ok());
    let seen = AnswerSeen {
        request: text.request.as_ref().or(minted.as_ref()),
        attempt: answer.attempt.as_deref(),
        profile,
        prompt: &text.prompt,
        max_tokens: text.max_tokens,
        content: &answer.content,
        parts: answer.part_times.len() as u64,
        usage: answer.usage,
    };
    if let AnswerVerdict::Wrong(why) = (worker.shared.hooks.check)(&seen) {
        answer.end = TryEnd::Wrong { why };
    }
}

fn finish_try(worker: &Worker, history: &mut RequestHistory, answer: &Exchange) {
    if let Some(last) = history.tries.last_mut() {
        last.ended_ms = worker.shared.elapsed_ms();
        last.attempt.clone_from(&answer.attempt);
        last.usage = answer.usage;
        last.parts = answer.part_times.len() as u64;
        last.end = answer.end.clone();
    }
    if history.request.is_none() {
        history.request = answer.request.as_deref().and_then(|id| id.parse().ok());
    }
    history.end = answer.end.clone();
}

/// Whether a real caller would send the request again. Without an id of its
/// own it does so only where nothing was run.
fn may_retry(end: &TryEnd, has_id: bool) -> bool {
    match end {
        TryEnd::Whole | TryEnd::Wrong { .. } | TryEnd::Shed => false,
        TryEnd::Unreachable => true,
        TryEnd::Incomplete { .. } => has_id,
        TryEnd::Refused { outcome, .. } => match outcome {
            RefusalOutcome::NotRun => false,
            RefusalOutcome::Retry => true,
            RefusalOutcome::Unknown => has_id,
        },
    }
}

/// Exponential back-off with jitter, never before the router's hint, and
/// never past the plan's longest delay.
fn retry_delay(
    worker: &Worker,
    tries: u32,
    hint: Option<Duration>,
    random: &mut fastrand::Rng,
) -> Duration {
    let policy = &worker.shared.plan.retry;
    let doubled = policy.base_delay.as_millis() << (tries - 1).min(16);
    let base = Duration::from_millis(doubled).mul_f64(0.5 + random.f64());
    let longest = Duration::from_millis(policy.max_delay.as_millis());
    base.max(hint.unwrap_or_default()).min(longest)
}
