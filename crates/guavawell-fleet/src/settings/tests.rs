use std::env;
use std::fs;
use std::path::Path;

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::TokenCount;

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
grant_min = 0x10
witness_batch_ms = 1_0
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
    assert_eq!(settings.slots.grant_min, TokenCount::new(16));
    assert_eq!(settings.slots.witness_batch_ms, ClockSpan::from_millis(10));
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
witness_batch_ms = 500
[log]
level = "loud"
"#;
    insta::assert_snapshot!(findings(text));
}

#[test]
fn broken_toml_names_every_broken_line_and_nothing_else() {
    let text = format!("{PLAIN}[slots]\ngrant_min = \n[nonsense]\n[log]\nlevel = debug\n");
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
