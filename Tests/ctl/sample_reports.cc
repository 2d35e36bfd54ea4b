#include "sample_reports.h"

namespace comfrey {

const char kStatusJson[] = R"({
  "daemon": {"name": "vm-1", "address": "127.0.1.1", "region": "budapest",
    "failure_domain": "budapest-a", "incarnation": "1856789012345678901",
    "uptime_ms": 7325250, "ready": true, "not_ready_reasons": [],
    "draining": false},
  "teams": [{"team": "salon",
    "in_force": {"version": {"generation": 1, "revision": 42},
      "content_hash": "0123456789abcdef", "removed": false},
    "refused": {"version": {"generation": 2, "revision": 43},
      "content_hash": "fedcba9876543210",
      "errors": [{"source": "/comfreywood/teams/salon", "line": 4,
        "section": "service booking", "key": "slots", "value": "0",
        "cause": "the value is out of range",
        "remedy": "write 1 to 10000"}]}}],
  "members": [
    {"name": "vm-1", "address": "127.0.1.1", "region": "budapest",
     "failure_domain": "budapest-a", "incarnation": "1856789012345678901",
     "state": "alive"},
    {"name": "vm-2", "address": "127.0.1.2", "region": "budapest",
     "failure_domain": "budapest-b", "incarnation": "1856789012345678902",
     "state": "suspect"}],
  "endpoints": [
    {"team": "salon", "service": "booking", "endpoint": "127.0.1.1:8081",
     "owner_reachable": true, "state": "healthy", "reason": "", "severity": 0,
     "latency_us": 18400, "draining": false, "load": 2, "limit": 3,
     "use": "in_use", "use_reason": ""},
    {"team": "salon", "service": "booking", "endpoint": "127.0.1.2:8081",
     "owner_reachable": true, "state": "ejected", "reason": "slow",
     "severity": 31, "latency_us": null, "draining": true, "load": 1,
     "limit": 3, "use": "ejection_not_honoured",
     "use_reason": "floor 70% of 2 endpoints"}],
  "keys": [{"team": "salon", "service": "booking",
    "endpoint": "127.0.1.1:8081", "recovering": true,
    "recovery_detail": "waits for the journal of vm-2", "records": 17,
    "bytes": 5120}]
})";

const char kExplanationJson[] = R"({
  "method": "POST", "target": "/salon/visits?day=3", "key": "order-7",
  "match": "found", "problem": "",
  "route": {"team": "salon", "version": {"generation": 1, "revision": 42},
    "route": "book-visit", "rank": "dispatch", "target_us": 250000,
    "share": 0.2, "service": "booking", "repeat_safe": false,
    "deadline_us": 2000000, "forwarded_target": "/visits?day=3",
    "key": {
      "home": {"endpoint": "127.0.1.1:8081",
        "distance": "same_failure_domain", "owner_reachable": true,
        "state": "healthy", "reason": "", "draining": false, "load": 2,
        "limit": 3, "use": "in_use", "use_reason": ""},
      "must_release": [{"endpoint": "127.0.1.2:8081",
        "distance": "other_region", "owner_reachable": false,
        "state": "probation", "reason": "returning", "draining": true,
        "load": 1, "limit": 4, "use": "not_in_use",
        "use_reason": "draining"}]},
    "endpoints": []}
})";

const char kBurnJson[] = R"({
  "ranks": [
    {"team": "salon", "rank": "dispatch", "target_us": 250000,
     "objective": 0.99, "worth": 10.0, "windows": [
       {"length_s": 300, "met": 950, "missed": 50, "burn_rate": 5.0},
       {"length_s": 1800, "met": 5980, "missed": 20, "burn_rate": 0.0}]},
    {"team": "salon", "rank": "reports", "target_us": 10000000,
     "objective": 0.5, "worth": 30.0, "windows": [
       {"length_s": 300, "met": 3, "missed": 1, "burn_rate": 0.5},
       {"length_s": 1800, "met": 0, "missed": 0, "burn_rate": 0.0}]}],
  "weighted": [{"length_s": 300, "burn_rate": 1.625},
    {"length_s": 1800, "burn_rate": 0.0}]
})";

StatusReport SampleStatus() {
  return StatusFromJson(kStatusJson).value();
}

BurnStatus SampleBurn() {
  return BurnFromJson(kBurnJson).value();
}

RouteExplanation SampleKeyedExplanation() {
  return ExplanationFromJson(kExplanationJson).value();
}

RouteExplanation SampleExplanation() {
  RouteExplanation explanation = SampleKeyedExplanation();
  ExplainedRoute& route = *explanation.route;
  route.endpoints = {*route.key->home, route.key->must_release.at(0)};
  route.key.reset();
  explanation.key.clear();
  return explanation;
}

}  // namespace comfrey
