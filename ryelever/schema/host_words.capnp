@0xc3f6b0d27a914e58;
# Messages that entry hosts on the platform send to each other over UDP.

# Heartbeat, sent several times a second.  Fields that often change are in the struct
# itself, all other fields in the packed HostState.
struct HostHeartbeat {
  sequence @0 :UInt32;
  # Requests in flight from the sender: backend servers and, in a list of the same
  # length, their numbers of requests.  Two columns are read in a quarter of the time of
  # a list of pairs.
  loadedServers @1 :List(Text);
  inFlight @2 :List(UInt16);
  # Work that arrives at the sender by model, in the number of replica groups that it
  # keeps busy.
  demands @3 :List(Demand);
  # A packed HostState.  It stays the same for seconds, and receivers decode it only
  # when it has changed.
  state @4 :Data;
  # Rate limits of backend servers, from the answers that the sender received.
  rateLimits @5 :List(RateLimit);
  # Backend servers with a rate limit for which the sender has requests.
  wantedServers @6 :List(Text);
  # Requests of contended services that wait for a slot at the sender, the largest counts
  # first.
  waiting @7 :List(WaitingWork);
  # Requests a second that arrive at the sender.
  arrivalRate @8 :Float32;
}

# Part of a heartbeat that rarely changes.
struct HostState {
  host @0 :Text;
  availabilityZone @1 :Text;
  # Distinguishes the incarnations of a host.
  boot @2 :UInt64;
  # True while the store answers the sender's reads.
  readsStore @3 :Bool;
  # True while the sender is stopping.
  stopping @4 :Bool;
  configurationVersion @5 :Int64;
  # Heads of groups that are stalled according to the sender.
  still @6 :List(Text);
  # Availability zones that the sender plans for.
  plans @7 :List(Text);
  # Zones in which the sender disbands a group for another model, or wants to.
  reshapes @8 :List(Text);
  # Heads that other hosts reported as stalled and whose streams progress at the sender.
  moving @9 :List(Text);
  # Size in bytes of the configuration in force at the sender.
  configurationSize @10 :UInt32;
  # Requests that were in flight when a backend server crashed, or that have completed
  # since.
  suspicions @11 :List(Suspicion);
  # Address of the sender; a forwarded heartbeat arrives from another address.
  address @12 :Text;
  # Seconds until the sender's next heartbeat.
  interval @13 :Float32;
  # True if the sender represents its zone, and the number of hosts that the
  # heartbeat covers.
  forZone @14 :Bool;
  nHosts @15 :UInt16;
  # True if another host forwards the heartbeat.
  passedOn @16 :Bool;
  # Highest era of the store that the sender has seen in answers or heartbeats.
  storeEra @17 :UInt32;
  # Evacuated zones that the sender knows, and the position (era and offset) in the
  # operator's topic up to which this set is current.
  evacuatedZones @18 :List(Text);
  operatorEra @19 :UInt32;
  operatorOffset @20 :UInt64;
  # True once the sender knows all backend servers.
  knowsServers @21 :Bool;
  # Backend servers that recently stated in answers to the sender that they are leaving.
  leavingServers @22 :List(LeavingServer);
  # True if the sender forwards requests of other hosts to backend servers.
  forwards @23 :Bool;
  # Hosts of the sender's zone that do, in the heartbeat of a zone.
  forwarders @24 :List(Text);
  # Parts of prompts with which requests were in flight when a backend server crashed.
  suspectedParts @25 :List(Suspicion);
}

# Part of the backend servers' topic that one host has read, sent to the other hosts.
struct ServerUpdates {
  # Offset of the first record, and offset after the last one.
  start @0 :UInt64;
  end @1 :UInt64;
  records @2 :List(Record);
  # Host that read the records.
  reader @3 :Text;
  # True if the servers reported the records themselves while the store was unreachable.
  reported @4 :Bool;
  # True if another host forwards the updates; these are not forwarded again.
  passedOn @5 :Bool;
  # Era of the store to which the offsets belong.
  era @6 :UInt32;
  # True if the receiver must fetch the records from the sender because they are too
  # many for datagrams.
  toFetch @7 :Bool;
}

# Datagram that the receiver handles and forwards to some hosts of its zone.
struct Forwarded {
  # Names of the hosts to which the datagram is forwarded.
  hosts @0 :List(Text);
  datagram @1 :Data;
}

struct Record {
  key @0 :Text;
  value @1 :Data;
  offset @2 :UInt64;
}

# Evidence against a request that may crash backend servers.
struct Suspicion {
  fingerprint @0 :Text;
  nCrashes @1 :UInt32;
  crash @2 :Text;
  repeated @3 :Bool;
  proved @4 :Bool;
  # Crashes that count, and crashes that don't since the request has completed.  Hosts of
  # the release before send only one crash, and the fields above.
  crashes @5 :List(Text);
  refuted @6 :List(Text);
  # Minutes since the newest crash that counts.
  age @7 :UInt16;
  # True if a request with the part has completed, so that no crash counts.
  hasCompleted @8 :Bool;
}

struct Demand {
  model @0 :Text;
  groups @1 :Float32;
  # Part of the groups whose routes have the service's most urgent priority.
  urgentGroups @2 :Float32;
}

# Requests of one kind that wait for a slot.
struct WaitingWork {
  # Service and model, separated by a space.
  work @0 :Text;
  accountPriority @1 :UInt8;
  routePriority @2 :UInt8;
  # True if the requests can no longer meet their latency objective.
  late @3 :Bool;
  count @4 :UInt16;
}

struct LeavingServer {
  server @0 :Text;
  # Distinguishes the server's incarnations; negative if the server doesn't report it.
  startedAt @1 :Int64;
}

struct RateLimit {
  server @0 :Text;
  # Requests a second; negative if the server no longer reports a limit.
  rate @1 :Float64;
  # Seconds since the answer was received.
  age @2 :Float32;
  # Distinguishes the server's incarnations; negative if the server doesn't report it.
  startedAt @3 :Int64;
}
