#ifndef UTILITIES_EJECTION_SIMULATION_H_
#define UTILITIES_EJECTION_SIMULATION_H_

#include <chrono>
#include <cstdint>
#include <optional>

namespace comfrey {

/// \brief Fault of the simulated service. Unless stated otherwise, only
/// endpoint 0 has the fault and the others are healthy.
enum class SimulatedFault : std::uint8_t {
  kNone,
  kSlow2,
  kSlow5,
  kSlow20,
  kHalfWrong,
  kPartlyFunctional,  ///< 30% of the requests hang until their timeout
  kFlapping,          ///< every 6 s, half of the responses are wrong for 3 s
  kAllWrong,
  kAllSlow5,      ///< every endpoint
  kAllSlow20,     ///< every endpoint; many requests time out
  kSharedOutage,  ///< every 10 s, every endpoint fails for 500 ms
  kFlood,         ///< every endpoint sheds 60% of the requests for 5 s
  kPathCut,       ///< ingress 1 cannot reach endpoint 0, which is healthy
};

/// \brief Ejection policy of the simulated owners.
enum class SimulatedPolicy : std::uint8_t {
  kNoEjection,
  kConsecutiveErrors,
  kCareful,
  kBalanced,
  kFast,
};

/// \brief How summaries reach the owners of the sibling endpoints.
enum class SimulatedStatus : std::uint8_t {
  kGossip,            ///< sent every 2 s, delivered after 0.2 s to 1.5 s
  kGossipAndReplies,  ///< also with each reply to a forwarded request
};

/// \brief How the simulated ingress daemons select endpoints.
enum class SimulatedRouting : std::uint8_t {
  kEven,    ///< sends requests to each endpoint in use at the same rate
  kByLoad,  ///< calls `ChooseEndpoint`
};

struct SimulationOptions {
  SimulatedFault fault = SimulatedFault::kNone;
  SimulatedPolicy policy = SimulatedPolicy::kBalanced;
  SimulatedStatus status = SimulatedStatus::kGossipAndReplies;
  SimulatedRouting routing = SimulatedRouting::kEven;
  std::uint64_t seed = 1;
  unsigned endpoints = 12;
  double requests_per_second = 20;  ///< per endpoint
  std::chrono::seconds fault_at{15};
  std::chrono::seconds duration{45};
};

struct SimulationResult {
  /// Time from the fault to the first ejection of the faulty endpoint.
  std::optional<std::chrono::milliseconds> detection;
  /// Number of ejections of endpoints that have no fault of their own.
  unsigned false_ejections = 0;
  /// Number of plans that left an ingress fewer endpoints than the floor
  /// requires.
  unsigned floor_violations = 0;
  /// Number of requests after the fault.
  unsigned requests = 0;
  /// Number of these without a correct response in time.
  unsigned failed_requests = 0;
};

/// \brief Simulates one service of the fleet in virtual time.
///
/// Each endpoint has an owner, whose daemon is also an ingress. Equal options
/// give equal results.
SimulationResult SimulateEjection(const SimulationOptions& options);

}  // namespace comfrey

#endif  // UTILITIES_EJECTION_SIMULATION_H_
