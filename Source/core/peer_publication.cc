#include "core/peer_publication.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <tuple>
#include <utility>

#include "core/membership.h"
#include "core/peer_rumors.h"
#include "core/rumor_buffer.h"

namespace comfrey {
namespace {

using Time = PeerProtocol::Time;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kPublicationPeriod{2000};
// Maximum rate at which all members of the fleet together publish records with
// no urgent change, such as a new latency summary. A record of 14 endpoints has
// about 280 bytes, and each member sends it about three times.
constexpr double kFleetPublicationsPerSecond = 1.0;
constexpr double kPublicationBurst = 3.0;
// A latency is published again if it has changed by more than this fraction.
constexpr double kMinLatencyChange = 0.25;

bool ChangedSignificantly(microseconds a, microseconds b) {
  const auto low = static_cast<double>(std::min(a, b).count());
  const auto high = static_cast<double>(std::max(a, b).count());
  return high > low * (1 + kMinLatencyChange);
}

bool HasSignificantChange(const std::vector<EndpointStatus>& published,
                          const std::vector<EndpointStatus>& current) {
  for (std::size_t i = 0; i < published.size(); ++i) {
    const EndpointStatus& a = published[i];
    const EndpointStatus& b = current[i];
    if (std::tie(a.reason, a.severity) != std::tie(b.reason, b.severity) ||
        (a.full_for.count() > 0) != (b.full_for.count() > 0) ||
        ChangedSignificantly(a.latency, b.latency)) {
      return true;
    }
  }
  return false;
}

}  // namespace

void StartPublications(PeerProtocol& protocol, Time now) {
  protocol.publication_tokens = kPublicationBurst;
  protocol.publication_tokens_refilled_at = now;
}

void NormalizeStatuses(std::vector<EndpointStatus>& statuses,
                       const std::string& address) {
  for (EndpointStatus& status : statuses) {
    status = MakePublishedStatus(std::move(status), address);
  }
  std::sort(statuses.begin(), statuses.end(),
            [](const EndpointStatus& a, const EndpointStatus& b) {
              return a.endpoint < b.endpoint;
            });
}

void PublishPending(PeerProtocol& protocol, Time now) {
  // The limit for the whole fleet makes the traffic independent of the number
  // of members. The burst lets all owners of a service publish immediately when
  // all its endpoints change.
  const double rate =
      std::min(1000.0 / static_cast<double>(kPublicationPeriod.count()),
               kFleetPublicationsPerSecond /
                   static_cast<double>(protocol.membership.live_count));
  const std::chrono::duration<double> elapsed =
      now - protocol.publication_tokens_refilled_at;
  protocol.publication_tokens_refilled_at = now;
  protocol.publication_tokens = std::min(
      kPublicationBurst, protocol.publication_tokens + elapsed.count() * rate);
  if (!protocol.pending_statuses || protocol.publication_tokens < 1 ||
      now - protocol.last_publication < kPublicationPeriod) {
    return;
  }
  protocol.publication_tokens -= 1;
  protocol.last_publication = now;
  UpdateSelf(protocol.membership, MemberState::kAlive,
             std::move(*protocol.pending_statuses), now);
  protocol.pending_statuses.reset();
  AddRumor(protocol.rumors, protocol.membership.self, MergeResult::kBackground);
}

void OnLocalStatusChange(PeerProtocol& protocol,
                         std::vector<EndpointStatus> statuses,
                         Time now) {
  const MemberRecord& self = Self(protocol.membership);
  NormalizeStatuses(statuses, self.address);
  if (DifferInUrgentFields(self.endpoints, statuses)) {
    protocol.pending_statuses.reset();
    UpdateSelf(protocol.membership, MemberState::kAlive, std::move(statuses),
               now);
    SpreadUrgently(protocol, protocol.membership.self);
    return;
  }
  if (!HasSignificantChange(self.endpoints, statuses)) {
    protocol.pending_statuses.reset();
    return;
  }
  protocol.pending_statuses = std::move(statuses);
  PublishPending(protocol, now);
}

void BeginLeaving(PeerProtocol& protocol, Time now) {
  UpdateSelf(protocol.membership, MemberState::kLeaving,
             Self(protocol.membership).endpoints, now);
  SpreadUrgently(protocol, protocol.membership.self);
}

}  // namespace comfrey
