use super::Finding;
use super::FindingList;
use super::FindingPlace;
use super::line_at;
use super::nearest_word;

fn place(line: u32, key: &str) -> FindingPlace {
    FindingPlace {
        file: "router.toml".into(),
        line,
        key: key.into(),
    }
}

#[test]
fn nearest_word_is_the_closest_within_half_of_its_length() {
    let known = ["listen", "listen_backlog", "drain_ms"];
    assert_eq!(nearest_word("lisen", &known), Some("listen"));
    assert_eq!(nearest_word("drain", &known), Some("drain_ms"));
    assert_eq!(nearest_word("xyzzy", &known), None);
    assert_eq!(nearest_word("listen", &[]), None);
}

#[test]
fn line_counts_from_one() {
    assert_eq!(line_at("a\nb\nc", 0), 1);
    assert_eq!(line_at("a\nb\nc", 2), 2);
    assert_eq!(line_at("a\nb\nc", 99), 3);
}

#[test]
fn findings_are_reported_together_in_the_order_of_their_places() {
    let mut findings = FindingList::default();
    findings.push(Finding::new(place(7, "log.level"), "expected text"));
    findings.push(Finding::unknown_key(place(2, "callers.lisen"), &["listen"]));
    assert_eq!(
        findings.sorted().to_string(),
        "router.toml:2: callers.lisen: unknown key; the nearest known one is `listen`\n\
         router.toml:7: log.level: expected text"
    );
}
