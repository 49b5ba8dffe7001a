@0xb3f1c05a7d9e2468;
# Calls between routers. docs/notes/PEERS.md tells how to generate the code
# anew. Numbers of fields are never reused: routers of neighbouring versions
# talk to each other.

# --- values ---------------------------------------------------------------

struct Life {
  # One life of one instance.
  instance @0 :Text;
  incarnation @1 :UInt64;
}

struct Identity {
  organisation @0 :Text;
  request @1 :Text;
  minted @2 :Bool;
}

struct Attempt {
  # The 128 bits of an attempt id.
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Slot {
  zone @0 :Text;
  shard @1 :UInt16;
}

struct SlotRow {
  holder @0 :Life;
  witness @1 :Life;  # null if there is none
  epoch @2 :UInt64;
  tenure @3 :UInt64;
}

enum Pool {
  witnessed @0;
  float @1;
}

struct Grant {
  holder @0 :Life;
  tenure @1 :UInt64;
  pool @2 :Pool;
  amount @3 :UInt64;
}

struct Charge {
  # What a request was charged.
  attempt @0 :Attempt;
  charged @1 :UInt64;
  backend @2 :Text;  # empty if unknown
}

struct Stamp {
  slot @0 :Slot;
  epoch @1 :UInt64;
  holder @2 :Life;
  witness @3 :Life;
}

# --- asks of a slot's holder ----------------------------------------------

struct ReserveAsk {
  identity @0 :Identity;
  attempt @1 :Attempt;
  budget @2 :Text;
  amount @3 :UInt64;
  router @4 :Life;
  idempotent @5 :Bool;
  digest @6 :UInt64;  # of the request's target and body
}

struct ReserveAnswer {
  union {
    granted @0 :Grant;
    joined :group {
      attempt @1 :Attempt;
      router @2 :Life;
      backend @3 :Text;
    }
    alreadyBilled @4 :Charge;
    sealed @5 :Void;
    mismatch @6 :Void;
    exhausted :group {
      mayRetry @7 :Bool;
      retryAfterMs @8 :UInt64;
      elsewhere @9 :UInt64;
    }
    unreachable @10 :UInt64;  # milliseconds to wait
    notHolder @11 :Life;      # without an instance if unknown
  }
}

struct SettleAsk {
  identity @0 :Identity;
  attempt @1 :Attempt;
  grant @2 :Grant;
  actual @3 :UInt64;
  backend @4 :Text;
}

struct SettleAnswer {
  union {
    settled @0 :UInt64;
    alreadySettled @1 :Charge;
    pending :group {
      charged @2 :UInt64;
      retryAfterMs @3 :UInt64;
    }
    unknown @4 :Void;
    notHolder @5 :Life;
  }
}

struct ReleaseAsk {
  identity @0 :Identity;
  attempt @1 :Attempt;
  before @2 :UInt64;  # only reservations of earlier tenures; zero: of any
}

struct ReleaseAnswer {
  union {
    released @0 :Void;
    alreadySettled @1 :UInt64;
    notHolder @2 :Life;
    pending @3 :UInt64;  # when to ask again, in milliseconds
  }
}

struct BackendNote {
  identity @0 :Identity;
  attempt @1 :Attempt;
  backend @2 :Text;
}

struct SealAnswer {
  union {
    sealed @0 :Void;
    running @1 :Attempt;
    alreadyBilled @2 :Charge;
    unreachable @3 :UInt64;
    notHolder @4 :Life;
  }
}

struct HandBackAsk {
  slot @0 :Slot;
  budget @1 :Text;
  wanted @2 :UInt64;
}

struct HandBackAnswer {
  union {
    given @0 :UInt64;
    notHolder @1 :Life;
  }
}

# --- holder and witness ---------------------------------------------------

struct LedgerEntry {
  union {
    reserve :group {
      identity @0 :Identity;
      attempt @1 :Attempt;
      budget @2 :Text;
      pool @3 :Pool;
      amount @4 :UInt64;
      router @5 :Life;
      digest @23 :UInt64;
    }
    serve :group {
      identity @6 :Identity;
      attempt @7 :Attempt;
      backend @8 :Text;
    }
    settle :group {
      identity @9 :Identity;
      attempt @10 :Attempt;
      charged @11 :UInt64;
      backend @12 :Text;
    }
    release :group {
      identity @13 :Identity;
      attempt @14 :Attempt;
    }
    seal @15 :Identity;
    forget @16 :Identity;
    raiseFloat :group {
      budget @17 :Text;
      tokens @18 :UInt64;
    }
    lowerFloat :group {
      budget @19 :Text;
      tokens @20 :UInt64;
    }
    rebase :group {
      budget @21 :Text;
      tenure @22 :UInt64;
    }
  }
}

struct WitnessRecord {
  stamp @0 :Stamp;
  sequence @1 :UInt64;
  entries @2 :List(LedgerEntry);
}

struct WitnessAck {
  stamp @0 :Stamp;
  sequence @1 :UInt64;
}

enum RefusalReason {
  unknownStamp @0;
  stopped @1;
  gap @2;
}

struct WitnessRefusal {
  stamp @0 :Stamp;
  reason @1 :RefusalReason;
}

struct HandoverAck {
  stamp @0 :Stamp;
  handover @1 :UInt64;
}

struct LedgerPiece {
  # A part of a ledger handover. The pieces of one handover go over one
  # connection, in order.
  stamp @0 :Stamp;
  handover @1 :UInt64;
  index @2 :UInt32;
  last @3 :Bool;
  ledger @4 :Data;  # bytes of the ledger's JSON text
}

struct TakeoverAsk {
  slot @0 :Slot;
  row @1 :SlotRow;
}

# --- exchanges with the platform, carried for a router that lost it --------

enum RelayService {
  table @0;
  objects @1;
}

enum RelayClass {
  # Whether the exchange writes, and for what.
  read @0;
  money @1;
  claim @2;
  journal @3;
  rest @4;
}

struct RelayAsk {
  # One exchange with the platform. Its headers follow from the service and
  # the class, so that an unconditional put of an object cannot be asked for.
  service @0 :RelayService;
  class @1 :RelayClass;
  target @2 :Text;      # path and query
  body @3 :Data;
  budgetMs @4 :UInt32;  # the carrier's time, its waits included
}

struct RelayAnswer {
  union {
    answered :group {
      status @0 :UInt16;
      body @1 :Data;
    }
    declined @2 :Text;  # not carried out; ask another
    refused @3 :Text;   # the platform refused; not applied
    lost @4 :Text;      # the write may have been applied
  }
}

# --- calls ----------------------------------------------------------------

struct Ask {
  call @0 :UInt64;  # the caller's number, unique on the connection
  slot @16 :Slot;   # what reserve, settle, release, note and seal concern
  union {
    reserve @1 :ReserveAsk;
    settle @2 :SettleAsk;
    release @3 :ReleaseAsk;
    note @4 :BackendNote;
    seal @5 :Identity;
    handBack @6 :HandBackAsk;
    record @7 :WitnessRecord;
    ack @8 :WitnessAck;
    refusal @9 :WitnessRefusal;
    ledgerPiece @10 :LedgerPiece;
    handoverAck @11 :HandoverAck;
    takeover @12 :TakeoverAsk;
    life @13 :Void;
    version @14 :Void;       # the manifest version in force
    pages @15 :List(Data);   # pages of manifests, by digest
    relay @17 :RelayAsk;
  }
}

enum Refusal {
  unsupported @0;  # the ask is of a later version
  malformed @1;    # a value in the ask is wrong
  overloaded @2;   # too many asks are running
}

struct Answer {
  call @0 :UInt64;
  union {
    reserve @1 :ReserveAnswer;
    settle @2 :SettleAnswer;
    release @3 :ReleaseAnswer;
    seal @4 :SealAnswer;
    handBack @5 :HandBackAnswer;
    ack @6 :WitnessAck;
    refusal @7 :WitnessRefusal;
    handoverAck @8 :HandoverAck;
    life @9 :UInt64;  # the answering router's incarnation
    accepted @10 :Void;
    refused @11 :Refusal;
    version @12 :Data;       # the version's row; empty if none is in force
    pages @13 :List(Data);   # those that are there, in any order
    relay @14 :RelayAnswer;
  }
}

struct AskBatch {
  order @0 :UInt64;  # the sender's Lamport clock
  asks @1 :List(Ask);
}

struct AnswerBatch {
  order @0 :UInt64;
  answers @1 :List(Answer);
}

struct Greeting {
  life @0 :Life;
  order @1 :UInt64;
}

interface Peer {
  # What a connection offers first. The certificate proves the life's instance.
  greet @0 (greeting :Greeting, sink :AnswerSink) -> (greeting :Greeting, session :PeerSession);
}

interface PeerSession {
  ask @0 (batch :AskBatch) -> (batch :AnswerBatch);
  # Returns the answers that are ready at once; the others go to the sink.

  probe @1 (order :UInt64) -> (order :UInt64);
}

interface AnswerSink {
  deliver @0 (batch :AnswerBatch);
}
