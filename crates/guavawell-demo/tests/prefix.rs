//! Prompts with a cached prefix go to the engine that caches it.

use std::net::SocketAddr;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::AttemptId;
use guavawell_demo::fleet::DemoFleet;
use guavawell_demo::fleet::FleetSettings;
use guavawell_demo::fleet::organisation_key;
use guavawell_fleet::engine::EngineClient;
use guavawell_fleet::engine::EngineRequest;
use guavawell_fleet::engine::EngineSettings as ClientSettings;
use guavawell_standin::engine::EngineSettings;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use http_types::Url;
use smol::Timer;
use smol::net::TcpStream;

const CHAT: &str = "/v1/chat/completions";
const LONG_WAIT: Duration = Duration::from_secs(20);

/// Three engines of one zone. A first token always takes 100 ms, so that the
/// choice rests on what is expected of a cached prefix and not on what was
/// measured. Cache events come late, and each second one is lost.
fn settings() -> FleetSettings {
    let first_token = ClockSpan::from_millis(100);
    let mut settings = FleetSettings {
        zones: 1,
        services: 0,
        engine: EngineSettings {
            prefill_time: first_token,
            cached_prefill_time: first_token,
            cache_lag: ClockSpan::from_millis(50),
            cache_gap: 2,
            ..EngineSettings::default()
        },
        ..FleetSettings::default()
    };
    settings.router.routing.load_poll_ms = ClockSpan::from_millis(20);
    settings
}

fn chat_body(prompt: &str) -> String {
    let message = serde_json::json!({"role": "user", "content": prompt});
    serde_json::json!({"model": "draft-7b", "max_tokens": 4, "messages": [message]}).to_string()
}

/// Runs a prompt at an engine, past all routers.
async fn plant(client: &EngineClient, address: SocketAddr, number: u128, prompt: &str) {
    let body = chat_body(prompt).replacen('{', r#"{"stream":true,"#, 1);
    let request = EngineRequest {
        attempt: AttemptId::new(number),
        request: "planted".parse().expect("a good id"),
        organisation: "nobody".parse().expect("a good id"),
        path: CHAT.into(),
        body: body.into_bytes().into(),
        priority: 5,
        fence: None,
        reuse: false,
    };
    let sent = client.send(address, &request, LONG_WAIT).await;
    let mut exchange = sent.expect("the engine takes it");
    while let Ok(Some(_)) = exchange.next(LONG_WAIT).await {}
}

/// Asks a router, and tells which engine answered.
async fn ask(fleet: &DemoFleet, router: SocketAddr, prompt: &str) -> usize {
    let url = Url::parse(&format!("http://{router}{CHAT}")).expect("an address");
    let mut request = Request::new(Method::Post, url);
    let key = organisation_key(0);
    request.insert_header("authorization", format!("Bearer {key}"));
    request.set_body(chat_body(prompt));
    let stream = TcpStream::connect(router).await.expect("it listens");
    let response = async_h1::connect(stream, request).await.expect("an answer");
    assert_eq!(response.status(), StatusCode::Ok);
    let attempt = &response["x-guavawell-attempt"];
    let attempt: AttemptId = attempt.as_str().parse().expect("an attempt");
    let runs = |engine: &guavawell_standin::engine::Engine| {
        let truth = engine.truth();
        truth.runs.iter().any(|run| run.attempt == attempt)
    };
    fleet
        .engines
        .iter()
        .position(runs)
        .expect("an engine ran it")
}

/// A counter of this process, as the operators' port shows it.
async fn counter(fleet: &DemoFleet, name: &str) -> u64 {
    let router = fleet.live().next().expect("a router runs");
    let address = router.operator_address();
    let url = Url::parse(&format!("http://{address}/metrics")).expect("an address");
    let stream = TcpStream::connect(address).await.expect("it listens");
    let answer = async_h1::connect(stream, Request::new(Method::Get, url)).await;
    let page = answer.expect("an answer").body_string().await;
    let page = page.expect("a page");
    let line = page.lines().find_map(|line| line.strip_prefix(name));
    line.map_or(0, |value| value.trim().parse().expect("a number"))
}

/// What each engine is given, in this order: a prompt for each router, and
/// between them one whose event is lost.
const PLANTED: [&str; 3] = ["first", "lost", "second"];

/// Plants prompts at each engine and waits until routers heard of them.
async fn plant_all(fleet: &DemoFleet) {
    let client = EngineClient::new(ClientSettings::default());
    for (place, engine) in fleet.engines.iter().enumerate() {
        for (turn, word) in PLANTED.into_iter().enumerate() {
            let number = (place * PLANTED.len() + turn + 1) as u128;
            let prompt = format!("{word} {place}");
            plant(&client, engine.address(), number, &prompt).await;
        }
    }
    // Each engine by itself: two routers may poll one engine for a while.
    for engine in &fleet.engines {
        for (kind, planted) in [("events", 2), ("events_lost", 1)] {
            let name = engine.name();
            let line = format!("guavawell_cache_{kind}_total{{backend=\"{name}\"}} ");
            while counter(fleet, &line).await < planted {
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

#[test]
fn a_cached_prefix_draws_its_prompts_and_late_events_with_gaps_do_no_harm() {
    smol::block_on(async {
        let mut fleet = DemoFleet::start(settings())
            .await
            .expect("the fleet starts");
        plant_all(&fleet).await;
        let routers = fleet.caller_addresses();
        for place in 0..fleet.engines.len() {
            // One of the two routers polls the engine; only it was told.
            let first = ask(&fleet, routers[0], &format!("first {place}")).await;
            let second = ask(&fleet, routers[1], &format!("second {place}")).await;
            assert!(
                place == first || place == second,
                "{place}: {first}, {second}"
            );
            ask(&fleet, routers[0], &format!("lost {place}")).await;
        }
        // A prompt that no event told of: a router remembers its own request.
        for router in &routers {
            let prompt = format!("again {router}");
            let first = ask(&fleet, *router, &prompt).await;
            for _ in 0..6 {
                assert_eq!(ask(&fleet, *router, &prompt).await, first);
            }
        }
        fleet.stop();
    });
}
