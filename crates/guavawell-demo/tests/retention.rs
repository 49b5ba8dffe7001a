//! Generations of claims, as a caller meets them at a whole fleet.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use guavawell_core::platform::WriteClass;
use guavawell_demo::fleet::DemoFleet;
use guavawell_demo::fleet::FleetSettings;
use guavawell_demo::fleet::organisation_key;
use guavawell_fleet::platform::TableOp;
use guavawell_fleet::platform::TableTxn;

fn call(address: SocketAddr, id: &str, first: Option<u64>) -> String {
    let mut stream = TcpStream::connect(address).expect("the router listens");
    let named = first.map_or_else(String::new, |first| {
        format!("X-Guavawell-Generation: {first}\r\n")
    });
    let request = format!(
        "POST /services/registry/cancel HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer {}\r\n\
         Idempotency-Key: {id}\r\n{named}Connection: close\r\nContent-Length: 2\r\n\r\n{{}}",
        organisation_key(0)
    );
    stream
        .write_all(request.as_bytes())
        .expect("the router reads");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    text.to_ascii_lowercase()
}

#[test]
fn an_old_id_is_refused_and_a_router_behind_runs_nothing_until_it_has_caught_up() {
    let settings = FleetSettings {
        zones: 1,
        routers: 2,
        engines: 1,
        services: 1,
        organisations: 1,
        shards: 1,
        ..FleetSettings::default()
    };
    smol::block_on(async {
        let mut fleet = DemoFleet::start(settings).await.expect("the fleet starts");
        let router = fleet.caller_addresses()[0];
        let ask = |id: &'static str, first| smol::unblock(move || call(router, id, first));
        let early = ask("claim-1", None).await;
        assert!(early.starts_with("http/1.1 200"), "{early}");
        assert!(early.contains("x-guavawell-generation: 0\r\n"), "{early}");
        let txn = TableTxn {
            success: vec![TableOp::put(
                "retention/generation",
                br#"{"generation":12}"#.to_vec(),
            )],
            ..TableTxn::default()
        };
        let written = fleet.table().txn(&txn, WriteClass::Rest).await;
        written.expect("the table answers");
        let behind = ask("claim-2", None).await;
        assert!(behind.contains("\"outcome\":\"retry\""), "{behind}");
        assert_eq!(fleet.services[0].truth().total, 1, "it was not sent");
        let again = ask("claim-2", None).await;
        assert!(again.starts_with("http/1.1 200"), "{again}");
        assert!(again.contains("x-guavawell-generation: 12\r\n"), "{again}");
        let old = ask("claim-3", Some(2)).await;
        assert!(old.contains("\"reason\":\"id_expired\""), "{old}");
        assert!(old.contains("\"outcome\":\"unknown\""), "{old}");
        let young = ask("claim-3", Some(3)).await;
        assert!(young.starts_with("http/1.1 200"), "{young}");
        assert_eq!(fleet.services[0].truth().total, 3);
        fleet.stop();
    });
}
