@0xd3a1c8f0b5e27946;
# Datagrams between entry processes. A MAC follows each message; see _datagram_codec.py.

struct Member {
  incarnation @0 :UInt64;
  name @1 :Text;
  dataCentre @2 :Text;
  callerAddress @3 :Text;
  peerAddress @4 :Text;
  beat @5 :UInt32;
  ageMs @6 :UInt32;
  state @7 :UInt8;
  revision @8 :UInt64;
  fleetVersion @9 :UInt64;
  confirmedAgeMs @10 :UInt32;
  sealed @11 :List(UInt64);
}

struct Beat {
  incarnation @0 :UInt64;
  beat @1 :UInt32;
  ageMs @2 :UInt32;
}

struct Heartbeat {
  sender @0 :Member;
  members @1 :List(Member);
  beats @2 :List(Beat);
}

struct BackendCount {
  backend @0 :UInt32;
  inFlight @1 :UInt16;
}

struct Temperature {
  backend @0 :UInt32;
  epoch @1 :UInt64;
  warm @2 :Bool;
  draining @3 :Bool;
}

struct LoadDigest {
  service @0 :Text;
  counts @1 :List(BackendCount);
  temperatures @2 :List(Temperature);
}

struct Quarantine {
  fingerprint @0 :Data;
  remainingMs @1 :UInt32;
}

struct UsageItem {
  account @0 :UInt64;
  offered @1 :Int32;
  admitted @2 :Int32;
}

struct UsageReport {
  name @0 :Text;
  incarnation @1 :UInt64;
  number @2 :UInt64;
  items @3 :List(UsageItem);
}

struct LimitItem {
  account @0 :UInt64;
  share @1 :Float64;
  offeredRate @2 :Float64;
}

struct LimitNotice {
  name @0 :Text;
  incarnation @1 :UInt64;
  number @2 :UInt64;
  items @3 :List(LimitItem);
}

struct Datagram {
  sender @0 :UInt64;
  sequence @1 :UInt64;
  sentAtMs @2 :UInt64;
  union {
    heartbeat @3 :Heartbeat;
    loadDigest @4 :LoadDigest;
    quarantine @5 :Quarantine;
    usageReport @6 :UsageReport;
    limitNotice @7 :LimitNotice;
  }
}
