#ifndef TESTS_SOAK_SOAK_HISTORY_H_
#define TESTS_SOAK_SOAK_HISTORY_H_

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace comfrey {

/// \brief A request as its caller saw it.
struct SoakRequest {
  using TimePoint = std::chrono::steady_clock::time_point;

  std::string id;
  bool idempotent = false;
  int vm = 0;  ///< The VM whose daemon took it.
  std::string body;
  TimePoint sent_at;   ///< When its last byte was sent.
  TimePoint ended_at;  ///< When the response was complete or the connection
                       ///< ended.
  /// Status of the complete response; 0 if there was none.
  int status = 0;
  bool timed_out = false;  ///< No response came in time.
  bool left = false;       ///< The caller closed without waiting.
  std::string signature;   ///< Signature header of the response.
  std::string response;    ///< Body of the response.
};

/// \brief A request as a backend server saw it when it began to run it.
struct SoakRun {
  std::string id;
  std::string body;
  std::string instance;
  int vm = 0;
  std::chrono::steady_clock::time_point at;
  int status = 0;  ///< Status that the backend server gave.
};

/// \brief Something that was done to a VM, or to all if `vm` is 0.
struct SoakDisruption {
  int vm = 0;
  std::chrono::steady_clock::time_point begin;
  std::chrono::steady_clock::time_point end;
  bool planned = false;  ///< A signal that asks for a graceful stop.
};

/// \brief A backend server whose registration says that it leaves, or is gone.
struct SoakLeaving {
  std::string instance;
  std::chrono::steady_clock::time_point published_at;
  /// When it registered again; never if absent.
  std::optional<std::chrono::steady_clock::time_point> until = std::nullopt;
};

/// \brief All that happened in a soak run; the functions are thread-safe.
class SoakHistory {
 public:
  void Add(SoakRequest request);
  void Add(SoakRun run);
  void Add(SoakDisruption disruption);
  void Add(SoakLeaving leaving);
  void AddBroken(std::string promise);

  // Read after the run has ended.
  std::vector<SoakRequest> requests;
  std::vector<SoakRun> runs;
  std::vector<SoakDisruption> disruptions;
  std::vector<SoakLeaving> leavings;
  std::vector<std::string> broken;

 private:
  std::mutex mutex;
};

/// \brief Value of the signature header of a backend server's response.
std::string SignatureOf(const std::string& instance, const std::string& id);

/// \brief Body of a backend server's response to a request.
std::string ResponseBodyOf(const std::string& id, const std::string& body);

/// \brief Returns a line for each promise of the pages that was broken.
std::vector<std::string> FindBrokenPromises(const SoakHistory& history);

/// \brief Returns the longest time from the begin of a leave to a request that
/// reached the backend server, by daemons that were in contact.
std::chrono::milliseconds FindLongestLeave(const SoakHistory& history);

}  // namespace comfrey

#endif  // TESTS_SOAK_SOAK_HISTORY_H_
