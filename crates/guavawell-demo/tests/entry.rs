//! Bad input at the callers' port: each a clear typed answer, nothing charged,
//! and the router goes on.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use guavawell_core::budget::BudgetRow;
use guavawell_demo::fleet::DemoFleet;
use guavawell_demo::fleet::FleetSettings;
use guavawell_demo::fleet::organisation_key;
use serde_json::Value;

const CHAT: &str = "/v1/chat/completions";

/// A caller that speaks to one router by hand.
struct Caller {
    address: SocketAddr,
    key: String,
}

/// An answer: its status and its body.
#[derive(Debug)]
struct Answer {
    status: u16,
    body: Value,
}

impl Answer {
    #[track_caller]
    fn assert_refused(&self, status: u16, outcome: &str, reason: &str) {
        assert_eq!(self.status, status, "{self:?}");
        assert_eq!(self.body["outcome"], outcome, "{self:?}");
        assert_eq!(self.body["reason"], reason, "{self:?}");
    }
}

impl Caller {
    fn chat(&self, headers: &[&str], body: &str) -> Answer {
        self.send("POST", CHAT, headers, body)
    }

    fn send(&self, method: &str, path: &str, headers: &[&str], body: &str) -> Answer {
        let key = format!("Authorization: Bearer {}", self.key);
        let length = format!("Content-Length: {}", body.len());
        let mut head = format!("{method} {path} HTTP/1.1\r\nHost: router\r\n");
        for header in [key.as_str(), &length, "Connection: close"]
            .iter()
            .chain(headers)
        {
            head.push_str(header);
            head.push_str("\r\n");
        }
        self.raw(&format!("{head}\r\n{body}"))
    }

    /// Sends bytes as they are and reads until the router closes.
    fn raw(&self, bytes: &str) -> Answer {
        let mut stream = TcpStream::connect(self.address).expect("the router listens");
        let limit = Some(Duration::from_secs(30));
        stream.set_read_timeout(limit).expect("a limit is set");
        stream
            .write_all(bytes.as_bytes())
            .expect("the router reads");
        let mut text = String::new();
        // A router that refuses early may reset behind its answer.
        let _ = stream.read_to_string(&mut text);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
        Answer {
            status: status.unwrap_or_default(),
            body: serde_json::from_str(body).unwrap_or_default(),
        }
    }
}

fn with_fleet(test: impl FnOnce(&Caller)) {
    let settings = FleetSettings {
        zones: 1,
        routers: 2,
        engines: 1,
        organisations: 2,
        shards: 2,
        ..FleetSettings::default()
    };
    let mut fleet = smol::block_on(DemoFleet::start(settings)).expect("the fleet starts");
    let caller = Caller {
        address: fleet.caller_addresses()[0],
        key: organisation_key(0),
    };
    test(&caller);
    let answer = caller.chat(&[], &prompt("are you still there"));
    assert_eq!(answer.status, 200, "the router goes on: {answer:?}");
    let row = fleet.platform.row("budget/budget-1");
    let untouched: Option<BudgetRow> = row.and_then(|row| serde_json::from_slice(&row).ok());
    assert!(untouched.is_none_or(|row| row.settled.get() == 0));
    fleet.stop();
}

fn prompt(text: &str) -> String {
    format!(
        r#"{{"model":"draft-7b","messages":[{{"role":"user","content":"{text}"}}],"max_tokens":4}}"#
    )
}

#[test]
fn bad_input_gets_a_typed_answer() {
    with_fleet(|caller| {
        let stranger = Caller {
            address: caller.address,
            key: "nobody's".into(),
        };
        let answer = stranger.chat(&[], &prompt("hello"));
        answer.assert_refused(401, "retry", "unauthorised");

        let answer = caller.chat(&["X-Guavawell-Budget: budget-1"], &prompt("hello"));
        answer.assert_refused(404, "retry", "unknown_budget");

        let answer = caller.chat(&[], &prompt("hello").replace("draft-7b", "draft-8b"));
        answer.assert_refused(404, "retry", "unknown_model");

        let answer = caller.chat(&["X-Guavawell-Priority: 12"], &prompt("hello"));
        answer.assert_refused(400, "retry", "bad_request");

        let answer = caller.chat(&[], r#"{"model":"draft-7b","messages":"hello"}"#);
        answer.assert_refused(400, "retry", "bad_request");

        let answer = caller.chat(&[], &prompt("hello").replace(":4", ":40000"));
        answer.assert_refused(400, "retry", "bad_request");

        let answer = caller.chat(&[], "{");
        answer.assert_refused(400, "retry", "bad_request");

        let answer = caller.send("POST", "/services/nowhere/x", &[], "{}");
        answer.assert_refused(404, "retry", "unknown_service");

        let answer = caller.send("GET", "/v2/chat", &[], "");
        answer.assert_refused(400, "retry", "bad_request");
    });
}

#[test]
fn a_body_past_its_limit_is_not_read() {
    with_fleet(|caller| {
        let head = format!(
            "POST {CHAT} HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer {}\r\nContent-Length: 90000000\r\n\r\n",
            caller.key
        );
        let answer = caller.raw(&head);
        answer.assert_refused(413, "retry", "body_too_large");
    });
}

#[test]
fn a_truncated_body_is_not_run() {
    with_fleet(|caller| {
        let head = format!(
            "POST {CHAT} HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer {}\r\nContent-Length: 500\r\n\r\n{{",
            caller.key
        );
        let mut stream = TcpStream::connect(caller.address).expect("the router listens");
        stream.write_all(head.as_bytes()).expect("the router reads");
        stream.shutdown(Shutdown::Write).expect("half closed");
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        assert!(text.is_empty() || text.contains(" 400 "), "{text}");
    });
}

#[test]
fn one_id_serves_one_request_only() {
    with_fleet(|caller| {
        let id = ["Idempotency-Key: order-7"];
        let first = caller.chat(&id, &prompt("first"));
        assert_eq!(first.status, 200, "{first:?}");
        let again = caller.chat(&id, &prompt("first"));
        assert_eq!(again.status, 200, "{again:?}");
        let content = |answer: &Answer| answer.body["choices"][0]["message"]["content"].clone();
        assert_eq!(content(&first), content(&again));
        let other = caller.chat(&id, &prompt("second"));
        other.assert_refused(422, "retry", "identity_mismatch");
    });
}

#[test]
fn an_id_of_the_routers_own_is_refused() {
    with_fleet(|caller| {
        let answer = caller.chat(&["Idempotency-Key: minted:1"], &prompt("hello"));
        answer.assert_refused(400, "retry", "bad_request");
    });
}

#[test]
fn a_head_that_cannot_be_read_gets_an_answer() {
    with_fleet(|caller| {
        let large = format!("X-Large: {}", "x".repeat(20_000));
        let answer = caller.chat(&[&large], &prompt("hello"));
        answer.assert_refused(400, "retry", "bad_request");
        let answer = caller.raw("NONSENSE\r\n\r\n");
        answer.assert_refused(400, "retry", "bad_request");
    });
}

#[test]
fn a_slow_body_is_given_up() {
    with_fleet(|caller| {
        let head = format!(
            "POST {CHAT} HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer {}\r\nContent-Length: 500\r\n\r\n{{",
            caller.key
        );
        let answer = caller.raw(&head);
        answer.assert_refused(408, "retry", "timeout");
    });
}
