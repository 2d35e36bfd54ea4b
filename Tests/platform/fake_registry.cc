#include "fake_registry.h"

#include <chrono>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;

void SetJsonBody(httplib::Response& response, const std::string& body) {
  response.set_content(body, "application/json");
}

}  // namespace

FakeRegistry::FakeRegistry(const std::string& ip, int port, int threads) {
  this->server.new_task_queue = [threads] {
    return new httplib::ThreadPool(static_cast<std::size_t>(threads));
  };
  this->server.Get("/kv-key", [this](const auto& request, auto& response) {
    this->Read(request, response);
    this->AddEra(response);
  });
  this->server.Get("/kv-range", [this](const auto& request, auto& response) {
    this->List(request, response);
    this->AddEra(response);
  });
  this->server.Get("/kv-watch", [this](const auto& request, auto& response) {
    this->Watch(request, response);
    this->AddEra(response);
  });
  this->server.bind_to_port(ip, port);
  this->thread = std::thread([this] { this->server.listen_after_bind(); });
}

FakeRegistry::~FakeRegistry() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  this->server.stop();
  this->thread.join();
}

void FakeRegistry::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->state.items[key] = {value, ++this->state.revision, false};
  this->changed.notify_all();
}

void FakeRegistry::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->state.items[key] = {"", ++this->state.revision, true};
  this->changed.notify_all();
}

void FakeRegistry::SetUnavailable(bool enabled) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->unavailable = enabled;
  this->changed.notify_all();
}

void FakeRegistry::SetSilent(bool enabled) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->silent = enabled;
}

FakeRegistry::State FakeRegistry::TakeCopy() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->state;
}

void FakeRegistry::Restore(const State& copy) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->state = copy;
  ++this->era;
  ++this->cuts;
  this->changed.notify_all();
}

void FakeRegistry::AddEra(httplib::Response& response) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  response.set_header("Store-Era", std::to_string(this->era));
}

// A body that ends before its stated length makes the server close the
// connection.
void FakeRegistry::CloseUnanswered(httplib::Response& response) {
  response.set_content_provider(
      1, "application/json",
      [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

void FakeRegistry::CutWatches() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->cuts;
  this->changed.notify_all();
}

std::string FakeRegistry::Render(const std::string& key,
                                 const Item& item) const {
  if (item.removed) {
    return absl::StrCat("{\"key\":\"", key, "\",\"rev\":", item.revision,
                        ",\"deleted\":true");
  }
  return absl::StrCat("{\"key\":\"", key, "\",\"value\":\"",
                      absl::Base64Escape(item.value),
                      "\",\"rev\":", item.revision,
                      ",\"create_revision\":", item.revision, ",\"lease\":0");
}

bool FakeRegistry::Reject(std::unique_lock<std::mutex>& lock,
                          httplib::Response& response) {
  if (this->silent) {
    this->changed.wait(lock, [this] { return this->stopping; });
  }
  if (this->unavailable) {
    response.status = kUnavailable;
  }
  return this->unavailable;
}

void FakeRegistry::Read(const httplib::Request& request,
                        httplib::Response& response) {
  std::unique_lock<std::mutex> lock(this->mutex);
  if (this->Reject(lock, response)) {
    return;
  }
  const std::string key = request.get_param_value("key");
  const auto found = this->state.items.find(key);
  if (found == this->state.items.end() || found->second.removed) {
    response.status = kNotFound;
    return;
  }
  SetJsonBody(response,
              absl::StrCat(this->Render(key, found->second),
                           ",\"store_revision\":", this->state.revision, "}"));
}

void FakeRegistry::List(const httplib::Request& request,
                        httplib::Response& response) {
  std::unique_lock<std::mutex> lock(this->mutex);
  if (this->Reject(lock, response)) {
    return;
  }
  std::string rendered;
  for (const auto& [key, item] : this->state.items) {
    if (!item.removed &&
        absl::StartsWith(key, request.get_param_value("prefix"))) {
      absl::StrAppend(&rendered, rendered.empty() ? "" : ",",
                      this->Render(key, item), "}");
    }
  }
  SetJsonBody(response, absl::StrCat("{\"items\":[", rendered,
                                     "],\"has_more\":false,\"store_revision\":",
                                     this->state.revision, "}"));
}

void FakeRegistry::Watch(const httplib::Request& request,
                         httplib::Response& response) {
  const std::uint64_t after = std::stoull(request.get_param_value("after"));
  const std::chrono::milliseconds wait(
      std::stoi(request.get_param_value("wait_ms")));
  std::unique_lock<std::mutex> lock(this->mutex);
  if (this->Reject(lock, response)) {
    return;
  }
  if (after > this->state.revision) {
    response.status = kGone;
    return;
  }
  const int cuts_before = this->cuts;
  this->changed.wait_for(lock, wait, [&] {
    return this->stopping || this->unavailable ||
           this->state.revision > after || this->cuts != cuts_before;
  });
  if (this->cuts != cuts_before) {
    CloseUnanswered(response);
    return;
  }
  if (this->unavailable) {
    response.status = kUnavailable;
    return;
  }
  std::string rendered;
  for (const auto& [key, item] : this->state.items) {
    if (item.revision > after) {
      absl::StrAppend(&rendered, rendered.empty() ? "" : ",",
                      this->Render(key, item), "}");
    }
  }
  SetJsonBody(response,
              absl::StrCat("{\"events\":[", rendered,
                           "],\"store_revision\":", this->state.revision, "}"));
}

}  // namespace comfrey
