// A registry that serves each daemon at an address of its own and can have a
// trouble with some of them. Built on the stand-ins of review/harness.
#ifndef UTILITIES_PLATFORM_TROUBLED_STORE_H_
#define UTILITIES_PLATFORM_TROUBLED_STORE_H_

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "harness.h"

/// \brief What the registry does to the calls of some daemons.
enum class Trouble {
  kNone,
  kSilent,   ///< Calls, waiting ones too, never get a response.
  kLost,     ///< The watches that wait at its start never get a response.
  kBusy,     ///< Calls get 503.
  kMany,     ///< Calls get 429.
  kReset,    ///< Connections are reset.
  kSlow,     ///< Each response takes 240 ms more.
  kLate,     ///< Nothing passes until its end, as in a cut below TCP.
  kCompact,  ///< For 1 s watches hear nothing, then the history is dropped.
};

class TroubledStore {
 public:
  /// \brief Serves daemon `reader` at the address.
  void ListenFor(int reader, const std::string& ip, int port);

  /// \brief Writes an item; returns the time of the acknowledgement.
  double Put(const std::string& key, const std::string& value);

  /// \brief Publishes a configuration; returns the time of the acknowledgement.
  double Publish(const std::string& config);

  /// \brief Publishes the configuration within the first listing, if `config`
  /// is not empty.
  void PublishDuringFirstListing(const std::string& config);

  void Begin(Trouble kind, const std::set<int>& readers);
  void End();

  /// \brief Keeps a copy for Restore.
  void TakeCopy();

  /// \brief Goes back to the copy, in the next era.
  void Restore();

  /// \brief Number of calls so far.
  std::size_t Calls() const { return this->calls; }

  /// \brief Arrival times of the calls that count against the limit of the
  /// registry, which leaves out reads of the revision.
  std::vector<double> LimitedCalls();

 private:
  struct Item {
    std::string value;
    long revision = 0;
    long created = 0;
  };
  struct Event {
    long revision;
    std::string key;
    Item item;
  };
  struct Response {
    int status = 200;
    std::string body;
  };
  struct Contents {
    std::map<std::string, Item> items;
    std::vector<Event> log;
    long revision = 100;
    long oldest_revision = 0;
  };

  void Serve(int reader, int fd);
  double PutLocked(const std::string& key, const std::string& value);
  bool IsAffected(int reader) const;
  bool Disturb(int reader, int fd, std::unique_lock<std::mutex>& lock);
  Response Read(const std::string& target) const;
  Response List(const std::string& target);
  Response Watch(const std::string& target,
                 int reader,
                 std::unique_lock<std::mutex>& lock);
  std::string Revision() const;

  std::atomic<std::size_t> calls{0};
  std::mutex mutex;
  std::condition_variable changed;
  Contents contents;
  Contents copy;
  long era = 1;
  std::vector<double> limited_calls;
  Trouble trouble = Trouble::kNone;
  std::set<int> affected;
  int begun = 0;
  std::string config_of_first_listing;
  std::vector<std::unique_ptr<review::Server>> servers;
};

#endif  // UTILITIES_PLATFORM_TROUBLED_STORE_H_
