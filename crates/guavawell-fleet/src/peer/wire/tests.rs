use guavawell_core::budget::BackendAssignment;
use guavawell_core::budget::HandBackAnswer;
use guavawell_core::budget::HandBackRequest;
use guavawell_core::budget::HandoverAck;
use guavawell_core::budget::IncarnationAnswer;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::LedgerEntry;
use guavawell_core::budget::LedgerHandover;
use guavawell_core::budget::RecordStamp;
use guavawell_core::budget::RefusalReason;
use guavawell_core::budget::ReleaseAnswer;
use guavawell_core::budget::ReleaseRequest;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::ReserveRequest;
use guavawell_core::budget::SealAnswer;
use guavawell_core::budget::SealRequest;
use guavawell_core::budget::SettleAnswer;
use guavawell_core::budget::SettleRequest;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::TakeoverRequest;
use guavawell_core::budget::TokenPool;
use guavawell_core::budget::WitnessAck;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::budget::WitnessRecord;
use guavawell_core::budget::WitnessRefusal;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::BackendId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::ShardId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;
use guavawell_core::manifest::ContentDigest;
use guavawell_core::manifest::VersionProposal;
use guavawell_core::manifest::VersionRow;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;

use super::LedgerPiece;
use super::PieceAssembly;
use super::WireAsk;
use super::WireError;
use super::read_answer;
use super::read_ask;
use super::split_handover;
use super::write_answer;
use super::write_ask;
use crate::peer::message::PeerRefusal;
use crate::peer::message::PeerReply;
use crate::peer::message::PeerRequest;
use crate::peer::message::SlotAsk;
use crate::peer_capnp::answer;
use crate::peer_capnp::ask;

const TOKENS: TokenCount = TokenCount::new(u64::MAX);
const EPOCH: SlotEpoch = SlotEpoch::new(9);
const DIGEST: RequestDigest = RequestDigest::new(0x0123_4567_89ab_cdef);
const ATTEMPT: AttemptId = AttemptId::new(0x0123_4567_89ab_cdef_fedc_ba98_7654_3210);
const WAIT: ClockSpan = ClockSpan::from_millis(250);

fn version_row() -> VersionRow {
    let proposal = VersionProposal {
        base: ManifestVersion::default(),
        root: ContentDigest::of(b"root"),
        who: "anna".into(),
        when: ClockTime::from_millis(5),
        nonce: u64::MAX,
    };
    proposal.on_top_of(None).unwrap()
}

fn life(instance: &str) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: instance.parse().unwrap(),
        incarnation: IncarnationId::new(u64::MAX - 1),
    }
}

fn identity() -> RequestIdentity {
    RequestIdentity {
        organisation: "kivisild".parse().unwrap(),
        request: "r-1".parse().unwrap(),
        minted: true,
    }
}

fn backend() -> BackendId {
    "runner-1".parse().unwrap()
}

fn slot() -> SlotId {
    SlotId {
        zone: "tln-a".parse().unwrap(),
        shard: ShardId::new(u16::MAX),
    }
}

fn stamp() -> RecordStamp {
    RecordStamp {
        slot: slot(),
        epoch: EPOCH,
        holder: life("tln-a-1"),
        witness: life("tln-b-1"),
    }
}

fn grant(pool: TokenPool) -> ReserveGrant {
    ReserveGrant {
        holder: life("tln-a-1"),
        tenure: EPOCH,
        pool,
        amount: TOKENS,
    }
}

fn row(witness: Option<InstanceIncarnation>) -> SlotRow {
    SlotRow {
        holder: life("tln-a-1"),
        witness,
        epoch: EPOCH,
        tenure: SlotEpoch::new(3),
    }
}

fn entries() -> Vec<LedgerEntry> {
    let (identity, attempt) = (identity(), ATTEMPT);
    let budget: guavawell_core::id::BudgetId = "b-1".parse().unwrap();
    let reserve = |pool| LedgerEntry::Reserve {
        identity: identity.clone(),
        attempt,
        budget: budget.clone(),
        pool,
        amount: TOKENS,
        router: life("mrd-1-1"),
        digest: DIGEST,
    };
    let settle = |backend| LedgerEntry::Settle {
        identity: identity.clone(),
        attempt,
        charged: TOKENS,
        backend,
    };
    vec![
        reserve(TokenPool::Witnessed),
        reserve(TokenPool::Float),
        LedgerEntry::Serve {
            identity: identity.clone(),
            attempt,
            backend: backend(),
        },
        settle(None),
        settle(Some(backend())),
        LedgerEntry::Release {
            identity: identity.clone(),
            attempt,
        },
        LedgerEntry::Seal {
            identity: identity.clone(),
        },
        LedgerEntry::Forget {
            identity: identity.clone(),
        },
        LedgerEntry::RaiseFloat {
            budget: budget.clone(),
            tokens: TOKENS,
        },
        LedgerEntry::LowerFloat {
            budget: budget.clone(),
            tokens: TokenCount::ZERO,
        },
        LedgerEntry::Rebase {
            budget: budget.clone(),
            tenure: EPOCH,
        },
    ]
}

fn witness_messages() -> Vec<WitnessMessage> {
    let refusal = |reason| {
        WitnessMessage::Refusal(WitnessRefusal {
            stamp: stamp(),
            reason,
        })
    };
    vec![
        WitnessMessage::Record(WitnessRecord {
            stamp: stamp(),
            sequence: 7,
            entries: entries(),
        }),
        WitnessMessage::Record(WitnessRecord {
            stamp: stamp(),
            sequence: u64::MAX,
            entries: Vec::new(),
        }),
        WitnessMessage::Ack(WitnessAck {
            stamp: stamp(),
            sequence: 7,
        }),
        refusal(RefusalReason::UnknownStamp),
        refusal(RefusalReason::Stopped),
        refusal(RefusalReason::Gap),
        WitnessMessage::HandoverAck(HandoverAck {
            stamp: stamp(),
            handover: 4,
        }),
    ]
}

fn requests() -> Vec<PeerRequest> {
    let reserve = |idempotent| {
        PeerRequest::Reserve(SlotAsk::new(
            slot(),
            ReserveRequest {
                identity: identity(),
                attempt: ATTEMPT,
                budget: "b-1".parse().unwrap(),
                amount: TOKENS,
                router: life("mrd-1-1"),
                idempotent,
                digest: DIGEST,
            },
        ))
    };
    let settle = |pool, backend| {
        PeerRequest::Settle(SlotAsk::new(
            slot(),
            SettleRequest {
                identity: identity(),
                attempt: ATTEMPT,
                grant: grant(pool),
                actual: TOKENS,
                backend,
            },
        ))
    };
    let takeover = |witness| {
        PeerRequest::Takeover(TakeoverRequest {
            slot: slot(),
            row: row(witness),
        })
    };
    let mut requests = vec![
        reserve(true),
        reserve(false),
        settle(TokenPool::Witnessed, None),
        settle(TokenPool::Float, Some(backend())),
        PeerRequest::Release(SlotAsk::new(
            slot(),
            ReleaseRequest {
                identity: identity(),
                attempt: ATTEMPT,
                before: None,
            },
        )),
        PeerRequest::Note(SlotAsk::new(
            slot(),
            BackendAssignment {
                identity: identity(),
                attempt: ATTEMPT,
                backend: backend(),
            },
        )),
        PeerRequest::Seal(SlotAsk::new(
            slot(),
            SealRequest {
                identity: identity(),
            },
        )),
        PeerRequest::HandBack(HandBackRequest {
            slot: slot(),
            budget: "b-1".parse().unwrap(),
            wanted: TOKENS,
        }),
        takeover(None),
        takeover(Some(life("tln-b-1"))),
        PeerRequest::Life,
        PeerRequest::Version,
        PeerRequest::Pages(Vec::new()),
        PeerRequest::Pages(vec![ContentDigest::of(b"a"), ContentDigest::of(b"b")]),
    ];
    requests.extend(witness_messages().into_iter().map(PeerRequest::Witness));
    requests
}

fn reserve_answers() -> Vec<ReserveAnswer> {
    let joined = |backend| ReserveAnswer::Joined {
        attempt: ATTEMPT,
        router: life("kei-1-1"),
        backend,
    };
    let billed = |backend| ReserveAnswer::AlreadyBilled {
        attempt: ATTEMPT,
        charged: TOKENS,
        backend,
    };
    let exhausted = |retry_after| ReserveAnswer::Exhausted {
        retry_after,
        elsewhere: TOKENS,
    };
    vec![
        ReserveAnswer::Granted(grant(TokenPool::Float)),
        joined(None),
        joined(Some(backend())),
        billed(None),
        billed(Some(backend())),
        ReserveAnswer::Sealed,
        ReserveAnswer::Mismatch,
        exhausted(None),
        exhausted(Some(WAIT)),
        exhausted(Some(ClockSpan::default())),
        ReserveAnswer::Unreachable { retry_after: WAIT },
        ReserveAnswer::NotHolder { holder: None },
        ReserveAnswer::NotHolder {
            holder: Some(life("kei-1-1")),
        },
    ]
}

fn settle_answers() -> Vec<SettleAnswer> {
    vec![
        SettleAnswer::Settled { charged: TOKENS },
        SettleAnswer::AlreadySettled {
            attempt: ATTEMPT,
            charged: TOKENS,
        },
        SettleAnswer::Pending {
            charged: TOKENS,
            retry_after: WAIT,
        },
        SettleAnswer::Unknown,
        SettleAnswer::NotHolder { holder: None },
        SettleAnswer::NotHolder {
            holder: Some(life("kei-1-1")),
        },
    ]
}

fn seal_answers() -> Vec<SealAnswer> {
    vec![
        SealAnswer::Sealed,
        SealAnswer::Running { attempt: ATTEMPT },
        SealAnswer::AlreadyBilled {
            attempt: ATTEMPT,
            charged: TOKENS,
        },
        SealAnswer::Unreachable { retry_after: WAIT },
        SealAnswer::NotHolder { holder: None },
    ]
}

fn replies() -> Vec<PeerReply> {
    let mut replies = vec![
        PeerReply::Release(ReleaseAnswer::Released),
        PeerReply::Release(ReleaseAnswer::Pending { retry_after: WAIT }),
        PeerReply::Release(ReleaseAnswer::AlreadySettled { charged: TOKENS }),
        PeerReply::Release(ReleaseAnswer::NotHolder { holder: None }),
        PeerReply::HandBack(HandBackAnswer::Given { tokens: TOKENS }),
        PeerReply::HandBack(HandBackAnswer::NotHolder {
            holder: Some(life("kei-1-1")),
        }),
        PeerReply::Life(IncarnationAnswer {
            incarnation: IncarnationId::new(5),
        }),
        PeerReply::Version(None),
        PeerReply::Version(Some(version_row())),
        PeerReply::Pages(Vec::new()),
        PeerReply::Pages(vec![b"{}".to_vec(), vec![1; 70_000]]),
        PeerReply::Accepted,
        PeerReply::Refused(PeerRefusal::Unsupported),
        PeerReply::Refused(PeerRefusal::Malformed),
        PeerReply::Refused(PeerRefusal::Overloaded),
    ];
    replies.extend(reserve_answers().into_iter().map(PeerReply::Reserve));
    replies.extend(settle_answers().into_iter().map(PeerReply::Settle));
    replies.extend(seal_answers().into_iter().map(PeerReply::Seal));
    let witness = witness_messages().into_iter();
    replies.extend(witness.filter_map(PeerReply::from_witness));
    replies
}

fn carry_ask(wire_ask: &WireAsk) -> Result<WireAsk, WireError> {
    let mut message = capnp::message::Builder::new_default();
    write_ask(message.init_root::<ask::Builder<'_>>(), wire_ask);
    read_ask(message.get_root_as_reader()?)
}

#[test]
fn every_request_arrives_as_it_was_sent() {
    for request in requests() {
        let sent = WireAsk::Request(Box::new(request));
        assert_eq!(carry_ask(&sent).unwrap(), sent);
    }
}

#[test]
fn every_reply_arrives_as_it_was_sent() {
    for sent in replies() {
        let mut message = capnp::message::Builder::new_default();
        write_answer(message.init_root::<answer::Builder<'_>>(), &sent);
        let read = read_answer(message.get_root_as_reader().unwrap());
        assert_eq!(read.unwrap(), sent);
    }
}

#[test]
fn a_wrong_id_is_a_wrong_value() {
    let mut message = capnp::message::Builder::new_default();
    let mut note = message.init_root::<ask::Builder<'_>>().init_note();
    note.set_backend("not an id");
    let read = read_ask(message.get_root_as_reader().unwrap());
    assert!(matches!(read, Err(WireError::WrongValue(_))), "{read:?}");
}

fn handover() -> LedgerHandover {
    let mut ledger = SlotLedger::new(EPOCH);
    for entry in entries() {
        ledger.apply(&entry);
    }
    LedgerHandover {
        stamp: stamp(),
        handover: 4,
        ledger,
    }
}

fn assemble(pieces: Vec<LedgerPiece>) -> Result<Option<LedgerHandover>, WireError> {
    let mut assembly = PieceAssembly::default();
    let mut whole = None;
    for piece in pieces {
        let carried = carry_ask(&WireAsk::Piece(Box::new(piece))).unwrap();
        let WireAsk::Piece(piece) = carried else {
            panic!("a piece arrived as another request");
        };
        whole = assembly.push(*piece)?;
    }
    Ok(whole)
}

#[test]
fn a_handover_arrives_whole_whatever_the_size_of_its_pieces() {
    for piece_bytes in [1, 7, 64, 1 << 20] {
        let pieces = split_handover(&handover(), piece_bytes);
        assert_eq!(assemble(pieces).unwrap(), Some(handover()));
    }
}

#[test]
fn a_handover_with_a_piece_missing_is_refused() {
    let mut pieces = split_handover(&handover(), 64);
    pieces.remove(1);
    assert!(assemble(pieces).is_err());
    let mut pieces = split_handover(&handover(), 64);
    pieces.remove(0);
    assert!(assemble(pieces).is_err());
}

#[test]
fn a_new_handover_replaces_one_that_was_left_unfinished() {
    let mut pieces = split_handover(&handover(), 64);
    pieces.truncate(2);
    let mut later = handover();
    later.handover = 5;
    pieces.extend(split_handover(&later, 64));
    assert_eq!(assemble(pieces).unwrap(), Some(later));
}
