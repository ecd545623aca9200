@0xc3f6b0d27a914e58;
# What entry hosts that relay requests tell each other over UDP, several times a second.

# What differs from one word of a host to the next.
struct HostHeartbeat {
  sequence @0 :UInt32;
  # Requests in flight from the sender: backend servers, and as many numbers.  Columns
  # are read in a quarter of the time of a list of pairs.
  loadedServers @1 :List(Text);
  inFlight @2 :List(UInt16);
  # Work that arrives at the sender, in replica groups kept busy, by model.
  demands @3 :List(Demand);
  # A packed HostState.  It stays the same for seconds, and is read once for each time
  # that it changes.
  state @4 :Data;
  # What answers at the sender said of backend servers' rate limits.
  rateLimits @5 :List(RateLimit);
  # Backend servers with a rate limit that the sender has requests for.
  wantedServers @6 :List(Text);
}

struct HostState {
  host @0 :Text;
  availabilityZone @1 :Text;
  # Distinguishes the incarnations of a host.
  boot @2 :UInt64;
  # True while the sender's reads of the store are answered.
  readsStore @3 :Bool;
  # True while the sender is stopping.
  stopping @4 :Bool;
  configurationVersion @5 :Int64;
  # Heads whose groups stand still for the sender.
  still @6 :List(Text);
  # Availability zones that the sender plans for.
  plans @7 :List(Text);
  # Zones in which the sender takes a group apart, or wants to.
  reshapes @8 :List(Text);
  # Heads that others saw stand still, and whose streams go on at the sender.
  moving @9 :List(Text);
  # Bytes of the configuration in force at the sender.
  configurationSize @10 :UInt32;
  # Requests that were in crashes at the sender a short while ago.
  suspicions @11 :List(Suspicion);
  # Where the sender is reached; a word that is passed on comes from elsewhere.
  address @12 :Text;
  # Seconds until the sender's next word.
  interval @13 :Float32;
  # True where the sender speaks for its zone, and for how many hosts.
  forZone @14 :Bool;
  nHosts @15 :UInt16;
  # True where another host passes the word on.
  passedOn @16 :Bool;
  # Highest era of the store that the sender has seen or heard of.
  storeEra @17 :UInt32;
  # Zones that are evacuated as the sender knows, and up to where the operator's topic
  # was read for that.
  evacuatedZones @18 :List(Text);
  operatorEra @19 :UInt32;
  operatorOffset @20 :UInt64;
  # True where the sender knows all backend servers.
  knowsServers @21 :Bool;
}

# What one host has read of the backend servers' topic, for the others.
struct ServerUpdates {
  start @0 :UInt64;
  end @1 :UInt64;
  records @2 :List(Record);
  # The host that has read it.
  reader @3 :Text;
  # True where the servers said so themselves, while the store was away.
  reported @4 :Bool;
  # True where another host passes it on; such updates go no further.
  passedOn @5 :Bool;
  # Era of the store that the offsets belong to.
  era @6 :UInt32;
  # True where the sender is to be asked for the records, as they are many.
  toFetch @7 :Bool;
}

# A datagram that a host takes, and sends on to some hosts of its zone.
struct Relayed {
  # Names of these hosts.
  hosts @0 :List(Text);
  datagram @1 :Data;
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

struct RateLimit {
  server @0 :Text;
  # Requests a second; negative where the server names no limit any more.
  rate @1 :Float64;
  # Seconds since the answer came.
  age @2 :Float32;
  # Tells the server's incarnations apart; negative where it doesn't say.
  startedAt @3 :Int64;
}
