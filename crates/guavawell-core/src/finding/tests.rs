use super::Finding;
use super::FindingList;
use super::FindingPlace;
use super::SourceText;
use super::TableReader;
use super::line_at;
use super::nearest_word;
use crate::id::ZoneId;

fn place(line: u32, key: &str) -> FindingPlace {
    FindingPlace {
        file: "router.toml".into(),
        line,
        key: key.into(),
        ..FindingPlace::default()
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

const BROKEN: &str = r#"
zone = "tln a"
port = 70_000
zones = ["a", 7]
verbos = true
timeout = "soon"

[peer]
adress = "x"
"#;

fn read(text: &str) -> String {
    let mut source = SourceText::new("router.toml", text);
    let table = match source.parse() {
        Ok(table) => table,
        Err(findings) => return findings.to_string(),
    };
    let mut reader = TableReader::root(&table);
    reader.required::<ZoneId>("zone", &mut source);
    reader.required::<ZoneId>("home", &mut source);
    reader.optional_integer("port", 1..=65_535, &mut source);
    reader.list::<ZoneId>("zones", &mut source);
    reader.boolean("verbose", false, &mut source);
    reader.optional_integer("timeout", 1..=10, &mut source);
    if let Some(mut peer) = reader.table("peer", &mut source) {
        peer.optional::<ZoneId>("address", &mut source);
        peer.finish(&mut source);
    }
    reader.finish(&mut source);
    source
        .into_result(())
        .map_or_else(|findings| findings.to_string(), |()| "clean".to_owned())
}

#[test]
fn all_findings_come_together_in_the_order_of_their_places() {
    insta::assert_snapshot!(read(BROKEN));
}

#[test]
fn all_syntax_errors_come_together() {
    insta::assert_snapshot!(read("zone = \nport = = 3\n"));
}

#[test]
fn numbers_may_carry_underscores() {
    assert_eq!(read("zone = \"a\"\nhome = \"b\"\nport = 6_5\n"), "clean");
}

#[test]
fn a_swap_of_two_neighbours_is_one_edit() {
    let known = ["weight", "adapters", "id"];
    assert_eq!(nearest_word("wieght", &known), Some("weight"));
    assert_eq!(nearest_word("di", &known), Some("id"));
    assert_eq!(nearest_word("colour", &known), None);
}
