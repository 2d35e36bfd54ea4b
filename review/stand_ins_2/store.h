#ifndef REVIEW_STAND_INS_2_STORE_H_
#define REVIEW_STAND_INS_2_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"

namespace review {

/// \brief Stand-in of the platform's metadata store: one revision counter,
/// linearizable reads of a key or of a prefix, and watches.
class Store {
 public:
  Store(const std::string& ip, int port);

  /// \brief Writes an item; returns when it is acknowledged.
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t create_revision = 0;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string key;
    std::string json;
  };

  bool Handle(const HttpMessage& request, int socket);
  std::string Read(const std::string& key, int& status);
  std::string List(const std::string& prefix);
  std::string Watch(const std::string& prefix,
                    std::uint64_t after,
                    std::chrono::milliseconds wait);

  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t revision = 100;
  std::map<std::string, Item> items;
  std::vector<Event> events;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_2_STORE_H_
