#include "platform/registry_client.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"
#include "platform/registry_decoder.h"

namespace comfrey::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// The registry usually responds within a few milliseconds, and within a few
// hundred when it is slow.
constexpr milliseconds kConnectTimeout{500};
constexpr milliseconds kReadTimeout{1500};
constexpr milliseconds kRevisionReadTimeout{600};
// A page has about 1 MB. A limit is needed because a faulty server may send
// bytes without end. A response may end with its connection, since a part of a
// JSON document is none.
const ResponseLimits kResponseLimits{16 << 20, true, nullptr};

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;

// Number of times that the registry was restored from a copy, plus one.
constexpr char kEraHeader[] = "Store-Era";
// An unreadable value is quoted in the log up to this length.
constexpr std::size_t kMaxQuotedEra = 40;

// Encodes a value of a query (RFC 3986, section 2.1).
std::string EncodeQueryValue(const std::string& value) {
  std::string encoded;
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (absl::ascii_isalnum(byte) || c == '-' || c == '.' || c == '_' ||
        c == '~') {
      encoded += c;
    } else {
      absl::StrAppend(&encoded, "%", absl::Hex(byte, absl::kZeroPad2));
    }
  }
  return encoded;
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

// Returns the era that a response names, or 0. If its value cannot be read,
// sets `problem`.
std::uint64_t ReadEra(const HttpResponse& response, std::string& problem) {
  const absl::string_view text = FindHeader(response.headers, kEraHeader);
  std::uint64_t era = 0;
  if (text.empty() || (absl::SimpleAtoi(text, &era) && era > 0)) {
    return era;
  }
  problem = absl::StrCat("the header ", kEraHeader, " is \"",
                         absl::CEscape(text.substr(0, kMaxQuotedEra)), "\"");
  return 0;
}

absl::StatusCode CodeOfResponse(int status) {
  switch (status) {
    case kGone:
      return absl::StatusCode::kOutOfRange;
    case kTooManyRequests:
      return absl::StatusCode::kResourceExhausted;
    default:
      return absl::StatusCode::kUnavailable;
  }
}

}  // namespace

/// \brief One response of the registry; `body` is null if the key does not
/// exist.
struct RegistryClient::Response {
  json body;
  RegistryRevision revision;
  std::string era_problem;
};

RegistryClient::RegistryClient(const std::string& ip, int port)
    : client(ip, port, kResponseLimits, kConnectTimeout),
      revision_client(ip, port, kResponseLimits, kConnectTimeout) {}

void RegistryClient::AbandonWatch() {
  this->client.Abandon();
}

void RegistryClient::Stop() {
  this->client.Stop();
  this->revision_client.Stop();
}

absl::StatusOr<RegistryClient::Response> RegistryClient::Get(
    HttpGetClient& via,
    const std::string& operation,
    const std::string& target,
    milliseconds timeout) {
  const auto make_error = [&](absl::StatusCode code, const auto& cause) {
    return absl::Status(code, absl::StrCat(operation, " from the registry ",
                                           via.Peer(), ": ", cause));
  };
  const absl::StatusOr<HttpResponse> received =
      via.Get(target, Clock::now() + timeout);
  if (!received.ok()) {
    const absl::Status& error = received.status();
    return make_error(
        absl::IsDataLoss(error) ? absl::StatusCode::kUnavailable : error.code(),
        error.message());
  }
  Response response;
  response.revision.era = ReadEra(*received, response.era_problem);
  if (received->status == kNotFound) {
    return response;
  }
  if (received->status != kOk) {
    return make_error(CodeOfResponse(received->status),
                      absl::StrCat("status ", received->status));
  }
  response.body = json::parse(received->body, nullptr, false);
  if (!response.body.is_object()) {
    return make_error(absl::StatusCode::kUnavailable, "malformed response");
  }
  const auto revision = response.body.find("store_revision");
  if (revision != response.body.end() && revision->is_number_unsigned()) {
    response.revision.revision = revision->get<std::uint64_t>();
  }
  return response;
}

absl::StatusOr<RegistryUpdate> RegistryClient::ReadAll() {
  RegistryUpdate update;
  update.complete = true;
  const absl::Status listed = this->ListRegistrations(update);
  if (!listed.ok()) {
    return listed;
  }
  // The configuration is read last. A configuration that is published after
  // this read has a later revision than the listing, so a watch returns it,
  // although a response for a missing configuration has no revision.
  const absl::Status read = this->ReadConfig(update);
  if (!read.ok()) {
    return read;
  }
  return update;
}

absl::Status RegistryClient::ListRegistrations(RegistryUpdate& update) {
  std::string last_key;
  for (bool more = true; more;) {
    const absl::StatusOr<Response> response =
        Get(this->client, "list the backend servers",
            absl::StrCat(
                "/kv-range?prefix=", kRegistrationKeyPrefix,
                last_key.empty() ? "" : "&after=", EncodeQueryValue(last_key)),
            kReadTimeout);
    if (!response.ok()) {
      return response.status();
    }
    // The pages of a listing are not a snapshot. The revision of the first one
    // is kept, so that a watch from it returns the changes made during the
    // listing.
    if (last_key.empty()) {
      update.revision = response->revision;
    }
    absl::Status same_era = this->CheckEra(*response, update);
    if (!same_era.ok()) {
      return same_era;
    }
    const auto items = response->body.find("items");
    if (items == response->body.end() || !items->is_array()) {
      return absl::UnavailableError(
          absl::StrCat("list the backend servers from the registry ",
                       this->client.Peer(), ": malformed response"));
    }
    for (const json& item : *items) {
      AddItem(item, update);
    }
    // A page that does not advance would be read again without end.
    const std::string page_end = LastKey(*items);
    more = HasMore(response->body) && page_end > last_key;
    last_key = page_end;
  }
  return absl::OkStatus();
}

absl::Status RegistryClient::ReadConfig(RegistryUpdate& update) {
  const absl::StatusOr<Response> config =
      Get(this->client, "read the configuration",
          absl::StrCat("/kv-key?key=", kConfigKey), kReadTimeout);
  if (!config.ok()) {
    return config.status();
  }
  absl::Status same_era = this->CheckEra(*config, update);
  if (!same_era.ok()) {
    return same_era;
  }
  if (!config->body.is_null()) {
    AddItem(config->body, update);
  }
  return absl::OkStatus();
}

// A listing whose responses come from two eras is none of either.
absl::Status RegistryClient::CheckEra(const Response& response,
                                      RegistryUpdate& update) const {
  if (update.era_problem.empty()) {
    update.era_problem = response.era_problem;
  }
  std::uint64_t& era = update.revision.era;
  if (era == 0) {
    era = response.revision.era;
  }
  if (response.revision.era == 0 || response.revision.era == era) {
    return absl::OkStatus();
  }
  return absl::AbortedError(absl::StrCat(
      "list the registry ", this->client.Peer(), ": the era changed from ", era,
      " to ", response.revision.era, " meanwhile"));
}

absl::StatusOr<RegistryUpdate> RegistryClient::Watch(
    const RegistryRevision& revision,
    milliseconds max_wait) {
  const absl::StatusOr<Response> response =
      Get(this->client, "watch",
          absl::StrCat("/kv-watch?prefix=&after=", revision.revision,
                       "&wait_ms=", max_wait.count()),
          max_wait + kReadTimeout);
  if (!response.ok()) {
    return response.status();
  }
  const auto events = response->body.find("events");
  if (events == response->body.end() || !events->is_array()) {
    return absl::UnavailableError(absl::StrCat("watch from the registry ",
                                               this->client.Peer(),
                                               ": malformed response"));
  }
  RegistryUpdate update;
  // The revision of a response without changes is not taken: the registry may
  // withhold the changes of the last moment from a watch that ends then.
  update.revision.era = response->revision.era;
  update.revision.revision =
      events->empty()
          ? revision.revision
          : std::max(response->revision.revision, revision.revision);
  update.era_problem = response->era_problem;
  for (const json& event : *events) {
    AddItem(event, update);
  }
  return update;
}

absl::StatusOr<RegistryRevision> RegistryClient::ReadRevision() {
  // No key has this prefix, so the response is short.
  const absl::StatusOr<Response> response = Get(
      this->revision_client, "read the revision",
      "/kv-range?prefix=comfreywood/none&allow_stale=1", kRevisionReadTimeout);
  if (!response.ok()) {
    return response.status();
  }
  return response->revision;
}

}  // namespace comfrey::platform
