#include "platform/troubled_store.h"

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace {

constexpr char kConfigKey[] = "op/config";

constexpr double kResponseSeconds = 0.004;
constexpr double kSlowSeconds = 0.24;
constexpr std::chrono::milliseconds kCompactGap{1000};
// Status of a call that never gets a response, and of one that is reset.
constexpr int kNoResponse = 0;
constexpr int kResetConnection = -1;

std::string Render(const std::string& key,
                   const std::string& value,
                   long revision,
                   long created) {
  return "{\"key\":\"" + key + "\",\"value\":\"" + review::Base64(value) +
         "\",\"rev\":" + std::to_string(revision) +
         ",\"create_revision\":" + std::to_string(created) + ",\"lease\":0";
}

void StaySilent(int fd) {
  char bytes[4096];
  while (::recv(fd, bytes, sizeof(bytes), 0) > 0) {
  }
}

void ResetOnClose(int fd) {
  const linger option{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

// Status with which a trouble answers calls, 200 if it serves them.
int StatusOf(Trouble trouble) {
  switch (trouble) {
    case Trouble::kSilent:
      return kNoResponse;
    case Trouble::kBusy:
      return 503;
    case Trouble::kMany:
      return 429;
    case Trouble::kReset:
      return kResetConnection;
    default:
      return 200;
  }
}

}  // namespace

void TroubledStore::ListenFor(int reader, const std::string& ip, int port) {
  this->servers.push_back(std::make_unique<review::Server>(
      ip, port, [this, reader](int fd) { this->Serve(reader, fd); }));
}

double TroubledStore::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->PutLocked(key, value);
}

double TroubledStore::Publish(const std::string& config) {
  return this->Put(kConfigKey, config);
}

double TroubledStore::PutLocked(const std::string& key,
                                const std::string& value) {
  Item& item = this->contents.items[key];
  item.value = value;
  item.revision = ++this->contents.revision;
  item.created = item.created == 0 ? item.revision : item.created;
  this->contents.log.push_back({item.revision, key, item});
  this->changed.notify_all();
  return review::Now();
}

void TroubledStore::PublishDuringFirstListing(const std::string& config) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->config_of_first_listing = config;
}

void TroubledStore::Begin(Trouble kind, const std::set<int>& readers) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->trouble = kind;
    this->affected = readers;
    ++this->begun;
    this->changed.notify_all();
  }
  if (kind == Trouble::kCompact) {
    std::this_thread::sleep_for(kCompactGap);
    this->End();
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->contents.log.clear();
    this->contents.oldest_revision = this->contents.revision;
  }
}

void TroubledStore::End() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->trouble = Trouble::kNone;
  this->affected.clear();
  this->changed.notify_all();
}

void TroubledStore::TakeCopy() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->copy = this->contents;
}

void TroubledStore::Restore() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->contents = this->copy;
  ++this->era;
  this->changed.notify_all();
}

std::vector<double> TroubledStore::LimitedCalls() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->limited_calls;
}

bool TroubledStore::IsAffected(int reader) const {
  return this->affected.count(reader) > 0;
}

std::string TroubledStore::Revision() const {
  return "\"store_revision\":" + std::to_string(this->contents.revision);
}

// Applies the trouble to a call that has just arrived.
bool TroubledStore::Disturb(int reader,
                            int fd,
                            std::unique_lock<std::mutex>& lock) {
  if (!this->IsAffected(reader)) {
    return false;
  }
  if (this->trouble == Trouble::kLate) {
    this->changed.wait(lock, [&] { return !this->IsAffected(reader); });
  } else if (this->trouble == Trouble::kSlow) {
    lock.unlock();
    review::Sleep(kSlowSeconds);
    lock.lock();
  }
  const int status = StatusOf(this->trouble);
  if (status == 200 || !this->IsAffected(reader)) {
    return false;
  }
  lock.unlock();
  if (status == kNoResponse) {
    StaySilent(fd);
  } else if (status == kResetConnection) {
    ResetOnClose(fd);
  }
  return status == kNoResponse || status == kResetConnection ||
         !review::SendAll(fd, "HTTP/1.1 " + std::to_string(status) +
                                  " No\r\nContent-Length: 0\r\n\r\n");
}

TroubledStore::Response TroubledStore::Read(const std::string& target) const {
  const std::string key = review::QueryValue(target, "key");
  const auto found = this->contents.items.find(key);
  if (found == this->contents.items.end()) {
    return {404, ""};
  }
  const Item& item = found->second;
  return {200, Render(key, item.value, item.revision, item.created) + "," +
                   this->Revision() + "}"};
}

TroubledStore::Response TroubledStore::List(const std::string& target) {
  if (!this->config_of_first_listing.empty()) {
    this->PutLocked(kConfigKey,
                    std::exchange(this->config_of_first_listing, ""));
  }
  const std::string prefix = review::QueryValue(target, "prefix");
  const std::string after = review::QueryValue(target, "after");
  std::string body;
  for (const auto& [key, item] : this->contents.items) {
    if (key.rfind(prefix, 0) == 0 && key > after) {
      body += (body.empty() ? "" : ",") +
              Render(key, item.value, item.revision, item.created) + "}";
    }
  }
  return {200, "{\"items\":[" + body + "],\"has_more\":false," +
                   this->Revision() + "}"};
}

TroubledStore::Response TroubledStore::Watch(
    const std::string& target,
    int reader,
    std::unique_lock<std::mutex>& lock) {
  const long after = std::atol(review::QueryValue(target, "after").c_str());
  const int wait = std::atoi(review::QueryValue(target, "wait_ms").c_str());
  if (after < this->contents.oldest_revision ||
      after > this->contents.revision) {
    return {410, ""};
  }
  const int begun_before = this->begun;
  const bool deaf = this->trouble == Trouble::kCompact;
  const auto was_disturbed = [&] {
    return this->begun != begun_before && this->IsAffected(reader) &&
           this->trouble != Trouble::kSlow && this->trouble != Trouble::kLate;
  };
  this->changed.wait_for(lock, std::chrono::milliseconds(wait), [&] {
    return was_disturbed() || (!deaf && this->contents.revision > after);
  });
  if (this->begun != begun_before && this->IsAffected(reader)) {
    switch (this->trouble) {
      case Trouble::kLost:
        return {kNoResponse, ""};
      case Trouble::kLate:
        this->changed.wait(lock, [&] { return !this->IsAffected(reader); });
        break;
      case Trouble::kCompact:
        this->changed.wait(lock, [&] { return !this->IsAffected(reader); });
        return {kResetConnection, ""};
      default:
        if (was_disturbed()) {
          return {StatusOf(this->trouble), ""};
        }
    }
  }
  std::string body;
  for (const Event& event : this->contents.log) {
    if (!deaf && event.revision > after) {
      body += (body.empty() ? "" : ",") +
              Render(event.key, event.item.value, event.revision,
                     event.item.created) +
              "}";
    }
  }
  return {200, "{\"events\":[" + body + "]," + this->Revision() + "}"};
}

void TroubledStore::Serve(int reader, int fd) {
  review::Reader input(fd);
  review::Message request;
  while (input.Read(request, -1)) {
    ++this->calls;
    review::Sleep(kResponseSeconds);
    const std::size_t space = request.start.find(' ');
    const std::string target =
        request.start.substr(space + 1, request.start.rfind(' ') - space - 1);
    Response response;
    std::string era;
    {
      std::unique_lock<std::mutex> lock(this->mutex);
      if (target.find("allow_stale=1") == std::string::npos) {
        this->limited_calls.push_back(review::Now());
      }
      const int status =
          this->IsAffected(reader) ? StatusOf(this->trouble) : 200;
      if (this->Disturb(reader, fd, lock)) {
        return;
      }
      if (status != 200) {
        continue;
      }
      if (target.rfind("/kv-key", 0) == 0) {
        response = this->Read(target);
      } else if (target.rfind("/kv-range", 0) == 0) {
        response = this->List(target);
      } else {
        response = this->Watch(target, reader, lock);
      }
      era = std::to_string(this->era);
    }
    if (response.status == kNoResponse) {
      StaySilent(fd);
      return;
    }
    if (response.status == kResetConnection) {
      ResetOnClose(fd);
      return;
    }
    if (!review::SendAll(fd, "HTTP/1.1 " + std::to_string(response.status) +
                                 " X\r\nStore-Era: " + era +
                                 "\r\nContent-Length: " +
                                 std::to_string(response.body.size()) +
                                 "\r\n\r\n" + response.body)) {
      return;
    }
  }
}
