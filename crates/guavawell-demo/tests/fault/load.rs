//! What callers send.

use std::net::SocketAddr;

use guavawell_core::clock::ClockSpan;
use guavawell_demo::fleet::organisation_key;
use guavawell_demo::scene::sample_profiles;
use guavawell_load::LoadPlan;
use guavawell_load::LoadReport;
use guavawell_load::plan::ArrivalMode;
use guavawell_load::plan::CallKind;
use guavawell_load::plan::ChatCall;
use guavawell_load::plan::RequestProfile;
use guavawell_load::plan::RetryPolicy;
use guavawell_load::plan::SizeRange;

/// One load with a fixed seed.
#[derive(Clone)]
pub struct FaultLoad {
    /// Start of every request id.
    pub tag: &'static str,
    /// Where it goes; empty means every router that runs.
    pub targets: Vec<SocketAddr>,
    /// Requests in all.
    pub requests: u64,
    /// Callers, each sending back to back.
    pub callers: usize,
    /// Tries of one request.
    pub max_tries: u32,
    /// The mix.
    pub profiles: Vec<RequestProfile>,
}

impl Default for FaultLoad {
    fn default() -> Self {
        Self {
            tag: "load",
            targets: Vec::new(),
            requests: 60,
            callers: 6,
            max_tries: 60,
            profiles: mixed(),
        }
    }
}

impl FaultLoad {
    pub fn plan(self, tag: String) -> LoadPlan {
        LoadPlan {
            targets: self.targets.into(),
            arrival: ArrivalMode::Closed {
                connections: self.callers,
            },
            duration: None,
            requests: Some(self.requests),
            tag: tag.into(),
            idle_timeout: ClockSpan::from_millis(8_000),
            retry: RetryPolicy {
                max_tries: self.max_tries,
                base_delay: ClockSpan::from_millis(50),
                max_delay: ClockSpan::from_millis(500),
            },
            profiles: self.profiles.into(),
            ..LoadPlan::default()
        }
    }
}

/// Streams, whole answers, non-idempotent chats and plain services of the
/// first organisation.
pub fn mixed() -> Vec<RequestProfile> {
    sample_profiles(1).expect("constant ids")
}

/// Streams of the first organisation, `tokens` each at most.
pub fn streams(tokens: u32) -> Vec<RequestProfile> {
    chats("stream", tokens, true)
}

/// Non-idempotent streams of the first organisation.
pub fn once(tokens: u32) -> Vec<RequestProfile> {
    chats("once", tokens, false)
}

fn chats(name: &str, tokens: u32, idempotent: bool) -> Vec<RequestProfile> {
    vec![RequestProfile {
        name: name.into(),
        organisation: Some("org-0".parse().expect("a constant id")),
        key: organisation_key(0).into(),
        call: CallKind::Chat(ChatCall {
            model: "draft-7b".parse().expect("a constant id"),
            prompt_bytes: SizeRange::exactly(64),
            max_tokens: SizeRange::exactly(tokens),
            stream: true,
        }),
        idempotent,
        ..RequestProfile::default()
    }]
}

/// How a load ended.
pub struct LoadEnd {
    /// Requests answered whole.
    pub answered: u64,
    /// The reports.
    pub text: String,
}

impl LoadEnd {
    pub fn of(reports: &[LoadReport]) -> Self {
        Self {
            answered: reports.iter().map(|report| report.counts.answered).sum(),
            text: reports.iter().map(LoadReport::to_json).collect(),
        }
    }
}

/// Asserts that every request of a load was answered whole.
pub fn assert_all_answered(end: &LoadEnd, requests: u64) {
    assert_eq!(end.answered, requests, "{}", end.text);
}
