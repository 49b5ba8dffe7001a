use std::env;
use std::fs;
use std::path::Path;

use guavawell_core::clock::ClockSpan;

use super::EventTarget;
use super::FilePath;
use super::RouterSettings;
use super::SecretText;
use super::SettingsError;
use super::ShareRatio;
use super::reference_page;

const PAGE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../docs/operators/SETTINGS.md"
);

const PLAIN: &str = r#"
[instance]
id = "tln-a-1"
zone = "tln-a"
[callers]
plain_loopback = true
[operators]
plain_loopback = true
[peers]
plain_loopback = true
[gossip]
keys = ["0123456789abcdef"]
"#;

fn parse(text: &str) -> Result<RouterSettings, Box<str>> {
    let settings = RouterSettings::parse(Path::new("conf/router.toml"), text);
    settings.map_err(|findings| findings.to_string().into())
}

fn findings(text: &str) -> Box<str> {
    parse(text).expect_err("the text holds findings")
}

#[test]
fn a_key_left_out_keeps_its_default() {
    let settings = parse(PLAIN).unwrap();
    let mut expected = RouterSettings::default();
    expected.instance.id = "tln-a-1".parse().unwrap();
    expected.instance.zone = "tln-a".parse().unwrap();
    expected.callers.plain_loopback = true;
    expected.operators.plain_loopback = true;
    expected.peers.plain_loopback = true;
    expected.gossip.keys = vec![SecretText::new("0123456789abcdef")];
    assert_eq!(settings, expected);
}

#[test]
fn every_kind_of_value_is_read() {
    let text = format!(
        "{PLAIN}
seeds = [\"127.0.0.1:1\", \"127.0.0.2:2\"]
key_files = [\"gossip.key\"]
[slots]
float_share = 0.25
grant_requests = 0x10
witness_timeout_ms = 1_0
[log]
level = \"debug\"
events = \"events.jsonl\"
"
    );
    let settings = parse(&text).unwrap();
    assert_eq!(settings.gossip.seeds.len(), 2);
    let key_file = FilePath::new(Path::new("conf/gossip.key"));
    assert_eq!(settings.gossip.key_files, [key_file]);
    assert_eq!(settings.slots.float_share, ShareRatio::clamped(0.25));
    assert_eq!(settings.slots.grant_requests, 16);
    let timeout = settings.slots.witness_timeout_ms;
    assert_eq!(timeout, ClockSpan::from_millis(10));
    let events = FilePath::new(Path::new("conf/events.jsonl"));
    assert_eq!(settings.log.events, EventTarget::File(events));
    assert_eq!(settings.log.level.to_string(), "debug");
}

#[test]
fn all_findings_come_together_with_their_places() {
    let text = r#"
[instance]
id = "tln a"
zone = 3
[callers]
lisen = "127.0.0.1:1"
max_connections = -1
max_body_bytes = 0
[operator]
[peers]
listen = "10.0.0.1:1"
plain_loopback = true
call_timeout_ms = "soon"
[gossip]
keys = ["short"]
seeds = ["localhost:1"]
[slots]
float_share = 1.5
settle_interval_ms = 0
[log]
level = "loud"
"#;
    insta::assert_snapshot!(findings(text));
}

#[test]
fn broken_toml_names_every_broken_line_and_nothing_else() {
    let text = format!("{PLAIN}[slots]\ngrant_requests = \n[nonsense]\n[log]\nlevel = debug\n");
    let findings = findings(&text);
    let lines: Vec<&str> = findings.lines().collect();
    assert_eq!(lines.len(), 2, "{findings}");
    assert!(lines[0].starts_with("conf/router.toml:14: "), "{findings}");
    assert!(lines[1].starts_with("conf/router.toml:17: "), "{findings}");
}

#[test]
fn an_empty_file_names_what_every_file_needs() {
    insta::assert_snapshot!(findings(""));
}

#[test]
fn tls_is_demanded_whole() {
    let text = r#"
[instance]
id = "tln_a:1"
zone = "tln-a"
[callers]
plain_loopback = true
tls = { cert = "a.pem", key = "b.pem" }
[operators]
listen = "127.0.0.1:8080"
tls = { cert = "a.pem" }
[peers]
tls = { cert = "a.pem", key = "b.pem" }
[gossip]
key_files = ["gossip.key"]
"#;
    insta::assert_snapshot!(findings(text));
}

#[test]
fn a_missing_file_is_named() {
    let error = RouterSettings::load(Path::new("/nowhere/router.toml")).unwrap_err();
    assert!(matches!(error, SettingsError::Unreadable { .. }));
    assert!(error.to_string().contains("/nowhere/router.toml"));
}

#[test]
fn a_secret_does_not_show() {
    let settings = parse(PLAIN).unwrap();
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}

#[test]
fn settings_page_matches_the_doc_comments() {
    if env::var_os("UPDATE_SETTINGS_PAGE").is_some() {
        fs::write(PAGE, &*reference_page()).unwrap();
    }
    let page = fs::read_to_string(PAGE).unwrap();
    assert_eq!(page, &*reference_page(), "see the page's head");
}

/// Every source line outside `src/settings`, in the crates that read settings.
fn reading_sources() -> String {
    let fleet = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut folders = vec![fleet.join("src"), fleet.join("../guavawell-router/src")];
    let mut text = String::new();
    while let Some(folder) = folders.pop() {
        if folder == fleet.join("src/settings") {
            continue;
        }
        for entry in fs::read_dir(&folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|end| end == "rs") && !path.ends_with("tests.rs")
            {
                text.push_str(&fs::read_to_string(&path).unwrap());
            }
        }
    }
    text
}

fn reads(sources: &str, key: &str) -> bool {
    let field = format!(".{key}");
    let is_name = |next: char| next.is_alphanumeric() || next == '_';
    sources
        .match_indices(&field)
        .any(|(place, _)| !sources[place + field.len()..].starts_with(is_name))
}

#[test]
fn every_key_is_read_by_some_part_of_the_router() {
    let sources = reading_sources();
    let groups = [
        super::InstanceSettings::KEYS,
        super::CallerSettings::KEYS,
        super::OperatorSettings::KEYS,
        super::PeerSettings::KEYS,
        super::GossipSettings::KEYS,
        super::PlatformSettings::KEYS,
        super::TlsSettings::KEYS,
        super::SlotSettings::KEYS,
        super::RoutingSettings::KEYS,
        super::LimitSettings::KEYS,
        super::OrderSettings::KEYS,
        super::RetentionSettings::KEYS,
        super::ShutdownSettings::KEYS,
        super::LogSettings::KEYS,
    ];
    assert_eq!(
        groups.len(),
        RouterSettings::KEYS.len() + 1,
        "tls has no group"
    );
    let keys = groups.into_iter().flatten();
    let unread: Vec<_> = keys.filter(|key| !reads(&sources, key)).collect();
    assert!(unread.is_empty(), "nothing reads {unread:?}");
    assert!(!reads(&sources, "no_such_key"));
}

#[test]
fn a_hedge_that_could_never_go_out_is_found() {
    let text = format!("{PLAIN}[routing]\nhedge_after_ms = 2000\n");
    assert!(parse(&text).is_ok(), "hedging is off");
    let text = format!("{text}hedge = true\nretry_share = 0.0\n");
    let findings = findings(&text);
    for key in ["routing.hedge_after_ms", "routing.retry_share"] {
        assert!(findings.contains(key), "{key}: {findings}");
    }
}

#[test]
fn orders_that_could_never_go_out_are_found() {
    let text = format!("{PLAIN}[orders]\nreview_ms = 0\nfleet_loads = 0\nat_once = 0\n");
    let findings = findings(&text);
    assert_eq!(findings.lines().count(), 3, "{findings}");
    for key in ["orders.review_ms", "orders.fleet_loads", "orders.at_once"] {
        assert!(findings.contains(key), "{findings}");
    }
}

#[test]
fn a_retention_shorter_than_requests_may_take_is_found() {
    let text = format!("{PLAIN}[retention]\nclaims_ms = 60_000\nrows_per_second = 0\n");
    let findings = findings(&text);
    assert_eq!(findings.lines().count(), 2, "{findings}");
    for key in ["retention.claims_ms", "retention.rows_per_second"] {
        assert!(findings.contains(key), "{findings}");
    }
}
