//! Merging of records, encoding of messages and rendezvous hashing.

use std::net::SocketAddr;

use guavawell_core::id::IncarnationId;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::instance::GossipMessage;
use guavawell_core::instance::GossipRumour;
use guavawell_core::instance::MemberRecord;
use guavawell_core::instance::MessageBody;
use guavawell_core::instance::Reachability;
use guavawell_core::instance::owner;
use guavawell_core::instance::owners;

use crate::pump::instance;
use crate::pump::zone;

fn record(random: &mut fastrand::Rng) -> MemberRecord {
    let incarnation = random.u64(1..3);
    let address = SocketAddr::from(([10, 0, 0, 1], 8_000 + u16::from(incarnation == 2)));
    let states = [
        Reachability::Reachable,
        Reachability::Suspected,
        Reachability::Unreachable,
    ];
    MemberRecord {
        instance: instance(1),
        incarnation: IncarnationId::new(incarnation),
        refutation: random.u32(0..3),
        zone: zone(0),
        caller_address: address,
        peer_address: address,
        gossip_address: address,
        reachability: states[random.usize(0..3)],
        leaving: random.bool(),
        manifest: ManifestVersion::new(random.u64(0..3)),
    }
}

#[test]
fn merge_gives_the_same_in_any_order() {
    let mut random = fastrand::Rng::with_seed(1);
    for _ in 0..2_000 {
        let mut records: Vec<_> = (0..5).map(|_| record(&mut random)).collect();
        let merge_all = |records: &[MemberRecord]| {
            let mut merged = records[0].clone();
            for record in records {
                merged.merge(record);
            }
            merged
        };
        let expected = merge_all(&records);
        random.shuffle(&mut records);
        assert_eq!(merge_all(&records), expected);
    }
}

#[test]
fn leaving_is_never_undone_within_an_incarnation() {
    let mut random = fastrand::Rng::with_seed(2);
    for _ in 0..2_000 {
        let mut merged = record(&mut random);
        let before = merged.clone();
        merged.merge(&record(&mut random));
        let same_incarnation = merged.incarnation == before.incarnation;
        assert!(merged.incarnation >= before.incarnation);
        assert!(!same_incarnation || merged.leaving >= before.leaving);
    }
}

#[test]
fn incomplete_and_overlong_messages_are_rejected() {
    let mut random = fastrand::Rng::with_seed(3);
    let message = GossipMessage {
        sender: record(&mut random),
        body: MessageBody::Digest {
            buckets: vec![7; 64],
            notes: 1,
        },
        rumours: vec![GossipRumour::Member(record(&mut random))],
    };
    let bytes = message.encode().expect("encodes");
    assert_eq!(bytes.len(), message.encoded_len());
    assert_eq!(GossipMessage::decode(&bytes), Ok(message));
    for length in 0..bytes.len() {
        assert!(GossipMessage::decode(&bytes[..length]).is_err());
    }
    let longer = [&bytes[..], &[0]].concat();
    assert!(GossipMessage::decode(&longer).is_err());
    for _ in 0..2_000 {
        let length = random.usize(0..200);
        let noise: Vec<u8> = std::iter::repeat_with(|| random.u8(..))
            .take(length)
            .collect();
        let _result = GossipMessage::decode(&noise);
    }
}

#[test]
fn ownership_is_balanced_and_only_keys_of_a_removed_member_move() {
    let members: Vec<InstanceId> = (0..56).map(instance).collect();
    let keys: Vec<String> = (0..5_600).map(|number| format!("slot/{number}")).collect();
    let mut owned = vec![0_usize; members.len()];
    for key in &keys {
        let chosen = owner(&members, key.as_bytes()).expect("members");
        let index = members.binary_search(chosen).expect("a member");
        owned[index] += 1;
    }
    assert!(
        owned.iter().all(|count| (50..170).contains(count)),
        "{owned:?}"
    );
    let removed = &members[10];
    let rest: Vec<_> = members.iter().filter(|member| *member != removed).collect();
    for key in &keys {
        let before = owner(&members, key.as_bytes()).expect("members");
        let after = owner(rest.iter().copied(), key.as_bytes()).expect("members");
        assert!(before == removed || before == after);
    }
    assert_eq!(owner([], b"slot/1"), None);
    let ranked = owners(&members, b"slot/1");
    assert_eq!(ranked.len(), members.len());
    assert_eq!(Some(ranked[0]), owner(&members, b"slot/1"));
}
