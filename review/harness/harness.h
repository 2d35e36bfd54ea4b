// Stand-ins for the scripts in review/: the platform's store, endpoints,
// clients and the start of daemons. They follow PROTOCOL.md; where it says
// nothing, they behave like sound ones. No library is needed but pthreads.
#ifndef REVIEW_HARNESS_H_
#define REVIEW_HARNESS_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <linux/sockios.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

// ---- time and record ------------------------------------------------------

inline Clock::time_point& Zero() {
  static Clock::time_point zero = Clock::now();
  return zero;
}
/// Seconds since the start of the traffic.
inline double Now() {
  return std::chrono::duration<double>(Clock::now() - Zero()).count();
}
inline void SleepUntil(double at) {
  std::this_thread::sleep_until(
      Zero() + std::chrono::duration_cast<Clock::duration>(
                   std::chrono::duration<double>(at)));
}
inline void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline long UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) {
    this->file = std::fopen(path.c_str(), "w");
  }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->file != nullptr) {
      std::fprintf(this->file, "%9.3f %s\n", Now(), text);
      std::fflush(this->file);
    }
  }

 private:
  std::mutex mutex;
  std::FILE* file = nullptr;
};
#define RECORD(...) ::review::Record::Get().Line(__VA_ARGS__)

inline bool WithTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline std::string& FolderPath() {
  static std::string path;
  return path;
}

[[noreturn]] inline void CannotRun(const std::string& why) {
  RECORD("cannot run: %s", why.c_str());
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  if (!FolderPath().empty() &&
      std::system(("rm -rf '" + FolderPath() + "'").c_str()) != 0) {
    std::fprintf(stderr, "cannot remove %s\n", FolderPath().c_str());
  }
  std::_Exit(2);  // The daemons end with their parent.
}

// ---- sockets --------------------------------------------------------------

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

/// Returns a connected socket, or -1.
inline int Connect(const std::string& ip, int port, int timeout_ms) {
  const int fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    pollfd entry{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS || ::poll(&entry, 1, timeout_ms) != 1 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      ::close(fd);
      return -1;
    }
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent,
                                 MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// ---- HTTP messages --------------------------------------------------------

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

struct Message {
  std::string start;  ///< The first line.
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
  std::string Header(const std::string& name) const {
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
  }
};

/// Reads the messages of one connection.
class Reader {
 public:
  explicit Reader(int fd) : fd(fd) {}

  /// Reads a message with a length or in chunks; false at the end of the
  /// connection or at the deadline (seconds of Now(); negative for none).
  bool Read(Message& message, double deadline) {
    message = Message();
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill(deadline)) {
        return false;
      }
    }
    std::istringstream head(this->buffer.substr(0, end + 2));
    this->buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    message.start = line.substr(0, line.find('\r'));
    while (std::getline(head, line)) {
      line = line.substr(0, line.find('\r'));
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
          ++value;
        }
        message.headers[Lower(line.substr(0, colon))] = line.substr(value);
      }
    }
    if (Lower(message.Header("transfer-encoding")) == "chunked") {
      return this->ReadChunks(message, deadline);
    }
    const std::string length = message.Header("content-length");
    return length.empty() ||
           this->Take(std::strtoul(length.c_str(), nullptr, 10), message.body,
                      deadline);
  }

  bool HasBytes() const { return !this->buffer.empty(); }

 private:
  bool Fill(double deadline) {
    if (deadline >= 0) {
      pollfd entry{this->fd, POLLIN, 0};
      const int left = static_cast<int>((deadline - Now()) * 1000);
      if (left < 0 || ::poll(&entry, 1, left) != 1) {
        return false;
      }
    }
    char bytes[65536];
    const ssize_t count = ::recv(this->fd, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  bool Take(std::size_t count, std::string& out, double deadline) {
    while (this->buffer.size() < count) {
      if (!this->Fill(deadline)) {
        return false;
      }
    }
    out.append(this->buffer, 0, count);
    this->buffer.erase(0, count);
    return true;
  }
  bool TakeLine(std::string& line, double deadline) {
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n")) == std::string::npos) {
      if (!this->Fill(deadline)) {
        return false;
      }
    }
    line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return true;
  }
  bool ReadChunks(Message& message, double deadline) {
    std::string line;
    while (this->TakeLine(line, deadline)) {
      const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
      if (size == 0) {
        while (this->TakeLine(line, deadline)) {
          if (line.empty()) {
            return true;
          }
        }
        return false;
      }
      if (!this->Take(size, message.body, deadline) ||
          !this->TakeLine(line, deadline)) {
        return false;
      }
    }
    return false;
  }

  int fd;
  std::string buffer;
};

/// A listening socket with one thread for each connection.
class Server {
 public:
  using Serve = std::function<void(int fd)>;
  Server(const std::string& ip, int port, Serve serve)
      : serve(std::move(serve)), listener(Listen(ip, port)) {
    if (this->listener < 0) {
      CannotRun("cannot listen on " + ip + ":" + std::to_string(port));
    }
    this->acceptor = std::thread([this] { this->Accept(); });
  }
  ~Server() { this->Stop(); }
  /// Ends all connections at once, as the end of a process does.
  void Stop() {
    if (this->stopping.exchange(true)) {
      return;
    }
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    std::unique_lock<std::mutex> lock(this->mutex);
    for (const int fd : this->open) {
      ::shutdown(fd, SHUT_RDWR);
    }
    this->changed.wait_for(lock, std::chrono::seconds(3),
                           [this] { return this->open.empty(); });
  }

 private:
  void Accept() {
    while (!this->stopping) {
      const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (this->stopping) {
          return;
        }
        Sleep(0.001);
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->open.insert(fd);
      }
      std::thread([this, fd] {
        this->serve(fd);
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->open.erase(fd);
        ::close(fd);
        this->changed.notify_all();
      }).detach();
    }
  }

  Serve serve;
  int listener;
  std::atomic<bool> stopping{false};
  std::thread acceptor;
  std::mutex mutex;
  std::condition_variable changed;
  std::set<int> open;
};

// ---- the platform's store -------------------------------------------------

inline std::string Base64(const std::string& text) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    unsigned long group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < text.size() ? static_cast<unsigned char>(text[i + j])
                                   : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= text.size() ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

inline std::string QueryValue(const std::string& target,
                              const std::string& name) {
  const std::size_t query = target.find('?');
  if (query == std::string::npos) {
    return "";
  }
  std::istringstream parts(target.substr(query + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    if (part.rfind(name + "=", 0) == 0) {
      std::string value;
      for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
        if (part[i] == '%' && i + 2 < part.size()) {
          value += static_cast<char>(
              std::strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
          i += 2;
        } else {
          value += part[i];
        }
      }
      return value;
    }
  }
  return "";
}

/// One store, with an address of its own for each daemon, so that it can tell
/// the daemons apart.
class Store {
 public:
  /// Serves daemon `reader` at the address.
  void ListenFor(int reader, const std::string& ip, int port) {
    this->servers.push_back(std::make_unique<Server>(
        ip, port, [this, reader](int fd) { this->Serve(reader, fd); }));
  }

  /// Writes an item; returns the time of the acknowledgement.
  double Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    Item& item = this->items[key];
    item.value = value;
    item.rev = ++this->revision;
    if (item.created == 0) {
      item.created = item.rev;
    }
    this->log.push_back({item.rev, key, false, value, item.created});
    this->changed.notify_all();
    return Now();
  }
  /// Removes an item; returns the time of the acknowledgement.
  double Delete(const std::string& key) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->items.erase(key);
    this->log.push_back({++this->revision, key, true, "", 0});
    this->changed.notify_all();
    return Now();
  }
  /// Ends the watches that wait, by closing their connections.
  void CutWatches() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->cuts;
    this->changed.notify_all();
  }
  /// Turns daemons away without a response, or serves them again. A call that
  /// was turned away never gets a response, and so no later call on its
  /// connection does; calls on other connections are served.
  void TurnAway(const std::set<int>& readers) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->turned_away = readers;
    this->changed.notify_all();
  }

 private:
  struct Item {
    std::string value;
    long rev = 0;
    long created = 0;
  };
  struct Event {
    long rev;
    std::string key;
    bool deleted;
    std::string value;
    long created;
  };

  static std::string Render(const std::string& key,
                            const std::string& value,
                            long rev,
                            long created) {
    return "{\"key\":\"" + key + "\",\"value\":\"" + Base64(value) +
           "\",\"rev\":" + std::to_string(rev) +
           ",\"create_revision\":" + std::to_string(created) + ",\"lease\":0";
  }
  std::string Revision() const {
    return "\"store_revision\":" + std::to_string(this->revision);
  }

  // Waits, and answers nothing, until the other side closes the connection.
  static void StaySilent(int fd) {
    char bytes[4096];
    while (::recv(fd, bytes, sizeof(bytes), 0) > 0) {
    }
  }

  void Serve(int reader, int fd) {
    Reader input(fd);
    Message request;
    while (input.Read(request, -1)) {
      Sleep(0.004);
      const std::size_t space = request.start.find(' ');
      const std::string target = request.start.substr(
          space + 1, request.start.rfind(' ') - space - 1);
      std::string body;
      int status = 200;
      {
        std::unique_lock<std::mutex> lock(this->mutex);
        if (this->turned_away.count(reader) > 0) {
          lock.unlock();
          RECORD("store: no response to daemon %d: GET %s", reader,
                 target.c_str());
          StaySilent(fd);
          return;
        }
        if (target.rfind("/kv-key", 0) == 0) {
          const std::string key = QueryValue(target, "key");
          const auto found = this->items.find(key);
          if (found == this->items.end()) {
            status = 404;
          } else {
            body = Render(key, found->second.value, found->second.rev,
                          found->second.created) +
                   "," + this->Revision() + "}";
          }
        } else if (target.rfind("/kv-range", 0) == 0) {
          const std::string prefix = QueryValue(target, "prefix");
          const std::string after = QueryValue(target, "after");
          for (const auto& [key, item] : this->items) {
            if (key.rfind(prefix, 0) == 0 && key > after) {
              body += (body.empty() ? "" : ",") +
                      Render(key, item.value, item.rev, item.created) + "}";
            }
          }
          body = "{\"items\":[" + body + "],\"has_more\":false," +
                 this->Revision() + "}";
        } else {
          const std::string prefix = QueryValue(target, "prefix");
          const long after = std::atol(QueryValue(target, "after").c_str());
          const int wait = std::atoi(QueryValue(target, "wait_ms").c_str());
          const long cuts_before = this->cuts;
          const auto has_event = [&] {
            return std::any_of(this->log.begin(), this->log.end(),
                               [&](const Event& event) {
                                 return event.rev > after &&
                                        event.key.rfind(prefix, 0) == 0;
                               });
          };
          this->changed.wait_for(lock, std::chrono::milliseconds(wait), [&] {
            return this->cuts != cuts_before || has_event();
          });
          if (this->cuts != cuts_before) {
            lock.unlock();
            RECORD("store: the waiting watch of daemon %d is cut", reader);
            return;
          }
          for (const Event& event : this->log) {
            if (event.rev <= after || event.key.rfind(prefix, 0) != 0) {
              continue;
            }
            body += body.empty() ? "" : ",";
            body += event.deleted
                        ? "{\"key\":\"" + event.key +
                              "\",\"rev\":" + std::to_string(event.rev) +
                              ",\"deleted\":true}"
                        : Render(event.key, event.value, event.rev,
                                 event.created) +
                              "}";
          }
          body = "{\"events\":[" + body + "]," + this->Revision() + "}";
        }
      }
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(status) +
                           (status == 200 ? " OK" : " Not Found") +
                           "\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Event> log;
  long revision = 100;
  long cuts = 0;
  std::set<int> turned_away;
  std::vector<std::unique_ptr<Server>> servers;
};

// ---- endpoints ------------------------------------------------------------

/// What an endpoint saw of one request.
struct Run {
  double arrived = 0;
  double started = 0;
  double ended = 0;
  std::string id;
  std::string endpoint;
  std::string service;
  std::string target;
  bool ran = false;
  bool cut = false;  ///< The endpoint ended while it worked on the request.
};

/// All requests that reached endpoints.
class Runs {
 public:
  std::size_t Add(Run run) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->runs.push_back(std::move(run));
    return this->runs.size() - 1;
  }
  void Change(std::size_t index, const std::function<void(Run&)>& change) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    change(this->runs[index]);
  }
  std::vector<Run> All() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->runs;
  }

 private:
  std::mutex mutex;
  std::vector<Run> runs;
};

struct EndpointOptions {
  std::string id;
  std::string service;
  std::string ip;
  int port = 0;
  int slots = 4;
  int queue = 36;
  int work_ms = 350;
};

class Endpoint {
 public:
  Endpoint(EndpointOptions options, Runs& runs)
      : options(std::move(options)), runs(runs), born(UnixMs()) {
    this->server = std::make_unique<Server>(
        this->options.ip, this->options.port,
        [this](int fd) { this->Serve(fd); });
  }
  /// Its entry in the store.
  std::string Entry(const std::string& state, const std::string& zone) const {
    return "{\"service\":\"" + this->options.service + "\",\"address\":\"" +
           this->options.ip + ":" + std::to_string(this->options.port) +
           "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" +
           std::to_string(this->options.slots) + ",\"state\":\"" + state +
           "\",\"cold_remaining\":\"0ms\",\"sequence\":4,\"born\":" +
           std::to_string(this->born) + "}";
  }
  std::string Key() const { return "servers/" + this->options.id; }
  const std::string& Id() const { return this->options.id; }
  /// Ends like a process: its connections end, its work is lost.
  void Exit() {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->exited = true;
      this->changed.notify_all();
    }
    this->server->Stop();
  }

 private:
  void Serve(int fd) {
    Reader input(fd);
    Message request;
    // Idle connections are closed after a timeout.
    while (input.Read(request, Now() + 10)) {
      const std::string id = request.Header("comfreywood-attempt-id");
      Run run;
      run.arrived = Now();
      run.id = id;
      run.endpoint = this->options.id;
      run.service = this->options.service;
      run.target = request.start;
      const std::string expected =
          request.Header("comfreywood-expected-instance");
      if (!expected.empty() && expected != this->options.id) {
        RECORD("endpoint %s: %s gets 421", this->options.id.c_str(),
               id.c_str());
        if (!this->Answer(fd, 421, id, "", false)) {
          return;
        }
        continue;
      }
      if (id.empty()) {
        if (!this->Answer(fd, 400, id, "", true)) {
          return;
        }
        continue;
      }
      const std::size_t index = this->runs.Add(run);
      std::unique_lock<std::mutex> lock(this->mutex);
      if (this->queued >= this->options.queue) {
        lock.unlock();
        if (!this->Answer(fd, 503, id, "", true)) {
          return;
        }
        continue;
      }
      // Work stops at the deadline that came with the request.
      const std::string left = request.Header("comfreywood-deadline-ms");
      const Clock::time_point deadline =
          Clock::now() + std::chrono::milliseconds(
                             left.empty() ? 60'000 : std::atoi(left.c_str()));
      ++this->queued;
      const bool woken = this->changed.wait_until(lock, deadline, [this] {
        return this->running < this->options.slots || this->exited;
      });
      --this->queued;
      if (this->exited) {
        return;
      }
      if (!woken) {
        lock.unlock();
        if (!this->Answer(fd, 503, id, "", true)) {
          return;
        }
        continue;
      }
      ++this->running;
      lock.unlock();
      RECORD("endpoint %s (%s): %s runs", this->options.id.c_str(),
             this->options.service.c_str(), id.c_str());
      this->runs.Change(index, [](Run& r) {
        r.ran = true;
        r.started = Now();
      });
      lock.lock();
      const Clock::time_point end =
          Clock::now() + std::chrono::milliseconds(this->options.work_ms);
      const bool cut = this->changed.wait_until(
          lock, std::min(end, deadline), [this] { return this->exited; });
      --this->running;
      this->changed.notify_all();
      lock.unlock();
      this->runs.Change(index, [cut](Run& r) {
        r.ended = Now();
        r.cut = cut;
      });
      if (cut) {
        RECORD("endpoint %s: %s is cut off by its end",
               this->options.id.c_str(), id.c_str());
        return;
      }
      const bool late = deadline < end;
      if (!this->Answer(fd, late ? 504 : 200, id,
                        (late ? "late " : "done ") + id + "\n", false)) {
        return;
      }
    }
  }
  bool Answer(int fd,
              int status,
              const std::string& id,
              const std::string& body,
              bool not_executed) {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    if (!id.empty()) {
      head += "Comfreywood-Attempt-Id: " + id + "\r\n";
    }
    if (not_executed) {
      head += "Comfreywood-Not-Executed: 1\r\n";
    } else if (status == 421) {
      head += "Comfreywood-Instance-Id: " + this->options.id + "\r\n";
    } else {
      head += "Comfreywood-Response-Signature: " + this->options.id + "." + id +
              "\r\n";
    }
    return SendAll(fd, head + "Keep-Alive: timeout=10\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  EndpointOptions options;
  Runs& runs;
  long born;
  std::mutex mutex;
  std::condition_variable changed;
  int queued = 0;
  int running = 0;
  bool exited = false;
  std::unique_ptr<Server> server;
};

// ---- daemons --------------------------------------------------------------

constexpr int kReadyPort = 8140;
constexpr int kOutboundPort = 8141;
constexpr int kStorePort = 8142;
constexpr int kInboundPort = 8145;
constexpr int kAppPort = 8147;
constexpr int kPeerPort = 7660;
constexpr int kStatusPort = 7675;

/// Addresses of one run, all of them in 127/8. VM k has PREFIX.k, the store
/// PREFIX.(100 + k).
class Net {
 public:
  explicit Net(int vms) {
    std::mt19937 rng(std::random_device{}());
    for (int attempt = 0; attempt < 50; ++attempt) {
      this->prefix = "127." + std::to_string(20 + rng() % 200) + "." +
                     std::to_string(1 + rng() % 250) + ".";
      if (this->AreFree(vms)) {
        return;
      }
    }
    CannotRun("no free addresses");
  }
  std::string Vm(int vm) const { return this->prefix + std::to_string(vm); }
  std::string StoreFor(int vm) const {
    return this->prefix + std::to_string(100 + vm);
  }

 private:
  bool AreFree(int vms) const {
    for (int vm = 1; vm <= vms; ++vm) {
      for (const int port : {kReadyPort, kOutboundPort, kInboundPort, kAppPort,
                             kPeerPort, kStatusPort}) {
        const int fd = Listen(this->Vm(vm), port);
        if (fd < 0) {
          return false;
        }
        ::close(fd);
      }
    }
    return true;
  }
  std::string prefix;
};

struct DaemonOptions {
  std::string name;
  std::string ip;
  std::string store;
  std::string zone = "zone-a";
  std::string region = "region-a";
  std::string service;
  std::map<std::string, std::string> zones = {{"zone-a", "region-a"}};
};

/// A daemon, started with the command of deploy/system.toml and settings as
/// deploy/vm.ini gives them with the bounds of the sites.
class Daemon {
 public:
  Daemon(const DaemonOptions& options, const std::string& folder)
      : options(options), path(folder + "/" + options.name + ".conf") {
    std::ofstream file(this->path);
    file << "[daemon]\nname = " << options.name << "\naddress = " << options.ip
         << "\nregion = " << options.region
         << "\nfailure_domain = " << options.zone
         << "\npeer_port = " << kPeerPort << "\ncaller_listen = " << options.ip
         << ":" << kOutboundPort << "\nready_listen = " << options.ip << ":"
         << kReadyPort << "\nready_path = /ready\nstatus_listen = "
         << options.ip << ":" << kStatusPort
         << "\nlocal_service = " << options.service
         << "\n\n[registry]\naddress = " << options.store << ":" << kStorePort
         << "\nregions = " << options.zone << " " << options.region;
    for (const auto& [zone, region] : options.zones) {
      file << ",\n    " << zone << " " << region;
    }
    file << "\nfloor = 0.7\n\n[headers]\n"
            "attempt_id = Comfreywood-Attempt-Id\n"
            "time_left = Comfreywood-Deadline-Ms\n"
            "expected_instance = Comfreywood-Expected-Instance\n"
            "not_executed = Comfreywood-Not-Executed\n"
            "caller_service = Comfreywood-Caller-Service\n"
            "signature = Comfreywood-Response-Signature\n\n"
            "[backend]\nclose_delimited = true\n\n"
            "[repeats]\nshare = 0.2\nslack = 58\n\n"
            "[shutdown]\ngrace = 6s\n";
    file.close();
    this->Start();
  }
  ~Daemon() { this->Kill(); }

  void Start() {
    const std::string log = this->path + ".log";
    const std::string argument = "--settings=" + this->path;
    this->pid = ::fork();
    if (this->pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      ::execl("target/Source/daemon/comfreyd", "target/Source/daemon/comfreyd",
              argument.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
  }
  void Signal(int signal) {
    if (this->pid > 0) {
      ::kill(this->pid, signal);
    }
  }
  void Kill() {
    if (this->pid > 0) {
      ::kill(this->pid, SIGKILL);
      ::kill(this->pid, SIGCONT);
      ::waitpid(this->pid, nullptr, 0);
      this->pid = -1;
    }
  }
  bool HasEnded() {
    return this->pid <= 0 || ::waitpid(this->pid, nullptr, WNOHANG) == this->pid;
  }
  /// Whether GET /ready gets 200.
  bool IsReady() const {
    const int fd = Connect(this->options.ip, kReadyPort, 200);
    if (fd < 0) {
      return false;
    }
    SendAll(fd, "GET /ready HTTP/1.1\r\nHost: " + this->options.ip +
                    "\r\nConnection: close\r\n\r\n");
    Reader input(fd);
    Message answer;
    const bool ready = input.Read(answer, Now() + 1) &&
                       answer.start.find(" 200") != std::string::npos;
    ::close(fd);
    return ready;
  }
  const std::string& Ip() const { return this->options.ip; }

 private:
  DaemonOptions options;
  std::string path;
  pid_t pid = -1;
};

/// A temporary folder that is removed at the end.
class Folder {
 public:
  Folder() {
    char name[] = "/tmp/comfrey-review-XXXXXX";
    if (::mkdtemp(name) == nullptr) {
      CannotRun("no temporary folder");
    }
    this->path = name;
    FolderPath() = this->path;
  }
  ~Folder() { this->Remove(); }
  void Remove() {
    if (std::getenv("KEEP") == nullptr) {
      const std::string command = "rm -rf '" + this->path + "'";
      if (std::system(command.c_str()) != 0) {
        std::fprintf(stderr, "cannot remove %s\n", this->path.c_str());
      }
    }
  }
  std::string path;
};

/// Ends the run: kills the daemons, removes the folder and exits. Threads of
/// the stand-ins may still wait; they end with the process.
[[noreturn]] inline void Finish(std::vector<std::unique_ptr<Daemon>>& daemons,
                                Folder& folder,
                                bool broken) {
  daemons.clear();
  folder.Remove();
  std::_Exit(broken ? 1 : 0);
}

inline void WaitReady(const std::vector<std::unique_ptr<Daemon>>& daemons) {
  for (const auto& daemon : daemons) {
    const double until = Now() + 15;
    while (!daemon->IsReady()) {
      if (Now() > until || daemon->HasEnded()) {
        CannotRun("a daemon does not become ready");
      }
      Sleep(0.05);
    }
  }
}

// ---- the operator's configuration -----------------------------------------

struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 4000;
  int target_ms = 1200;
  int priority = 1;
};

inline std::string Configuration(int version,
                                 const std::vector<Route>& routes,
                                 const std::vector<std::string>& services) {
  std::string text =
      "{\"version\":\"r" + std::to_string(version) + "\",\"resources\":[";
  for (const Route& route : routes) {
    text += "{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"" +
            route.name + "\"},\"spec\":{\"host\":\"" + route.host +
            "\",\"prefix\":\"" + route.prefix + "\",\"kind\":\"" + route.kind +
            "\",\"timeout\":\"" + std::to_string(route.timeout_ms) +
            "ms\",\"target_latency\":\"" + std::to_string(route.target_ms) +
            "ms\",\"priority\":" + std::to_string(route.priority) +
            ",\"service\":\"" + route.service + "\",\"max_attempts\":2}},";
  }
  for (const std::string& service : services) {
    text += "{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"" + service +
            "\"},\"spec\":{\"health_path\":\"/health\",\"max_connections\":330,"
            "\"protocol\":\"h1\",\"tls\":false}},";
  }
  return text +
         "{\"entry_kind\":\"limits\",\"metadata\":{\"name\":\"limits\"},"
         "\"spec\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
         "\"header_timeout\":\"5s\",\"idle_timeout\":\"10s\"}}]}";
}

// ---- clients --------------------------------------------------------------

struct Sent {
  std::string id;
  int vm = 0;
  double sent = 0;
  double answered = 0;
  int status = 0;  ///< 0: the connection ended without an answer.
  bool left = false;  ///< The client closed its connection before an answer.
  double left_at = 0;
};

class Clients {
 public:
  ~Clients() { this->Wait(); }

  static std::string NewId() {
    static std::atomic<unsigned> next{1};
    static const unsigned salt = std::random_device{}();
    char text[32];
    std::snprintf(text, sizeof(text), "%08x%08x", salt, next++);
    return text;
  }

  /// Sends one request on a new connection, on a thread of its own. The client
  /// leaves after `leave_after` seconds if that is not negative.
  void Send(int vm,
            const std::string& ip,
            const std::string& method,
            const std::string& host,
            const std::string& path,
            std::size_t body_bytes = 0,
            int deadline_ms = 8000,
            double leave_after = -1,
            bool chunked = false) {
    ++this->busy;
    std::thread([=] {
      Sent sent;
      sent.id = NewId();
      sent.vm = vm;
      sent.sent = Now();
      RECORD("client on VM %d: %s %s %s sent", vm, sent.id.c_str(),
             method.c_str(), path.c_str());
      const int fd = Connect(ip, kOutboundPort, 1000);
      if (fd >= 0) {
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                           "\r\nComfreywood-Attempt-Id: " + sent.id +
                           "\r\nComfreywood-Deadline-Ms: " +
                           std::to_string(deadline_ms) + "\r\n";
        if (method != "GET") {
          text += chunked ? "Transfer-Encoding: chunked\r\n"
                          : "Content-Length: " + std::to_string(body_bytes) +
                                "\r\n";
        }
        text += "\r\n";
        for (std::size_t left = body_bytes; left > 0;) {
          const std::size_t size =
              chunked ? std::min<std::size_t>(left, 8192) : left;
          char line[32];
          std::snprintf(line, sizeof(line), "%zx\r\n", size);
          text += (chunked ? line : "") + std::string(size, 'x') +
                  (chunked ? "\r\n" : "");
          left -= size;
        }
        text += chunked ? "0\r\n\r\n" : "";
        Reader input(fd);
        Message answer;
        const double until =
            sent.sent + (leave_after >= 0 ? leave_after : deadline_ms / 1000.0);
        if (SendAll(fd, text) && input.Read(answer, until)) {
          sent.status = std::atoi(answer.start.substr(9, 3).c_str());
          sent.answered = Now();
        } else if (leave_after >= 0 && Now() >= until - 0.005) {
          // What was sent has arrived before the close, so that the close
          // reaches the daemon's machine with nothing in between.
          int unsent = 0;
          while (::ioctl(fd, SIOCOUTQ, &unsent) == 0 && unsent > 0 &&
                 Now() < until + 0.1) {
            Sleep(0.005);
          }
          sent.left = unsent == 0;
          sent.left_at = Now();
        }
        ::close(fd);
      }
      if (sent.left) {
        RECORD("client on VM %d: %s closes its connection", vm,
               sent.id.c_str());
      } else {
        RECORD("client on VM %d: %s answered %d after %.0f ms", vm,
               sent.id.c_str(), sent.status, (Now() - sent.sent) * 1000);
      }
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->all.push_back(sent);
      }
      --this->busy;
    }).detach();
  }
  void Wait() {
    while (this->busy > 0) {
      Sleep(0.02);
    }
  }
  std::vector<Sent> All() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->all;
  }

 private:
  std::atomic<int> busy{0};
  std::mutex mutex;
  std::vector<Sent> all;
};

/// Calls `action` at a steady rate until `until`.
inline std::thread Every(double period,
                         double until,
                         std::function<void(int)> action) {
  return std::thread([=] {
    int count = 0;
    for (double at = 0; at < until; at += period) {
      SleepUntil(at);
      action(count++);
    }
  });
}

}  // namespace review

#endif  // REVIEW_HARNESS_H_
