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
// An answer takes a few milliseconds; a slow store takes some hundred.
constexpr milliseconds kAnswerTimeout{1500};
// A connection that something between its ends has forgotten carries no reset.
// Keep-alive probes find it while a watch waits, without further calls.
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 2;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;

void SetSocketOptions(socket_t socket) {
  const int enabled = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeIdleSeconds,
               sizeof(kProbeIdleSeconds));
  ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeIntervalSeconds,
               sizeof(kProbeIntervalSeconds));
  ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kProbeCount,
               sizeof(kProbeCount));
}

}  // namespace

/// \brief One answer of the store; `body` is null where nothing was found.
struct RegistryClient::Page {
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

absl::StatusOr<RegistryClient::Page> RegistryClient::Get(
    const std::string& step,
    const std::string& target,
    milliseconds wait) {
  this->client->set_read_timeout(wait + kAnswerTimeout);
  const httplib::Result result = this->client->Get(target);
  if (!result) {
    return absl::UnavailableError(
        absl::StrCat(step, " from the registry ", this->address, ": ",
                     httplib::to_string(result.error())));
  }
  if (result->status == kGone) {
    return absl::OutOfRangeError(
        absl::StrCat(step, " from the registry ", this->address,
                     ": the history is no longer kept"));
  }
  Page page;
  if (result->status == kNotFound) {
    return page;
  }
  if (result->status != kOk) {
    return absl::UnavailableError(absl::StrCat(step, " from the registry ",
                                               this->address, ": status ",
                                               result->status));
  }
  page.body = json::parse(result->body, nullptr, false);
  if (!page.body.is_object()) {
    return absl::UnavailableError(absl::StrCat(
        step, " from the registry ", this->address, ": malformed answer"));
  }
  const auto revision = page.body.find("store_revision");
  if (revision != page.body.end() && revision->is_number_unsigned()) {
    page.revision = revision->get<std::uint64_t>();
  }
  return page;
}

absl::StatusOr<RegistryUpdate> RegistryClient::ReadAll() {
  RegistryUpdate update;
  update.complete = true;
  absl::StatusOr<Page> config =
      this->Get("read the configuration",
                absl::StrCat("/kv-key?key=", kConfigKey), milliseconds(0));
  if (!config.ok()) {
    return config.status();
  }
  if (!config->body.is_null()) {
    AddItem(config->body, update);
  }
  std::string after;
  for (bool more = true; more;) {
    const absl::StatusOr<Page> page =
        this->Get("list the backend servers",
                  absl::StrCat("/kv-range?prefix=", kEndpointPrefix,
                               after.empty() ? "" : "&after=",
                               httplib::detail::encode_query_param(after)),
                  milliseconds(0));
    if (!page.ok()) {
      return page.status();
    }
    // The pages are no snapshot: what changes during the listing has a revision
    // after that of the first answer, and is read again by the watch.
    if (update.revision == 0) {
      update.revision = page->revision;
      if (config->revision != 0) {
        update.revision = std::min(update.revision, config->revision);
      }
    }
    const auto items = page->body.find("items");
    if (items == page->body.end() || !items->is_array()) {
      return absl::UnavailableError(
          absl::StrCat("list the backend servers from the registry ",
                       this->address, ": malformed answer"));
    }
    for (const json& item : *items) {
      AddItem(item, update);
      after = item.value("key", after);
    }
    more = page->body.value("has_more", false) && !items->empty();
  }
  return update;
}

absl::StatusOr<RegistryUpdate> RegistryClient::Watch(std::uint64_t revision,
                                                     milliseconds wait) {
  const absl::StatusOr<Page> page =
      this->Get("watch",
                absl::StrCat("/kv-watch?prefix=&after=", revision,
                             "&wait_ms=", wait.count()),
                wait);
  if (!page.ok()) {
    return page.status();
  }
  RegistryUpdate update;
  update.revision = std::max(page->revision, revision);
  const auto events = page->body.find("events");
  if (events == page->body.end() || !events->is_array()) {
    return absl::UnavailableError(absl::StrCat(
        "watch from the registry ", this->address, ": malformed answer"));
  }
  for (const json& event : *events) {
    AddItem(event, update);
  }
  return update;
}

}  // namespace comfrey::platform
