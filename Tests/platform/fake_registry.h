#ifndef TESTS_PLATFORM_FAKE_REGISTRY_H_
#define TESTS_PLATFORM_FAKE_REGISTRY_H_

#include <httplib.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace comfrey {

/// \brief HTTP server that stands in for the registry of the platform. Its
/// items can be read by key, by prefix, or by a watch.
class FakeRegistry {
 public:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
  };

  /// \brief All items, by key, and the revision.
  struct State {
    std::map<std::string, Item> items;
    std::uint64_t revision = 1;
  };

  /// \brief Starts the registry. It answers up to `threads` calls at a time,
  /// waiting watches included.
  FakeRegistry(const std::string& ip, int port, int threads = 64);
  ~FakeRegistry();

  FakeRegistry(const FakeRegistry&) = delete;
  FakeRegistry& operator=(const FakeRegistry&) = delete;

  /// \brief Writes an item and increments the revision.
  void Put(const std::string& key, const std::string& value);

  /// \brief Removes an item and increments the revision.
  void Remove(const std::string& key);

  /// \brief Makes all calls fail with status 503, including watches that are
  /// waiting.
  void SetUnavailable(bool enabled);

  /// \brief Calls that arrive while the registry is silent never get a
  /// response.
  void SetSilent(bool enabled);

  /// \brief Returns a copy for Restore.
  State TakeCopy();

  /// \brief Goes back to a copy, in the next era. What was written since is
  /// lost, and the revisions are given out again. Waiting watches are cut.
  void Restore(const State& copy);

  /// \brief Closes the connections of the waiting watches without a response.
  void CutWatches();

 private:
  /// \brief Returns the JSON object of an item without the closing brace.
  std::string Render(const std::string& key, const Item& item) const;
  void Read(const httplib::Request& request, httplib::Response& response);
  void List(const httplib::Request& request, httplib::Response& response);
  void Watch(const httplib::Request& request, httplib::Response& response);
  /// \brief Sets status 503 and returns true if the registry is unavailable. If
  /// it is silent, waits for its end first. The caller must hold the mutex.
  bool Reject(std::unique_lock<std::mutex>& lock, httplib::Response& response);
  /// \brief Makes the server close the connection without a response.
  static void CloseUnanswered(httplib::Response& response);
  void AddEra(httplib::Response& response);

  std::mutex mutex;
  std::condition_variable changed;
  State state;
  std::uint64_t era = 1;
  bool unavailable = false;
  bool silent = false;
  int cuts = 0;
  bool stopping = false;
  httplib::Server server;
  std::thread thread;
};

}  // namespace comfrey

#endif  // TESTS_PLATFORM_FAKE_REGISTRY_H_
