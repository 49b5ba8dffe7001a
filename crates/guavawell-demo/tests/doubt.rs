//! A call whose answer was lost: never sent again, and charged by the record.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use guavawell_demo::fleet::DemoFleet;
use guavawell_demo::fleet::FleetSettings;
use guavawell_demo::fleet::organisation_key;
use guavawell_fleet::settings::EventTarget;
use guavawell_fleet::settings::FilePath;
use guavawell_standin::fault::FaultChange;
use smol::Timer;

/// Looks at a state before it counts as never reached.
const MAX_LOOKS: usize = 600;

fn call(address: SocketAddr, id: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the router listens");
    let request = format!(
        "POST /services/registry/cancel HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer {}\r\n\
         Idempotency-Key: {id}\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{{}}",
        organisation_key(0)
    );
    stream
        .write_all(request.as_bytes())
        .expect("the router reads");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    text
}

async fn until(is_reached: impl Fn() -> bool) {
    for _ in 0..MAX_LOOKS {
        if is_reached() {
            return;
        }
        Timer::after(Duration::from_millis(50)).await;
    }
    panic!("the state was not reached");
}

#[test]
fn a_lost_answer_is_unknown_run_once_and_charged_by_the_record() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut settings = FleetSettings {
        zones: 1,
        routers: 2,
        engines: 1,
        services: 1,
        organisations: 1,
        shards: 1,
        ..FleetSettings::default()
    };
    settings.router.log.events = EventTarget::File(FilePath::new(folder.path()));
    smol::block_on(async {
        let mut fleet = DemoFleet::start(settings).await.expect("the fleet starts");
        let service = fleet.services[0].clone();
        let lose = FaultChange {
            lose_answers: Some(1),
            ..FaultChange::default()
        };
        service.set_faults(lose).await.expect("the switch is set");
        let router = fleet.caller_addresses()[0];
        let first = smol::unblock(move || call(router, "claim-1")).await;
        assert!(first.contains("\"outcome\":\"unknown\""), "{first}");
        let again = smol::unblock(move || call(router, "claim-1")).await;
        assert!(again.contains("\"reason\":\"already_ran\""), "{again}");
        until(|| fleet.live().all(|router| router.doubts() == 0)).await;
        assert_eq!(service.truth().total, 1, "it ran once");
        fleet.stop();
    });
    let logs = std::fs::read_dir(folder.path()).expect("event logs");
    let text: String = logs
        .map(|log| std::fs::read_to_string(log.expect("a log").path()).expect("a text"))
        .collect();
    let of_kind = |kind: &str| text.lines().filter(|line| line.contains(kind)).count();
    assert_eq!(of_kind("\"attempt.in_doubt\""), 1);
    assert_eq!(of_kind("\"attempt.resolved\""), 1);
}
