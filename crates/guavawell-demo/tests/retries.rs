//! Retries of plain services are paid for by the calls that succeed.

use std::net::SocketAddr;

use guavawell_demo::fleet::DemoFleet;
use guavawell_demo::fleet::FleetSettings;
use guavawell_demo::fleet::organisation_key;
use guavawell_fleet::settings::ShareRatio;
use guavawell_standin::fault::FaultChange;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use http_types::Url;
use smol::net::TcpStream;

/// Crashes, of the two servers by turns; with each, the server that answered
/// last and so looks best is gone. Far more than the twenty retries that are
/// saved up at the start.
const CRASHES: usize = 60;

/// Calls between two crashes.
const CALLS: usize = 3;

async fn call(router: SocketAddr) -> StatusCode {
    let url = format!("http://{router}/services/registry/lookup");
    let mut request = Request::new(Method::Post, Url::parse(&url).expect("an address"));
    let key = organisation_key(0);
    request.insert_header("authorization", format!("Bearer {key}"));
    request.set_body("{}");
    let stream = TcpStream::connect(router).await.expect("it listens");
    let answer = async_h1::connect(stream, request).await;
    answer.expect("an answer").status()
}

async fn set_crashed(fleet: &DemoFleet, service: usize, crashed: bool) {
    let change = FaultChange {
        crash: Some(crashed),
        ..FaultChange::default()
    };
    let set = fleet.services[service].set_faults(change).await;
    set.expect("its address is free");
}

#[test]
fn calls_that_succeed_pay_for_the_retries_of_others() {
    smol::block_on(async {
        let mut settings = FleetSettings {
            zones: 1,
            engines: 1,
            services: 2,
            ..FleetSettings::default()
        };
        settings.router.routing.retry_share = ShareRatio::clamped(1.0);
        settings.router.routing.eject_after_failures = u32::MAX;
        let mut fleet = DemoFleet::start(settings).await.expect("the fleet starts");
        let router = fleet.caller_addresses()[0];
        for number in 0..CRASHES {
            set_crashed(&fleet, number % 2, true).await;
            for _ in 0..CALLS {
                assert_eq!(call(router).await, StatusCode::Ok, "crash {number}");
            }
            set_crashed(&fleet, number % 2, false).await;
        }
        fleet.stop();
    });
}
