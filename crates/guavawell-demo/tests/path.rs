//! One request served from start to finish by a whole fleet in one process.

use guavawell_core::clock::ClockSpan;
use guavawell_demo::fleet::DemoFleet;
use guavawell_demo::fleet::FleetSettings;
use guavawell_demo::fleet::organisation_key;
use guavawell_load::LoadHooks;
use guavawell_load::LoadPlan;
use guavawell_load::plan::ArrivalMode;
use guavawell_load::plan::CallKind;
use guavawell_load::plan::ChatCall;
use guavawell_load::plan::RequestProfile;

fn plan(fleet: &DemoFleet) -> LoadPlan {
    LoadPlan {
        targets: fleet.caller_addresses().into(),
        arrival: ArrivalMode::Closed { connections: 4 },
        duration: None,
        requests: Some(40),
        idle_timeout: ClockSpan::from_millis(10_000),
        profiles: Box::new([RequestProfile {
            key: organisation_key(0).into(),
            call: CallKind::Chat(ChatCall {
                model: "draft-7b".parse().expect("a constant id"),
                ..ChatCall::default()
            }),
            ..RequestProfile::default()
        }]),
        ..LoadPlan::default()
    }
}

#[test]
fn every_request_is_answered_whole() {
    smol::block_on(async {
        let mut fleet = DemoFleet::start(FleetSettings::default())
            .await
            .expect("the fleet starts");
        let plan = plan(&fleet);
        let report = smol::unblock(move || guavawell_load::run(plan, LoadHooks::default())).await;
        let report = report.expect("the load runs");
        fleet.stop();
        assert_eq!(report.counts.answered, 40, "{}", report.to_json());
    });
}
