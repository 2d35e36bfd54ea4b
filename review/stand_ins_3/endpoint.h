// Stand-in of an application endpoint, as the pages describe a sound one.
#ifndef REVIEW_STAND_INS_3_ENDPOINT_H_
#define REVIEW_STAND_INS_3_ENDPOINT_H_

#include <atomic>
#include <condition_variable>
#include <string>

#include "http.h"
#include "record.h"

namespace review {

constexpr milliseconds kHeartbeat{1500};

class Endpoint {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string ip;
    int port = 0;
    std::string zone;
    int slots = 4;
    int queue = 36;
    milliseconds work{350};
  };

  Endpoint(Options options, Record& record)
      : options(std::move(options)),
        record(record),
        server(this->options.ip,
               this->options.port,
               [this](const Message& request, int socket) {
                 return this->Handle(request, socket);
               }) {}

  void Start() {
    this->started_at = Clock::now();
    this->born = std::chrono::duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
    this->server.Start();
  }

  // Ends as a process that exits: what runs gets no answer.
  void Stop() {
    this->ended = true;
    this->changed.notify_all();
    this->server.Stop();
  }

  void SetDraining() { this->draining = true; }

  // The entry as it is written to the store now. `cold` is the rest of the
  // cold start. The sequence counts the heartbeats since the start, and grows
  // with each write.
  std::string Entry(const std::string& cold) {
    const auto heartbeats =
        static_cast<int>((Clock::now() - this->started_at) / kHeartbeat);
    this->sequence = std::max(this->sequence + 1, heartbeats + 1);
    return "{\"service\":\"" + this->options.service + "\",\"address\":\"" +
           this->options.ip + ":" + std::to_string(this->options.port) +
           "\",\"zone\":\"" + this->options.zone +
           "\",\"version\":\"v1\",\"slots\":" +
           std::to_string(this->options.slots) + ",\"state\":\"" +
           (this->draining ? "draining" : "ready") +
           "\",\"cold_remaining\":\"" + cold +
           "\",\"sequence\":" + std::to_string(this->sequence) +
           ",\"born\":" + std::to_string(this->born) + "}";
  }

  std::string Key() const { return "servers/" + this->options.id; }
  const std::string& Id() const { return this->options.id; }

  // Called when a request begins to run, with its id.
  std::function<void(const Endpoint& endpoint, const Message& request)> on_run;

 private:
  std::string Answer(const std::string& status,
                     const std::string& headers,
                     const std::string& body) {
    return "HTTP/1.1 " + status + "\r\n" + headers +
           (this->draining ? "Connection: close\r\n"
                           : "Keep-Alive: timeout=10\r\n") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  std::string Handle(const Message& request, int /*socket*/) {
    if (request.target == "/health") {
      return this->Answer(
          this->draining ? "503 Service Unavailable" : "200 OK",
          "Comfreywood-Instance-Id: " + this->options.id + "\r\n", "");
    }
    const std::string id = request.Header("comfreywood-attempt-id");
    const std::string expected =
        request.Header("comfreywood-expected-instance");
    if (id.empty()) {
      return this->Answer("400 Bad Request", "Comfreywood-Not-Executed: 1\r\n",
                          "");
    }
    const std::string echo = "Comfreywood-Attempt-Id: " + id + "\r\n";
    if (!expected.empty() && expected != this->options.id) {
      return this->Answer(
          "421 Misdirected Request",
          echo + "Comfreywood-Instance-Id: " + this->options.id + "\r\n", "");
    }
    std::unique_lock<std::mutex> lock(this->mutex);
    if (this->running + this->waiting >=
        this->options.slots + this->options.queue) {
      return this->Answer("503 Service Unavailable",
                          echo + "Comfreywood-Not-Executed: 1\r\n", "");
    }
    ++this->waiting;
    this->changed.wait(lock, [this] {
      return this->ended || this->running < this->options.slots;
    });
    --this->waiting;
    if (this->ended) {
      return "";
    }
    ++this->running;
    lock.unlock();
    this->record.Write("endpoint " + this->options.id + ": runs " + id + " " +
                       request.method + " " + request.target);
    if (this->on_run) {
      this->on_run(*this, request);
    }
    lock.lock();
    this->changed.wait_for(lock, this->options.work,
                           [this] { return this->ended.load(); });
    --this->running;
    this->changed.notify_all();
    if (this->ended) {
      this->record.Write("endpoint " + this->options.id + ": exits while " +
                         id + " runs");
      return "";
    }
    lock.unlock();
    return this->Answer("200 OK",
                        echo + "Comfreywood-Response-Signature: " +
                            this->options.id + "." + id + "\r\n",
                        "ran " + id + "\n");
  }

  const Options options;
  Record& record;
  Clock::time_point started_at;
  long long born = 0;
  int sequence = 0;
  std::atomic<bool> draining{false};
  std::atomic<bool> ended{false};
  std::mutex mutex;
  std::condition_variable changed;
  int running = 0;
  int waiting = 0;
  Server server;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_3_ENDPOINT_H_
