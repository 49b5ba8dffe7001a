//! Asks about slots from a router that the fleet's gossip does not know.

use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveRequest;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::shard_of;
use guavawell_core::id::AttemptId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ShardId;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;
use guavawell_demo::fleet::DemoFleet;
use guavawell_demo::fleet::FleetSettings;
use guavawell_fleet::event::EventLog;
use guavawell_fleet::peer::PeerClient;
use guavawell_fleet::peer::PeerClientSettings;
use guavawell_fleet::peer::PeerRefusal;
use guavawell_fleet::peer::PeerReply;
use guavawell_fleet::peer::PeerRequest;
use guavawell_fleet::peer::PeerTarget;
use guavawell_fleet::peer::SlotAsk;
use guavawell_fleet::settings::PeerSettings;

const SHARDS: u16 = 8;

fn stranger() -> InstanceIncarnation {
    InstanceIncarnation {
        instance: "stranger".parse().expect("a good id"),
        incarnation: IncarnationId::new(1),
    }
}

fn client() -> PeerClient {
    let settings = PeerClientSettings {
        peers: PeerSettings {
            plain_loopback: true,
            ..PeerSettings::default()
        },
        life: stranger(),
        tls: None,
        log: EventLog::off(stranger().instance, stranger().incarnation),
    };
    PeerClient::start(&settings).expect("a thread")
}

fn reserve(shard: ShardId) -> PeerRequest {
    let organisation = "org-0".parse().expect("a good id");
    let slot = SlotId {
        zone: "zone-1".parse().expect("a good id"),
        shard,
    };
    let ask = ReserveRequest {
        identity: RequestIdentity::from_caller(organisation, "k").expect("a good id"),
        attempt: AttemptId::new(1),
        budget: "budget-0".parse().expect("a good id"),
        amount: TokenCount::new(10),
        router: stranger(),
        idempotent: true,
        digest: RequestDigest::default(),
    };
    PeerRequest::Reserve(SlotAsk::new(slot, ask))
}

/// What every router of the fleet replies.
async fn replies(fleet: &DemoFleet, client: &PeerClient, request: &PeerRequest) -> Vec<PeerReply> {
    let mut replies = Vec::new();
    for router in &fleet.routers {
        let handle = router.handle.as_ref().expect("it runs");
        let target = PeerTarget {
            instance: router.id.clone(),
            address: handle.peer_address(),
            incarnation: None,
        };
        let reply = client.call(&target, request.clone()).await;
        replies.push(reply.expect("a reply"));
    }
    replies
}

#[test]
fn an_ask_names_its_slot_and_needs_no_gossip() {
    smol::block_on(async {
        let settings = FleetSettings {
            shards: SHARDS,
            ..FleetSettings::default()
        };
        let mut fleet = DemoFleet::start(settings).await.expect("the fleet starts");
        let client = client();
        let shard = shard_of(&"org-0".parse().expect("a good id"), SHARDS);
        let right = replies(&fleet, &client, &reserve(shard)).await;
        let granted =
            |reply: &&PeerReply| matches!(reply, PeerReply::Reserve(ReserveAnswer::Granted(_)));
        let not_holder = |reply: &&PeerReply| {
            matches!(reply, PeerReply::Reserve(ReserveAnswer::NotHolder { .. }))
        };
        assert_eq!(right.iter().filter(granted).count(), 1, "{right:?}");
        assert_eq!(right.iter().filter(not_holder).count(), 3, "{right:?}");
        // A slot that does not decide for the organisation is nobody's answer.
        let other = ShardId::new((shard.get() + 1) % SHARDS);
        let wrong = replies(&fleet, &client, &reserve(other)).await;
        let malformed = PeerReply::Refused(PeerRefusal::Malformed);
        assert!(wrong.iter().all(|reply| *reply == malformed), "{wrong:?}");
        fleet.stop();
    });
}
