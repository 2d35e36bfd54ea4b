#include "platform/registry_client.h"

#include <httplib.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"
#include "platform/registry_decoder.h"

namespace comfrey::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{500};
// The registry usually responds within a few milliseconds, and within a few
// hundred when it is slow.
constexpr milliseconds kResponseTimeout{1500};
// TCP keep-alive detects a broken connection while a watch waits on it. No
// reset arrives if a device between the two hosts has lost the state of the
// connection.
constexpr int kKeepaliveIdleSeconds = 1;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kKeepaliveProbeCount = 2;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;

void SetSocketOptions(socket_t socket) {
  const int enabled = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepaliveIdleSeconds,
               sizeof(kKeepaliveIdleSeconds));
  ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepaliveIntervalSeconds,
               sizeof(kKeepaliveIntervalSeconds));
  ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kKeepaliveProbeCount,
               sizeof(kKeepaliveProbeCount));
}

// Returns the last key of a page, or "" if no item has one.
std::string LastKey(const json& items) {
  std::string last;
  for (const json& item : items) {
    const auto key = item.find("key");
    if (key != item.end() && key->is_string()) {
      last = key->get<std::string>();
    }
  }
  return last;
}

bool HasMore(const json& page) {
  const auto more = page.find("has_more");
  return more != page.end() && more->is_boolean() && more->get<bool>();
}

}  // namespace

/// \brief One response of the registry; `body` is null if the key does not
/// exist.
struct RegistryClient::Response {
  json body;
  std::uint64_t revision = 0;
};

RegistryClient::RegistryClient(const std::string& ip, int port)
    : address(absl::StrCat(ip, ":", port)),
      client(std::make_unique<httplib::Client>(ip, port)) {
  this->client->set_keep_alive(true);
  this->client->set_connection_timeout(kConnectTimeout);
  this->client->set_socket_options(SetSocketOptions);
}

RegistryClient::~RegistryClient() = default;

void RegistryClient::Stop() {
  this->client->stop();
}

absl::StatusOr<RegistryClient::Response> RegistryClient::Get(
    const std::string& operation,
    const std::string& target,
    milliseconds max_wait) {
  this->client->set_read_timeout(max_wait + kResponseTimeout);
  const httplib::Result result = this->client->Get(target);
  if (!result) {
    return absl::UnavailableError(
        absl::StrCat(operation, " from the registry ", this->address, ": ",
                     httplib::to_string(result.error())));
  }
  if (result->status == kGone) {
    return absl::OutOfRangeError(
        absl::StrCat(operation, " from the registry ", this->address,
                     ": the registry no longer keeps the requested history"));
  }
  Response response;
  if (result->status == kNotFound) {
    return response;
  }
  if (result->status != kOk) {
    return absl::UnavailableError(absl::StrCat(operation, " from the registry ",
                                               this->address, ": status ",
                                               result->status));
  }
  response.body = json::parse(result->body, nullptr, false);
  if (!response.body.is_object()) {
    return absl::UnavailableError(absl::StrCat(operation, " from the registry ",
                                               this->address,
                                               ": malformed response"));
  }
  const auto revision = response.body.find("store_revision");
  if (revision != response.body.end() && revision->is_number_unsigned()) {
    response.revision = revision->get<std::uint64_t>();
  }
  return response;
}

absl::StatusOr<RegistryUpdate> RegistryClient::ReadAll() {
  RegistryUpdate update;
  update.complete = true;
  absl::StatusOr<Response> config =
      this->Get("read the configuration",
                absl::StrCat("/kv-key?key=", kConfigKey), milliseconds(0));
  if (!config.ok()) {
    return config.status();
  }
  if (!config->body.is_null()) {
    AddItem(config->body, update);
  }
  std::string last_key;
  for (bool more = true; more;) {
    const absl::StatusOr<Response> response =
        this->Get("list the backend servers",
                  absl::StrCat("/kv-range?prefix=", kRegistrationKeyPrefix,
                               last_key.empty() ? "" : "&after=",
                               httplib::detail::encode_query_param(last_key)),
                  milliseconds(0));
    if (!response.ok()) {
      return response.status();
    }
    // The pages of a listing are not a snapshot. The oldest revision is kept,
    // so that a watch from it returns the changes made during the listing.
    if (update.revision == 0) {
      update.revision = response->revision;
      if (config->revision != 0) {
        update.revision = std::min(update.revision, config->revision);
      }
    }
    const auto items = response->body.find("items");
    if (items == response->body.end() || !items->is_array()) {
      return absl::UnavailableError(
          absl::StrCat("list the backend servers from the registry ",
                       this->address, ": malformed response"));
    }
    for (const json& item : *items) {
      AddItem(item, update);
    }
    // A page that does not advance would be read again without end.
    const std::string page_end = LastKey(*items);
    more = HasMore(response->body) && page_end > last_key;
    last_key = page_end;
  }
  return update;
}

absl::StatusOr<RegistryUpdate> RegistryClient::Watch(std::uint64_t revision,
                                                     milliseconds max_wait) {
  const absl::StatusOr<Response> response =
      this->Get("watch",
                absl::StrCat("/kv-watch?prefix=&after=", revision,
                             "&wait_ms=", max_wait.count()),
                max_wait);
  if (!response.ok()) {
    return response.status();
  }
  RegistryUpdate update;
  update.revision = std::max(response->revision, revision);
  const auto events = response->body.find("events");
  if (events == response->body.end() || !events->is_array()) {
    return absl::UnavailableError(absl::StrCat(
        "watch from the registry ", this->address, ": malformed response"));
  }
  for (const json& event : *events) {
    AddItem(event, update);
  }
  return update;
}

}  // namespace comfrey::platform
