//! The platform's clients against a tiny fake: answers, losses, outages, silence.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use guavawell_core::clock::ClockSpan;
use guavawell_core::platform::BackoffPolicy;
use guavawell_core::platform::CircuitPolicy;
use guavawell_core::platform::PlatformRate;
use guavawell_core::platform::SharePolicy;
use guavawell_core::platform::WriteClass;
use guavawell_fleet::platform::InstanceList;
use guavawell_fleet::platform::ObjectPut;
use guavawell_fleet::platform::Objects;
use guavawell_fleet::platform::OpAnswer;
use guavawell_fleet::platform::PlatformError;
use guavawell_fleet::platform::PoolSettings;
use guavawell_fleet::platform::Table;
use guavawell_fleet::platform::TableCompare;
use guavawell_fleet::platform::TableOp;
use guavawell_fleet::platform::TableTxn;
use guavawell_fleet::platform::WriteGate;

use support::FakePlatform;
use support::FakeReply;

fn insert() -> TableTxn {
    TableTxn {
        compares: vec![TableCompare::absent("a")],
        success: vec![TableOp::put("a", *b"1")],
        failure: vec![TableOp::get("a")],
    }
}

fn table(fake: &FakePlatform) -> Table {
    Table::new(fake.address, PoolSettings::default())
}

fn answer(status: u16, text: &str) -> FakeReply {
    FakeReply::Answer(status, text.into())
}

#[test]
fn a_transaction_is_sent_and_its_failure_branch_read() {
    let fake = FakePlatform::start(|ask| {
        assert_eq!(ask.line, "POST /v3/kv/txn");
        let body: serde_json::Value = serde_json::from_str(&ask.body).unwrap();
        assert_eq!(body["compare"][0]["target"], "CREATE");
        assert_eq!(body["compare"][0]["create_revision"], "0");
        assert_eq!(body["success"][0]["requestPut"]["value"], "MQ==");
        assert_eq!(body["failure"][0]["requestRange"]["key"], "YQ==");
        answer(
            200,
            r#"{"header":{"revision":"7"},"responses":[{"response_range":{"kvs":[
                {"key":"YQ==","value":"Mg==","create_revision":"3","mod_revision":"5","version":"2"}],"count":"1"}}]}"#,
        )
    });
    let txn_answer = smol::block_on(table(&fake).txn(&insert(), WriteClass::Claim)).unwrap();
    assert!(!txn_answer.succeeded);
    assert_eq!(txn_answer.revision, 7);
    let row = txn_answer.row(0).unwrap();
    assert_eq!((&*row.key, &*row.value), ("a", b"2".as_slice()));
    assert_eq!(
        (row.create_revision, row.mod_revision, row.version),
        (3, 5, 2)
    );
    assert!(matches!(
        txn_answer.answers[0],
        OpAnswer::Rows { more: false, .. }
    ));
}

// Guards against a write that counts as not applied because of a status that does not say
// so.
#[test]
fn a_write_that_is_not_refused_may_have_been_applied() {
    for (status, is_certain) in [(204, false), (302, false), (500, false), (403, true)] {
        let fake = FakePlatform::start(move |_| answer(status, ""));
        let written = smol::block_on(table(&fake).txn(&insert(), WriteClass::Claim));
        let error = written.expect_err("no answer to a transaction");
        assert_eq!(error.not_applied(), is_certain, "{status}: {error}");
    }
}

#[test]
fn a_range_is_read_page_by_page() {
    // "YQ==" is `a`, "YQA=" is `a` and a zero byte, "YWI=" is `ab`.
    let fake = FakePlatform::start(|ask| {
        if ask.body.contains(r#""key":"YQA=""#) {
            return answer(200, r#"{"kvs":[{"key":"YWI=","value":"Mg=="}]}"#);
        }
        answer(
            200,
            r#"{"kvs":[{"key":"YQ==","value":"MQ=="}],"more":true}"#,
        )
    });
    let rows = smol::block_on(table(&fake).range("a")).unwrap();
    let keys: Vec<&str> = rows.iter().map(|row| &*row.key).collect();
    assert_eq!(keys, ["a", "ab"]);
}

#[test]
fn a_write_without_an_answer_is_lost_and_a_read_is_an_outage() {
    let fake = FakePlatform::start(|_| FakeReply::Close);
    let table = table(&fake);
    let write = smol::block_on(table.txn(&insert(), WriteClass::Money));
    assert!(matches!(write, Err(PlatformError::Lost(_))), "{write:?}");
    let read = smol::block_on(table.get("a"));
    assert!(matches!(read, Err(PlatformError::Outage(_))), "{read:?}");
}

#[test]
fn a_cut_or_unreadable_answer_to_a_write_is_lost() {
    let fake = FakePlatform::start(|_| answer(200, r#"{"succeeded":tr"#));
    let write = smol::block_on(table(&fake).txn(&insert(), WriteClass::Money));
    assert!(matches!(write, Err(PlatformError::Lost(_))), "{write:?}");
}

#[test]
fn refusals_and_outages_are_told_apart_by_status() {
    let cases = [
        (400, "bad key", "refused"),
        (503, "no leader", "outage"),
        (503, "etcdserver: request timed out", "lost"),
        (500, "internal", "lost"),
        (429, "slow down", "outage"),
    ];
    for (status, text, label) in cases {
        let fake = FakePlatform::start(move |_| answer(status, text));
        let write = smol::block_on(table(&fake).txn(&insert(), WriteClass::Money));
        assert_eq!(write.unwrap_err().label(), label, "{status} {text}");
    }
}

#[test]
fn nobody_listening_is_an_outage_even_for_a_write() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let table = Table::new(address, PoolSettings::default());
    let write = smol::block_on(table.txn(&insert(), WriteClass::Money));
    assert!(matches!(write, Err(PlatformError::Outage(_))), "{write:?}");
}

#[test]
fn connections_are_kept_but_never_after_a_timeout() {
    // The second request of the first connection is never answered.
    let fake = FakePlatform::start(|ask| match ask.place {
        1 => FakeReply::Silence,
        _ => answer(200, "{}"),
    });
    let settings = PoolSettings {
        answer_timeout: ClockSpan::from_millis(50),
        ..PoolSettings::default()
    };
    let table = Table::new(fake.address, settings);
    assert!(smol::block_on(table.get("a")).is_ok());
    let silent = smol::block_on(table.get("a"));
    assert!(
        matches!(silent, Err(PlatformError::Outage(_))),
        "{silent:?}"
    );
    assert_eq!(fake.connections.load(Ordering::SeqCst), 1);
    assert!(smol::block_on(table.get("a")).is_ok());
    assert_eq!(fake.connections.load(Ordering::SeqCst), 2);
}

#[test]
fn objects_are_put_once_read_and_listed() {
    let fake = FakePlatform::start(|ask| match ask.line.as_str() {
        "PUT /b/journal/1/z%3Aa/r-1-0" => answer(200, ""),
        "PUT /b/journal/1/z%3Aa/r-1-1" => answer(412, ""),
        "GET /b/journal/1/z%3Aa/r-1-0" => answer(200, "records"),
        "GET /b?list-type=2&prefix=journal%2F&start-after=" => answer(
            200,
            "<R><IsTruncated>true</IsTruncated><Contents><Key>journal/a&amp;b</Key></Contents></R>",
        ),
        "GET /b?list-type=2&prefix=journal%2F&start-after=journal%2Fa%26b" => answer(
            200,
            "<R><IsTruncated>false</IsTruncated><Contents><Key>journal/c</Key></Contents></R>",
        ),
        _ => answer(404, ""),
    });
    let objects = Objects::new(fake.address, "b", PoolSettings::default());
    smol::block_on(async {
        let put = |key| objects.put_new(key, b"records".to_vec(), WriteClass::Journal);
        assert_eq!(put("journal/1/z:a/r-1-0").await, Ok(ObjectPut::Written));
        assert_eq!(put("journal/1/z:a/r-1-1").await, Ok(ObjectPut::Exists));
        let got = objects.get("journal/1/z:a/r-1-0").await;
        assert_eq!(got, Ok(Some(b"records".to_vec())));
        assert_eq!(objects.get("journal/none").await, Ok(None));
        let keys = objects.list("journal/").await.unwrap();
        assert_eq!(keys, ["journal/a&b".into(), Box::from("journal/c")]);
        let dots = put("journal/../version").await;
        assert!(matches!(dots, Err(PlatformError::Refused(_))), "{dots:?}");
    });
}

#[test]
fn the_instance_list_is_read_and_sorted() {
    let fake = FakePlatform::start(|_| {
        answer(
            200,
            r#"{"items":[{"endpoints":[
            {"addresses":["127.0.0.2"],"zone":"z1","targetRef":{"name":"r2"},
             "conditions":{"ready":false,"serving":true,"terminating":true}},
            {"addresses":["127.0.0.1"],"zone":"z1","targetRef":{"name":"r1"}},
            {"addresses":["127.0.0.3"]}]}]}"#,
        )
    });
    let list = InstanceList::new(fake.address, "default", PoolSettings::default());
    let entries = smol::block_on(list.read()).unwrap();
    let shown: Vec<_> = entries
        .iter()
        .map(|entry| (entry.instance.as_str(), entry.ready, entry.terminating))
        .collect();
    assert_eq!(shown, [("r1", true, false), ("r2", false, true)]);
}

/// A fake that is out, and the number of requests that reached it.
fn out_of_order() -> (FakePlatform, Arc<AtomicUsize>) {
    let asked = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&asked);
    let fake = FakePlatform::start(move |_| {
        count.fetch_add(1, Ordering::SeqCst);
        answer(503, "out")
    });
    (fake, asked)
}

#[test]
fn a_service_that_stays_out_is_left_alone() {
    let (fake, asked) = out_of_order();
    let hour = ClockSpan::from_millis(3_600_000);
    let settings = PoolSettings {
        circuit: CircuitPolicy {
            failures: 3,
            probes: BackoffPolicy {
                first: hour,
                longest: hour,
            },
            ..CircuitPolicy::default()
        },
        ..PoolSettings::default()
    };
    let table = Table::new(fake.address, settings);
    for _ in 0..10 {
        let read = smol::block_on(table.get("a"));
        assert!(matches!(read, Err(PlatformError::Outage(_))), "{read:?}");
    }
    assert_eq!(asked.load(Ordering::SeqCst), 3);
    assert!(table.is_out());
}

#[test]
fn writes_beyond_the_share_are_not_sent_while_reads_go_on() {
    let asked = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&asked);
    let fake = FakePlatform::start(move |_| {
        count.fetch_add(1, Ordering::SeqCst);
        answer(200, r#"{"succeeded":true}"#)
    });
    let policy = SharePolicy {
        rate: PlatformRate::ZERO,
        burst: 2,
    };
    let gate = WriteGate::new(policy, ClockSpan::default());
    let table = table(&fake).with_writes(&gate);
    let objects = Objects::new(fake.address, "b", PoolSettings::default()).with_writes(&gate);
    smol::block_on(async {
        assert!(table.txn(&insert(), WriteClass::Money).await.is_ok());
        let put = objects.put_new("k", Vec::new(), WriteClass::Journal).await;
        assert!(matches!(put, Err(PlatformError::Throttled(_))), "{put:?}");
        assert!(table.txn(&insert(), WriteClass::Money).await.is_ok());
        let write = table.txn(&insert(), WriteClass::Money).await;
        assert!(
            matches!(write, Err(PlatformError::Throttled(_))),
            "{write:?}"
        );
        assert!(table.get("a").await.is_ok());
    });
    assert_eq!(asked.load(Ordering::SeqCst), 3);
}
