#ifndef REGISTRY_REGISTRY_CONFIRMATION_H_
#define REGISTRY_REGISTRY_CONFIRMATION_H_

#include <atomic>
#include <chrono>

namespace comfrey {

/// \brief When a read of the registry last showed that this daemon knows all of
/// its changes; thread-safe.
class RegistryConfirmation {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit RegistryConfirmation(TimePoint start) : confirmed_at(start) {}

  void Confirm(TimePoint now) { this->confirmed_at = now; }

  /// \brief Time since the last confirmation, or since the start.
  std::chrono::steady_clock::duration Age(TimePoint now) const {
    return now - this->confirmed_at.load();
  }

 private:
  std::atomic<TimePoint> confirmed_at;
};

}  // namespace comfrey

#endif  // REGISTRY_REGISTRY_CONFIRMATION_H_
