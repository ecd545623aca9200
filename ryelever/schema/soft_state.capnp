@0xd1b9a3f24c7e5a11;
# Datagrams that entry hosts exchange over UDP; docs/PEERS.md describes the exchange.
# Ages and holdMs, the time from receiving the echoed datagram to sending this one, are
# durations on the sender's monotonic clock, never dates.

struct Message {
  sender @0 :Text;
  availabilityZone @1 :Text;
  boot @2 :UInt64;
  token @3 :UInt64;
  grant @4 :UInt64;
  sequence @5 :UInt32;
  echo @6 :UInt32;
  holdMs @7 :UInt32;
  configurationVersion @8 :Int64;
  # Columns cost far less to read and write than one struct per entry.
  haves @9 :Haves;
  tables @10 :List(Table);
  wants @11 :List(Want);
  pieces @12 :List(Piece);
  step @13 :UInt8;
  # Tables in which only the sign of life is new.
  alives @14 :Alives;
}

struct Haves {
  origins @0 :List(UInt32);
  versions @1 :List(UInt32);
}

struct Alives {
  origins @0 :List(UInt32);
  versions @1 :List(UInt32);
  agesCs @2 :List(UInt16);
  reportAgesCs @3 :List(UInt16);
}

struct Table {
  origin @0 :UInt32;
  member @1 :Member;
  rows @2 :List(Row);
}

struct Member {
  host @0 :Text;
  availabilityZone @1 :Text;
  address @2 :Text;
  digest @3 :Bool;
  alone @4 :Bool;
}

struct Row {
  slot @0 :UInt32;
  version @1 :UInt32;
  ageCs @2 :UInt16;
  union {
    # Sign of life.  The value is the time by which the table's reports may be older
    # than this row, in hundredths of a second.
    alive @3 :UInt16;
    demand @4 :Demand;
    suspicion @5 :Suspicion;
    leaving @6 :Leaving;
    load @7 :Load;
    report @8 :Report;
    gone @9 :Void;
  }
}

struct Demand {
  clientAccount @0 :Text;
  rate @1 :Float32;
  nInFlight @2 :UInt32;
  nWaiting @3 :UInt32;
}

struct Suspicion {
  fingerprint @0 :Text;
  nCrashes @1 :UInt32;
  crash @2 :Text;
  repeated @3 :Bool;
  proved @4 :Bool;
}

struct Leaving {
  host @0 :Text;
}

struct Load {
  target @0 :Text;
  nInFlight @1 :UInt32;
}

struct Report {
  host @0 :Text;
  boot @1 :Text;
  state @2 :Text;
  group @3 :Text;
  fencing @4 :Int64;
  rank @5 :Int32;
  model @6 :Text;
  version @7 :Text;
  adapters @8 :List(Text);
  running @9 :UInt32;
  waiting @10 :UInt32;
  kvUsed @11 :Float32;
}

struct Want {
  version @0 :Int64;
  first @1 :UInt16;
}

struct Piece {
  version @0 :Int64;
  index @1 :UInt16;
  nPieces @2 :UInt16;
  checksum @3 :Data;
  data @4 :Data;
}
