#ifndef CORE_ATTEMPT_ID_H_
#define CORE_ATTEMPT_ID_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace comfrey {

/// \brief Identifies one attempt to run a request.
///
/// The sequence number is unique within one incarnation of the ingress daemon.
struct AttemptId {
  std::string ingress;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
};

inline bool operator==(const AttemptId& a, const AttemptId& b) {
  return std::tie(a.sequence, a.incarnation, a.ingress) ==
         std::tie(b.sequence, b.incarnation, b.ingress);
}

inline bool operator!=(const AttemptId& a, const AttemptId& b) {
  return !(a == b);
}

inline bool operator<(const AttemptId& a, const AttemptId& b) {
  return std::tie(a.ingress, a.incarnation, a.sequence) <
         std::tie(b.ingress, b.incarnation, b.sequence);
}

/// \brief Formats an attempt id as "ingress/incarnation/sequence".
std::string FormatAttemptId(const AttemptId& id);

}  // namespace comfrey

#endif  // CORE_ATTEMPT_ID_H_
