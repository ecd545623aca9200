@0xc3f6b0d27a914e58;
# What entry hosts that relay requests tell each other over UDP, several times a second.

struct HostWord {
  host @0 :Text;
  availabilityZone @1 :Text;
  # Distinguishes the incarnations of a host.
  boot @2 :UInt64;
  sequence @3 :UInt32;
  # True while the sender's reads of the store are answered.
  readsStore @4 :Bool;
  # True while the sender is stopping.
  stopping @5 :Bool;
  configurationVersion @6 :Int64;
  # Requests in flight from the sender: backend servers, and as many numbers.  Columns
  # are read in a quarter of the time of a list of pairs.
  loadedServers @7 :List(Text);
  inFlight @20 :List(UInt16);
  # Work that arrives at the sender, in replica groups kept busy, by model.
  demands @8 :List(Demand);
  # Heads whose groups stand still for the sender.
  still @9 :List(Text);
  # Availability zones that the sender plans for.
  plans @10 :List(Text);
  # Zones in which the sender takes a group apart, or wants to.
  reshapes @11 :List(Text);
  # Heads that others saw stand still, and whose streams go on at the sender.
  moving @12 :List(Text);
  # Bytes of the configuration in force at the sender.
  configurationSize @13 :UInt32;
  # Requests that were in crashes at the sender a short while ago.
  suspicions @14 :List(Suspicion);
  # Where the sender is reached; a word that is passed on comes from elsewhere.
  address @15 :Text;
  # Seconds until the sender's next word.
  interval @16 :Float32;
  # True where the sender speaks for its zone, and for how many hosts.
  forZone @17 :Bool;
  nHosts @18 :UInt16;
  # True where another host passes the word on.
  passedOn @19 :Bool;
}

# What one host has read of the backend servers' topic, for the others.
struct ServerNews {
  start @0 :UInt64;
  end @1 :UInt64;
  records @2 :List(Record);
  # The host that has read it.
  reader @3 :Text;
  # True where the servers said so themselves, while the store was away.
  reported @4 :Bool;
  # True where another host passes it on; such news go no further.
  passedOn @5 :Bool;
}

struct Record {
  key @0 :Text;
  value @1 :Data;
  offset @2 :UInt64;
}

struct Suspicion {
  fingerprint @0 :Text;
  nCrashes @1 :UInt32;
  crash @2 :Text;
  repeated @3 :Bool;
  proved @4 :Bool;
}

struct Demand {
  model @0 :Text;
  groups @1 :Float32;
}
