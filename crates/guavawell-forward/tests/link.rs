//! Decisions on the link take effect only where overload is expected and the rate of the
//! link is stated. Guards against an instance elsewhere that refuses requests or is not
//! ready because of them.

use std::rc::Rc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::AdmissionSettings;
use guavawell_core::forward::ChoiceSettings;
use guavawell_core::forward::ClientSettings;
use guavawell_core::forward::CongestionSettings;
use guavawell_core::forward::InstanceCapacity;
use guavawell_core::forward::LinkRate;
use guavawell_core::forward::ReadAheadSettings;
use guavawell_core::forward::RetryLimits;
use guavawell_core::forward::SlowStartSettings;
use guavawell_core::forward::ZoneRegions;
use guavawell_core::grant::LedgerSettings;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::TokenCount;
use guavawell_core::poison::PoisonSettings;
use guavawell_forward::field_names::FieldNames;
use guavawell_forward::link::InstanceLink;
use guavawell_forward::settings::ForwardSettings;
use guavawell_forward::settings::ListenAddresses;
use guavawell_forward::settings::TimeSettings;

const NAMES: FieldNames = FieldNames {
    request: "id",
    time_left: "left",
    usage: "usage",
    prompt: "prompt",
    last_event: "event",
    resumes: "resumes",
    organisation: "organisation",
    expected_server: "server",
    priority: "priority",
    not_run: "not-run",
    receipt: "receipt",
    load: "load",
    leaving: "Leaving",
    cold: "Cold",
    server_id: "X-Instance-Id",
    limit: "server-limit",
    fragile: "fragile",
    reserved: &[],
};

fn settings(expects_overload: bool, megabits: Option<f64>) -> ForwardSettings {
    let rate = megabits.map(|rate| LinkRate::from_megabits(rate).expect("a valid rate"));
    ForwardSettings {
        instance: "r1".parse().expect("a valid id"),
        zone: "z1".parse().expect("a valid id"),
        regions: ZoneRegions::default(),
        listen: ListenAddresses::default(),
        names: NAMES,
        times: TimeSettings::default(),
        choice: ChoiceSettings::default(),
        slow_start: SlowStartSettings::default(),
        clients: ClientSettings::default(),
        admission: AdmissionSettings::default(),
        read_ahead: ReadAheadSettings::default(),
        capacity: InstanceCapacity {
            link: rate,
            ..InstanceCapacity::default()
        },
        expects_overload,
        may_start_fleet: true,
        congestion: CongestionSettings::default(),
        retry_limits: RetryLimits::default(),
        ledger: LedgerSettings::default(),
        poison: PoisonSettings::default(),
    }
}

/// A link after a second of 1,000 requests that need tokens.
fn loaded(expects_overload: bool, megabits: Option<f64>) -> InstanceLink {
    let link = InstanceLink::new(&settings(expects_overload, megabits), Rc::default());
    let organisation: OrganisationId = "large".parse().expect("a valid id");
    for at in 0..1_000 {
        let now = ClockTime::from_millis(at);
        link.connection_began();
        link.note_connect(ClockSpan::from_millis(2_000), now);
        link.note_tokens(&organisation, TokenCount::new(10_000), now);
    }
    link
}

#[test]
fn a_link_decides_only_where_overload_is_expected_and_its_rate_is_stated() {
    assert!(loaded(true, Some(10.0)).decides());
    let now = ClockTime::from_millis(1_000);
    for (expects_overload, megabits) in [(false, Some(10.0)), (true, None), (false, None)] {
        let link = loaded(expects_overload, megabits);
        assert!(!link.decides());
        assert!(link.is_ready());
        assert!(!link.is_nearly_full(now));
        assert!(!link.ends_connections(now));
    }
}
