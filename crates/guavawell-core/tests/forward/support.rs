//! Servers and requests for the tests.

use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ChoiceError;
use guavawell_core::forward::ChoiceRequest;
use guavawell_core::forward::ChoiceSettings;
use guavawell_core::forward::EngineLimits;
use guavawell_core::forward::FleetView;
use guavawell_core::forward::HomeRegions;
use guavawell_core::forward::LoadFigures;
use guavawell_core::forward::PromptPart;
use guavawell_core::forward::ServerConstraints;
use guavawell_core::forward::ServerEntry;
use guavawell_core::forward::ServerFragility;
use guavawell_core::forward::ServerHealth;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerLimit;
use guavawell_core::forward::ServerPhase;
use guavawell_core::forward::ServerPick;
use guavawell_core::forward::ServerTable;
use guavawell_core::forward::ServerWarmth;
use guavawell_core::forward::ServerWork;
use guavawell_core::forward::StartTime;
use guavawell_core::forward::TokenUsage;
use guavawell_core::forward::choose_server;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ServiceId;
use guavawell_core::id::TokenCount;
use guavawell_core::id::ZoneId;
use guavawell_core::stream::SoftwareVersion;

/// Limits of the tests' engines.
pub const ENGINE: EngineLimits = EngineLimits {
    slots: 8,
    memory: TokenCount::new(200_000),
    event_tokens: 5,
};

/// Start of the tests' clock, well after its epoch.
pub const START: ClockTime = ClockTime::from_millis(1_000_000);

pub fn service() -> ServiceId {
    "pool".parse().expect("a valid id")
}

pub fn zone(name: &str) -> ZoneId {
    name.parse().expect("a valid id")
}

pub fn server(number: usize) -> ServerIncarnation {
    server_started_at(number, 1)
}

pub fn version(text: &str) -> SoftwareVersion {
    text.parse().expect("a short version")
}

/// The incarnation of a server that started at `millis`.
pub fn server_started_at(number: usize, millis: u64) -> ServerIncarnation {
    ServerIncarnation {
        id: format!("i-{number:03}").parse().expect("a valid id"),
        born: Some(StartTime::from_millis(millis)),
    }
}

/// The entry of a ready server without load.
pub fn entry(incarnation: ServerIncarnation) -> ServerEntry {
    ServerEntry {
        incarnation,
        service: service(),
        address: ([10, 0, 0, 1], 8_000).into(),
        zone: zone("z1"),
        version: version("v1"),
        slots: 8,
        phase: ServerPhase::Ready,
        announced_leaving: false,
        load: LoadFigures::default(),
        health: ServerHealth::default(),
        warmth: ServerWarmth::default(),
        work: ServerWork::default(),
        limit: ServerLimit::default(),
        fragility: ServerFragility::default(),
        suspects: Vec::new(),
    }
}

/// A table of ready servers, alternating between two zones.
pub fn table(count: usize) -> ServerTable {
    let mut table = ServerTable::default();
    for number in 0..count {
        table.upsert(ServerEntry {
            zone: zone(["z1", "z2"][number % 2]),
            ..entry(server(number))
        });
    }
    table
}

pub fn instance(number: usize) -> InstanceId {
    format!("n-{number:03}").parse().expect("a valid id")
}

/// The constraints of a request without home regions to servers without slow
/// start.
pub fn constraints<'a>(service: &'a ServiceId, own: &'a InstanceId) -> ServerConstraints<'a> {
    ServerConstraints {
        service,
        origin: None,
        homes: HomeRegions::default(),
        slow_start: None,
        fleet: FleetView {
            own,
            members: &[],
            is_recent: true,
        },
    }
}

/// Chooses a server for a request with this shared part.
pub fn choose_with(
    table: &ServerTable,
    constraints: ServerConstraints<'_>,
    part: u64,
    now: ClockTime,
) -> Result<ServerPick, ChoiceError> {
    let zone = zone("z1");
    let request = ChoiceRequest {
        constraints,
        engine: Some(ENGINE),
        zone: &zone,
        affinity: Some(PromptPart {
            id: part,
            tokens: TokenCount::new(500),
        }),
        shared_tokens: 500,
        usage: TokenUsage {
            input: TokenCount::new(1_000),
            output_limit: TokenCount::new(100),
        },
        tried: &[],
        suspect: None,
        quiet_since: None,
    };
    choose_server(table, &request, now, &ChoiceSettings::default())
}

/// Chooses a server to go over to from server 0, which has sent nothing since
/// `quiet_since`.
pub fn choose_beside(
    table: &ServerTable,
    quiet_since: ClockTime,
    now: ClockTime,
) -> Result<ServerPick, ChoiceError> {
    let (service, own, zone) = (service(), instance(0), zone("z1"));
    let tried = [server(0)];
    let request = ChoiceRequest {
        constraints: constraints(&service, &own),
        engine: Some(ENGINE),
        zone: &zone,
        affinity: None,
        shared_tokens: 0,
        usage: TokenUsage::default(),
        tried: &tried,
        suspect: None,
        quiet_since: Some(quiet_since),
    };
    choose_server(table, &request, now, &ChoiceSettings::default())
}

/// A request whose prompt has a shared part.
#[derive(Clone, Copy)]
pub struct TestRequest {
    pub part: u64,
    pub shared: u64,
    pub input: u64,
}

pub fn choose(table: &ServerTable, request: TestRequest, now: ClockTime) -> Option<ServerPick> {
    choose_without(table, request, now, &[])
}

pub fn choose_without(
    table: &ServerTable,
    request: TestRequest,
    now: ClockTime,
    tried: &[ServerIncarnation],
) -> Option<ServerPick> {
    let (service, own) = (service(), instance(0));
    let zone = zone("z1");
    let choice_request = ChoiceRequest {
        constraints: constraints(&service, &own),
        engine: Some(ENGINE),
        zone: &zone,
        affinity: Some(PromptPart {
            id: request.part,
            tokens: TokenCount::new(request.shared),
        }),
        shared_tokens: request.shared,
        usage: TokenUsage {
            input: TokenCount::new(request.input),
            output_limit: TokenCount::new(100),
        },
        tried,
        suspect: None,
        quiet_since: None,
    };
    choose_server(table, &choice_request, now, &ChoiceSettings::default()).ok()
}
