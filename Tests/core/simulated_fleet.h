#ifndef TESTS_CORE_SIMULATED_FLEET_H_
#define TESTS_CORE_SIMULATED_FLEET_H_

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "core/peer_protocol.h"

namespace comfrey {

/// \brief Runs the peer protocol of many daemons on a simulated network in
/// virtual time.
struct SimulatedFleet {
  using Time = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;

  struct StoredValue {
    SubtreeValue subtree;
    std::uint64_t digest = 0;
  };

  struct Node {
    std::unique_ptr<PeerProtocol> protocol;
    std::map<std::string, StoredValue> config;
    std::uint64_t config_digest = 0;
    MemberRecord self;
    bool up = false;
    /// Number of starts. Messages to earlier starts are dropped.
    std::uint64_t start_count = 0;
    Time paused_until;
    std::mt19937_64 rng;
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
    /// Bytes sent and received in each period of `kTrafficBucket`.
    std::vector<std::uint64_t> traffic_buckets;
    /// Real time spent in `Tick`.
    std::chrono::nanoseconds tick_time{0};
    std::uint64_t ticks = 0;
  };

  static constexpr std::chrono::seconds kTrafficBucket{10};
  std::chrono::milliseconds tick_period{100};
  /// Probability that a message is lost.
  double loss = 0;
  /// Probability that a message is delivered twice.
  double duplicates = 0;
  /// Each message is delayed by a random time of at most this, which reorders
  /// messages.
  std::chrono::milliseconds max_extra_delay{0};
  /// Returns whether messages from one node to another are lost; may be empty.
  std::function<bool(std::size_t from, std::size_t to)> is_blocked;
  /// Called before each tick of a running node; may be empty.
  std::function<void(std::size_t node)> before_tick;
  std::vector<std::string> seeds;
  std::vector<Node> nodes;
  Time now{std::chrono::hours(1)};
  std::uint64_t next_incarnation = 1'700'000'000'000ULL << 20;

  explicit SimulatedFleet(std::uint64_t seed) : rng(seed) {}

  /// Adds nodes that are not running, in turn to each of `domains` failure
  /// domains in each of `regions` regions.
  void AddNodes(std::size_t count, std::size_t regions, std::size_t domains) {
    for (std::size_t k = 0; k < count; ++k) {
      const std::size_t i = this->nodes.size();
      Node node;
      const std::size_t domain = i % (regions * domains);
      node.self.name = "vm-" + std::to_string(i);
      node.self.address =
          "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
      node.self.region = "region-" + std::to_string(domain % regions);
      node.self.failure_domain =
          node.self.region + "-" + std::to_string(domain / regions);
      node.rng.seed(this->rng());
      this->by_address[node.self.address] = i;
      this->nodes.push_back(std::move(node));
    }
  }

  /// Starts a daemon, or restarts it with a greater incarnation.
  void Start(std::size_t i) {
    Node& node = this->nodes[i];
    node.up = true;
    ++node.start_count;
    node.config.clear();
    node.config_digest = 0;
    this->next_incarnation += 1ULL << 20;
    node.self.incarnation = this->next_incarnation;
    PeerSettings settings;
    for (const std::string& seed : this->seeds) {
      if (seed != node.self.address) {
        settings.seeds.push_back(seed);
      }
    }
    node.protocol = std::make_unique<PeerProtocol>(MakePeerProtocol(
        node.self, settings, this->MakeConfigAccess(i), this->now, node.rng));
    std::uniform_int_distribution<std::int64_t> phase(
        0, Duration(this->tick_period).count());
    this->ScheduleTick(i, this->now + Duration(phase(this->rng)));
  }

  /// Starts all daemons; the first `seed_count` ones are the seeds.
  void StartAll(std::size_t seed_count) {
    for (std::size_t i = 0; i < seed_count; ++i) {
      this->seeds.push_back(this->nodes[i].self.address);
    }
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      this->Start(i);
    }
  }

  /// Starts all daemons with complete views and no pending rumors, as after a
  /// long time without changes.
  void StartConverged(std::size_t seed_count) {
    this->StartAll(seed_count);
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      for (const Node& other : this->nodes) {
        MergeRecord(this->nodes[i].protocol->membership,
                    Self(other.protocol->membership), this->now);
      }
      this->nodes[i].protocol->rumors = RumorBuffer();
    }
  }

  /// Stops a daemon without notice to the others, as when its VM fails.
  void Stop(std::size_t i) { this->nodes[i].up = false; }

  /// Suspends the process of a daemon; messages wait until it resumes.
  void Pause(std::size_t i, Duration duration) {
    this->nodes[i].paused_until = this->now + duration;
  }

  /// Gives a daemon a configuration as if it had read it from the configuration
  /// service.
  void ReadConfig(std::size_t i, const SubtreeValue& subtree) {
    if (this->StoreConfig(this->nodes[i], subtree)) {
      OnLocalConfigChange(*this->nodes[i].protocol, subtree.team);
    }
    OnConfigContact(*this->nodes[i].protocol, this->now);
  }

  void RunFor(Duration duration) {
    const Time end = this->now + duration;
    while (!this->events.empty() && this->events.top().time <= end) {
      Event event = std::move(const_cast<Event&>(this->events.top()));
      this->events.pop();
      this->now = event.time;
      event.run();
    }
    this->now = end;
  }

  /// Runs until a condition holds; returns the time taken, or nothing.
  std::optional<Duration> RunUntil(
      Duration limit,
      const std::function<bool()>& holds,
      Duration step = std::chrono::milliseconds(100)) {
    const Time start = this->now;
    while (!holds()) {
      if (this->now - start >= limit) {
        return std::nullopt;
      }
      this->RunFor(step);
    }
    return this->now - start;
  }

  /// Returns the number of running daemons whose view satisfies a predicate.
  template <typename Predicate>
  std::size_t Count(Predicate holds) const {
    std::size_t count = 0;
    for (const Node& node : this->nodes) {
      count += node.up && holds(node.protocol->membership) ? 1 : 0;
    }
    return count;
  }

  std::size_t UpCount() const {
    return this->Count([](const Membership&) { return true; });
  }

  /// Returns whether a predicate holds for the record of node `about` in the
  /// views of all other running daemons; the record is null if unknown.
  bool AllSee(std::size_t about,
              const std::function<bool(const MemberRecord*)>& holds) const {
    const std::string& name = this->nodes[about].self.name;
    return this->Count([&](const Membership& m) {
      return m.self == name || holds(FindMember(m, name));
    }) == this->UpCount();
  }

  /// Returns whether each running daemon holds exactly the running daemons, in
  /// their current incarnations, as live.
  bool LiveSetsAgree() const {
    const std::size_t up = this->UpCount();
    const bool counts_agree = std::all_of(
        this->nodes.begin(), this->nodes.end(), [&](const Node& node) {
          return !node.up || node.protocol->membership.live_count == up;
        });
    return counts_agree && this->Count([&](const Membership& m) {
      if (m.live_count != up) {
        return false;
      }
      return std::all_of(
          this->nodes.begin(), this->nodes.end(), [&](const Node& node) {
            const MemberRecord* record = FindMember(m, node.self.name);
            return !node.up || (record != nullptr && !IsDead(*record) &&
                                record->incarnation == node.self.incarnation);
          });
    }) == up;
  }

  void ResetTraffic() {
    this->traffic_start = this->now;
    for (Node& node : this->nodes) {
      node.bytes = 0;
      node.messages = 0;
      node.traffic_buckets.clear();
    }
  }

 private:
  struct Event {
    Time time;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(this->time, this->order) >
             std::tie(other.time, other.order);
    }
  };

  void Schedule(Time time, std::function<void()> run) {
    this->events.push({time, this->next_order++, std::move(run)});
  }

  bool Chance(double probability) {
    return probability > 0 &&
           std::uniform_real_distribution<>(0, 1)(this->rng) < probability;
  }

  bool StoreConfig(Node& node, const SubtreeValue& subtree) {
    const std::uint64_t digest =
        XXH64(subtree.value.data(), subtree.value.size(), 0);
    StoredValue& held = node.config[subtree.team];
    if (std::tie(subtree.generation, subtree.revision, digest) <=
        std::tie(held.subtree.generation, held.subtree.revision, held.digest)) {
      return false;
    }
    held = {subtree, digest};
    node.config_digest = 0;
    for (const auto& [team, value] : node.config) {
      const std::uint64_t parts[] = {value.subtree.generation,
                                     value.subtree.revision, value.digest};
      node.config_digest ^= XXH64(parts, sizeof(parts), team.size());
    }
    return true;
  }

  ConfigAccess MakeConfigAccess(std::size_t i) {
    ConfigAccess access;
    access.versions = [this, i] {
      std::vector<AnnouncedVersion> versions;
      for (const auto& [team, value] : this->nodes[i].config) {
        versions.push_back({team, value.subtree.generation,
                            value.subtree.revision, value.digest});
      }
      return versions;
    };
    access.digest = [this, i] { return this->nodes[i].config_digest; };
    access.look_up =
        [this, i](const std::string& team) -> std::optional<SubtreeValue> {
      const auto found = this->nodes[i].config.find(team);
      if (found == this->nodes[i].config.end()) {
        return std::nullopt;
      }
      return found->second.subtree;
    };
    access.offer = [this, i](const SubtreeValue& subtree) {
      return this->StoreConfig(this->nodes[i], subtree);
    };
    return access;
  }

  void ScheduleTick(std::size_t i, Time time) {
    const std::uint64_t start_count = this->nodes[i].start_count;
    this->Schedule(time, [this, i, start_count] {
      Node& node = this->nodes[i];
      if (!node.up || node.start_count != start_count) {
        return;
      }
      if (this->now < node.paused_until) {
        this->ScheduleTick(i, node.paused_until);
        return;
      }
      if (this->before_tick) {
        this->before_tick(i);
      }
      const auto start = std::chrono::steady_clock::now();
      auto actions = Tick(*node.protocol, this->now, node.rng);
      node.tick_time += std::chrono::steady_clock::now() - start;
      ++node.ticks;
      this->Perform(i, std::move(actions));
      this->ScheduleTick(i, this->now + this->tick_period);
    });
  }

  void CountBytes(Node& node, std::size_t bytes) {
    node.bytes += bytes;
    ++node.messages;
    const auto bucket = static_cast<std::size_t>(
        (this->now - this->traffic_start) / Duration(kTrafficBucket));
    if (node.traffic_buckets.size() <= bucket) {
      node.traffic_buckets.resize(bucket + 1);
    }
    node.traffic_buckets[bucket] += bytes;
  }

  Duration Delay(std::size_t from, std::size_t to) {
    const MemberRecord& a = this->nodes[from].self;
    const MemberRecord& b = this->nodes[to].self;
    const std::int64_t us = a.region != b.region                   ? 30'000
                            : a.failure_domain != b.failure_domain ? 1'000
                                                                   : 250;
    std::uniform_int_distribution<std::int64_t> jitter(
        us, us * 3 / 2 + 1000 * this->max_extra_delay.count());
    return std::chrono::microseconds(jitter(this->rng));
  }

  // Sends a message, unless it is lost. A paused receiver gets it when it
  // resumes.
  void Deliver(std::size_t from,
               std::size_t to,
               std::size_t bytes,
               const std::function<void()>& receive) {
    this->CountBytes(this->nodes[from], bytes);
    if ((this->is_blocked && this->is_blocked(from, to)) ||
        this->Chance(this->loss)) {
      return;
    }
    const int copies = this->Chance(this->duplicates) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const std::uint64_t start_count = this->nodes[to].start_count;
      this->Schedule(this->now + this->Delay(from, to),
                     [this, to, start_count, bytes, receive] {
                       this->Receive(to, start_count, bytes, receive);
                     });
    }
  }

  void Receive(std::size_t to,
               std::uint64_t start_count,
               std::size_t bytes,
               const std::function<void()>& receive) {
    Node& node = this->nodes[to];
    if (!node.up || node.start_count != start_count) {
      return;
    }
    if (this->now < node.paused_until) {
      this->Schedule(node.paused_until,
                     [this, to, start_count, bytes, receive] {
                       this->Receive(to, start_count, bytes, receive);
                     });
      return;
    }
    this->CountBytes(node, bytes);
    receive();
  }

  // Performs a call. The server gets the request through `serve`, with a
  // function that sends the reply. At the caller, either `on_reply` runs or,
  // after `timeout`, `on_timeout`, if it is set.
  template <typename Request, typename Reply>
  void Call(std::size_t from,
            const std::string& address,
            const Request& request,
            std::chrono::milliseconds timeout,
            std::function<void(std::size_t, std::function<void(Reply)>)> serve,
            std::function<void(const Reply&)> on_reply,
            std::function<void()> on_timeout) {
    const std::uint64_t start_count = this->nodes[from].start_count;
    const auto done = std::make_shared<bool>(false);
    const auto finish = [this, from, start_count, done] {
      const Node& node = this->nodes[from];
      if (*done || !node.up || node.start_count != start_count) {
        return false;
      }
      *done = true;
      return true;
    };
    const std::size_t size = EncodedSize(request) + kFramingBytes;
    const std::size_t to = this->by_address.at(address);
    this->Deliver(from, to, size, [this, from, to, serve, on_reply, finish] {
      serve(to, [this, from, to, on_reply, finish](Reply reply) {
        const std::size_t reply_size = EncodedSize(reply) + kFramingBytes;
        this->Deliver(to, from, reply_size,
                      [reply = std::move(reply), on_reply, finish] {
                        if (finish()) {
                          on_reply(reply);
                        }
                      });
      });
    });
    if (on_timeout) {
      this->ScheduleTimeout(from, this->now + timeout, [finish, on_timeout] {
        if (finish()) {
          on_timeout();
        }
      });
    }
  }

  void ScheduleTimeout(std::size_t i, Time time, std::function<void()> run) {
    this->Schedule(time, [this, i, run = std::move(run)] {
      // A paused caller handles the replies that arrived in the meantime before
      // its timeouts.
      if (this->now < this->nodes[i].paused_until) {
        this->ScheduleTimeout(
            i, this->nodes[i].paused_until + std::chrono::microseconds(1), run);
        return;
      }
      run();
    });
  }

  void Perform(std::size_t i, std::vector<PeerAction> actions) {
    for (PeerAction& action : actions) {
      std::visit([this, i](auto& a) { this->Send(i, std::move(a)); }, action);
    }
  }

  // Pings a member; calls `finished` with the reply, or with `reached` unset
  // after a timeout.
  template <typename Finished>
  void Ping(std::size_t i, SendPing ping, Finished finished) {
    const std::uint64_t probe = ping.probe;
    this->Call<PingRequest, PingReply>(
        i, ping.address, ping.request, ping.timeout,
        [this, request = ping.request](std::size_t to, const auto& respond) {
          Node& node = this->nodes[to];
          respond(OnPing(*node.protocol, request, this->now, node.rng));
        },
        [this, i, probe, finished](const PingReply& reply) {
          OnPingReply(*this->nodes[i].protocol, probe, reply, this->now);
          finished(PingThroughReply{true, reply});
        },
        [finished] { finished(PingThroughReply()); });
  }

  void Send(std::size_t i, SendPing ping) {
    const std::uint64_t probe = ping.probe;
    this->Ping(
        i, std::move(ping), [this, i, probe](const PingThroughReply& outcome) {
          Node& node = this->nodes[i];
          if (!outcome.reached) {
            this->Perform(
                i, OnPingTimeout(*node.protocol, probe, this->now, node.rng));
          }
        });
  }

  void Send(std::size_t i, SendPingThrough through) {
    const std::uint64_t probe = through.probe;
    this->Call<PingThroughRequest, PingThroughReply>(
        i, through.address, through.request, through.timeout,
        [this, request = through.request](
            std::size_t to,
            const std::function<void(PingThroughReply)>& respond) {
          this->Ping(
              to, OnPingThrough(*this->nodes[to].protocol, request, this->now),
              respond);
        },
        [this, i, probe](const PingThroughReply& reply) {
          OnPingThroughReply(*this->nodes[i].protocol, probe, reply, this->now);
        },
        [this, i, probe] {
          OnPingThroughTimeout(*this->nodes[i].protocol, probe, this->now);
        });
  }

  void Send(std::size_t i, SendExchange exchange) {
    this->Call<ExchangeRequest, ExchangeReply>(
        i, exchange.address, exchange.request, exchange.timeout,
        [this, request = exchange.request](std::size_t to,
                                           const auto& respond) {
          Node& node = this->nodes[to];
          respond(OnExchange(*node.protocol, request, this->now, node.rng));
        },
        [this, i, address = exchange.address](const ExchangeReply& reply) {
          this->Perform(i, OnExchangeReply(*this->nodes[i].protocol, address,
                                           reply, this->now));
        },
        nullptr);
  }

  void Send(std::size_t i, SendPush push) {
    this->Call<PushRequest, PushReply>(
        i, push.address, push.request, push.timeout,
        [this, request = push.request](std::size_t to, const auto& respond) {
          respond(OnPush(*this->nodes[to].protocol, request, this->now));
        },
        [this, i, address = push.address](const PushReply& reply) {
          this->Perform(i,
                        OnPushReply(*this->nodes[i].protocol, address, reply));
        },
        nullptr);
  }

  std::mt19937_64 rng;
  std::map<std::string, std::size_t> by_address;
  std::priority_queue<Event> events;
  std::uint64_t next_order = 0;
  Time traffic_start = this->now;
};

}  // namespace comfrey

#endif  // TESTS_CORE_SIMULATED_FLEET_H_
