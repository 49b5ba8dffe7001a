//! Routes, prompts and token counts.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::PromptShape;
use guavawell_core::forward::RetrySafety;
use guavawell_core::forward::RouteEntry;
use guavawell_core::forward::RouteShare;
use guavawell_core::forward::RouteTable;
use guavawell_core::forward::TokenUsage;
use guavawell_core::id::TokenCount;

fn route(host: &str, prefix: &str, shares: &[(&str, u32)]) -> RouteEntry {
    let share = |(name, weight): &(&str, u32)| RouteShare {
        service: name.parse().expect("a valid id"),
        weight: *weight,
    };
    RouteEntry {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        shares: shares.iter().map(share).collect(),
        retry_safety: RetrySafety::Once,
        streaming: false,
        time_limit: ClockSpan::from_millis(1_000),
        target: ClockSpan::from_millis(100),
        pause_target: None,
        attempts: 1,
        priority: 0,
        public: false,
        homes: Box::default(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let shares = [("a", 1)];
    let table = RouteTable::new(vec![
        route("one", "/", &shares),
        route("one", "/desk/", &shares),
        route("one", "/desk/fast/", &shares),
        route("two", "/desk/", &shares),
    ]);
    let found = |host, path| table.find(host, path).map(|route| route.prefix.to_string());
    assert_eq!(found("one", "/desk/fast/7"), Some("/desk/fast/".into()));
    assert_eq!(found("ONE", "/desk/fast"), Some("/desk/".into()));
    assert_eq!(found("one", "/deskfast/"), Some("/".into()));
    assert_eq!(found("two", "/other/"), None);
    assert_eq!(found("three", "/desk/"), None);
}

#[test]
fn a_split_follows_its_weights() {
    let route = route("one", "/", &[("a", 90), ("b", 10), ("c", 0)]);
    let mut random = fastrand::Rng::with_seed(1);
    let picks: Vec<String> = (0..2_000)
        .map(|_| route.service(random.u64(..)).to_string())
        .collect();
    let share = |name: &str| picks.iter().filter(|pick| *pick == name).count();
    assert!((150..250).contains(&share("b")), "{}", share("b"));
    assert_eq!(share("c"), 0);
}

#[test]
fn token_counts_and_parts_are_parsed_or_rejected() {
    let usage: TokenUsage = "1460,80".parse().expect("counts");
    assert_eq!(usage.worst_case(), TokenCount::new(1_540));
    for malformed in ["", "1460", "1460,", "a,b", "-1,2", "1,2,3"] {
        assert!(malformed.parse::<TokenUsage>().is_err(), "{malformed}");
    }
    let shape: PromptShape = "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
        .parse()
        .expect("parts");
    assert_eq!(shape.shared_tokens(), TokenCount::new(1_210));
    assert_eq!(shape.affinity().map(|part| part.id), Some(0x91bd_3f06));
    for malformed in ["", "xyz", "5c:1,", "5c:-1", "zz:1"] {
        assert!(malformed.parse::<PromptShape>().is_err(), "{malformed}");
    }
}
