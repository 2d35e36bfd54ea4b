// Stand-in of the platform's store, with the drill of the users' letter: the
// store is away for a moment and comes back from a copy some seconds old.
#ifndef REVIEW_STAND_INS_3_STORE_H_
#define REVIEW_STAND_INS_3_STORE_H_

#include <condition_variable>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

class Store {
 public:
  Store(const std::string& ip, int port, Record& record)
      : record(record),
        server(ip, port, [this](const Message& request, int socket) {
          return this->Handle(request, socket);
        }) {}
  ~Store() { this->Leave(); }

  void Start() { this->server.Start(); }

  // Writes an item; the return is the acknowledgement.
  void Put(const std::string& key, const std::string& value) {
    this->Change(key, value, false);
  }

  void Remove(const std::string& key) { this->Change(key, "", true); }

  // Takes the copy from which Restore continues.
  void TakeCopy() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->copy = this->state;
    this->record.Write("store: copy taken at revision " +
                       std::to_string(this->copy.revision));
  }

  // Closes the listening socket and all connections.
  void Leave() {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->away = true;
      this->changed.notify_all();
    }
    this->server.Stop();
  }

  // Comes back from the copy, in the next era.
  void Restore() {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->record.Write("store: back at revision " +
                         std::to_string(this->copy.revision) + ", had " +
                         std::to_string(this->state.revision));
      this->state = this->copy;
      ++this->era;
      this->away = false;
    }
    this->server.Start();
  }

  // Writes what the store sends for watches and lists to the record.
  bool verbose = true;

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Event {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    bool deleted = false;
  };
  struct State {
    std::uint64_t revision = 40;
    // First revision after which events are kept.
    std::uint64_t history_from = 40;
    std::map<std::string, Item> items;
    std::vector<Event> events;
  };

  void Change(const std::string& key, const std::string& value, bool deleted) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const std::uint64_t revision = ++this->state.revision;
    const auto known = this->state.items.find(key);
    const std::uint64_t created =
        known == this->state.items.end() ? revision : known->second.created;
    if (deleted) {
      this->state.items.erase(key);
    } else {
      this->state.items[key] = {value, revision, created};
    }
    this->state.events.push_back({key, value, revision, created, deleted});
    this->record.Write("store: acknowledged revision " +
                       std::to_string(revision) + " " + key +
                       (deleted ? " removed" : " " + value.substr(0, 400)));
    this->changed.notify_all();
  }

  static std::string Base64(const std::string& text) {
    static const char kDigits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
      std::uint32_t group = 0;
      const std::size_t count = std::min<std::size_t>(3, text.size() - i);
      for (std::size_t j = 0; j < 3; ++j) {
        group = group << 8 |
                (j < count ? static_cast<unsigned char>(text[i + j]) : 0U);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        result += j <= count ? kDigits[group >> (18 - 6 * j) & 63] : '=';
      }
    }
    return result;
  }

  static std::string Render(const std::string& key,
                            const std::string& value,
                            std::uint64_t revision,
                            std::uint64_t created) {
    return "{\"key\":\"" + key + "\",\"value\":\"" + Base64(value) +
           "\",\"rev\":" + std::to_string(revision) +
           ",\"create_revision\":" + std::to_string(created) + ",\"lease\":0";
  }

  std::string Answer(int status, const std::string& body) {
    const std::string reason = status == 200   ? "200 OK"
                               : status == 404 ? "404 Not Found"
                               : status == 410 ? "410 Gone"
                                               : "503 Service Unavailable";
    return "HTTP/1.1 " + reason + "\r\nContent-Type: application/json\r\n" +
           "Store-Era: " + std::to_string(this->era) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    const std::size_t query = target.find('?');
    std::size_t begin = query;
    while (begin != std::string::npos) {
      const std::size_t end = target.find('&', begin + 1);
      const std::string part = target.substr(begin + 1, end - begin - 1);
      if (part.compare(0, name.size() + 1, name + "=") == 0) {
        return Decode(part.substr(name.size() + 1));
      }
      begin = end;
    }
    return "";
  }

  static std::string Decode(const std::string& text) {
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        result +=
            static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        result += text[i];
      }
    }
    return result;
  }

  std::string Handle(const Message& request, int /*socket*/) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    std::unique_lock<std::mutex> lock(this->mutex);
    if (this->away) {
      return "";
    }
    if (path == "/kv-key") {
      const std::string key = Parameter(request.target, "key");
      const auto found = this->state.items.find(key);
      if (found == this->state.items.end()) {
        return this->Answer(404, "{}");
      }
      return this->Answer(
          200, Render(key, found->second.value, found->second.revision,
                      found->second.created) +
                   ",\"store_revision\":" +
                   std::to_string(this->state.revision) + "}");
    }
    if (path == "/kv-range") {
      return this->List(Parameter(request.target, "prefix"));
    }
    if (path == "/kv-watch") {
      return this->Watch(lock, request.target);
    }
    return this->Answer(404, "{}");
  }

  std::string List(const std::string& prefix) {
    std::string items;
    for (const auto& [key, item] : this->state.items) {
      if (key.compare(0, prefix.size(), prefix) == 0) {
        items += (items.empty() ? "" : ",") +
                 Render(key, item.value, item.revision, item.created) + "}";
      }
    }
    return this->Answer(200, "{\"items\":[" + items +
                                 "],\"has_more\":false,\"store_revision\":" +
                                 std::to_string(this->state.revision) + "}");
  }

  std::string Watch(std::unique_lock<std::mutex>& lock,
                    const std::string& target) {
    const std::string prefix = Parameter(target, "prefix");
    const std::uint64_t after = std::stoull(Parameter(target, "after"));
    const milliseconds wait(std::stoi(Parameter(target, "wait_ms")));
    const int begun_in = this->era;
    if (after < this->state.history_from || after > this->state.revision) {
      if (this->verbose) {
        this->record.Write("store: watch after " + std::to_string(after) +
                           " gets 410");
      }
      return this->Answer(410, "{}");
    }
    this->changed.wait_for(lock, wait, [&] {
      return this->away || this->era != begun_in ||
             this->state.revision > after;
    });
    if (this->away || this->era != begun_in) {
      return "";
    }
    std::string events;
    for (const Event& event : this->state.events) {
      if (event.revision <= after ||
          event.key.compare(0, prefix.size(), prefix) != 0) {
        continue;
      }
      events += events.empty() ? "" : ",";
      events +=
          event.deleted
              ? "{\"key\":\"" + event.key +
                    "\",\"rev\":" + std::to_string(event.revision) +
                    ",\"deleted\":true}"
              : Render(event.key, event.value, event.revision, event.created) +
                    "}";
    }
    if (this->verbose && !events.empty()) {
      this->record.Write("store: watch after " + std::to_string(after) +
                         " gets all up to " +
                         std::to_string(this->state.revision));
    }
    return this->Answer(200, "{\"events\":[" + events +
                                 "],\"store_revision\":" +
                                 std::to_string(this->state.revision) + "}");
  }

  Record& record;
  std::mutex mutex;
  std::condition_variable changed;
  State state;
  State copy;
  int era = 1;
  bool away = false;
  Server server;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_3_STORE_H_
