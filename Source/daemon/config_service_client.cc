#include "daemon/config_service_client.h"

#include <httplib.h>

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace comfrey {
namespace {

constexpr std::chrono::milliseconds kConnectTimeout{1000};
// Time that the service has to respond, in addition to the wait time of a
// watch.
constexpr std::chrono::milliseconds kReadTimeoutMargin{2000};

absl::string_view TakeLine(absl::string_view& text) {
  const std::size_t end = text.find('\n');
  const absl::string_view line = text.substr(0, end);
  text.remove_prefix(end == absl::string_view::npos ? text.size() : end + 1);
  return line;
}

absl::Status MalformedResponseError(absl::string_view line) {
  return absl::DataLossError(absl::StrCat(
      "parse response of the configuration service: unexpected line \"",
      line.substr(0, 80), "\""));
}

// Whether a response that was cut is noticed. One that ends with its connection
// may be cut between two entries, and the entries before it would be used with
// the revision of the whole response.
bool HasKnownEnd(const httplib::Response& response) {
  return response.has_header("Content-Length") ||
         absl::EqualsIgnoreCase(response.get_header_value("Transfer-Encoding"),
                                "chunked");
}

}  // namespace

absl::StatusOr<TreeUpdate> ParseTreeUpdate(absl::string_view body) {
  TreeUpdate update;
  const absl::string_view first = TakeLine(body);
  const std::vector<absl::string_view> head = absl::StrSplit(first, ' ');
  if (head.size() != 2 || head[0] != "revision" ||
      !absl::SimpleAtoi(head[1], &update.revision)) {
    return MalformedResponseError(first);
  }
  while (!body.empty()) {
    const absl::string_view line = TakeLine(body);
    const std::vector<absl::string_view> fields = absl::StrSplit(line, ' ');
    ServiceValue value;
    std::size_t length = 0;
    if (fields.size() != 4 || fields[0] != "path" ||
        !absl::SimpleAtoi(fields[2], &value.revision) ||
        !absl::SimpleAtoi(fields[3], &length) || length > body.size()) {
      return MalformedResponseError(line);
    }
    value.path = std::string(fields[1]);
    value.text = std::string(body.substr(0, length));
    body.remove_prefix(length);
    update.values.push_back(std::move(value));
  }
  return update;
}

absl::StatusOr<std::vector<VmEntry>> ParseVmList(absl::string_view body) {
  std::vector<VmEntry> entries;
  while (!body.empty()) {
    const absl::string_view line = TakeLine(body);
    if (line.empty()) {
      continue;
    }
    const std::vector<absl::string_view> fields = absl::StrSplit(line, ' ');
    constexpr std::size_t kFieldCount = 5;
    if (fields.size() != kFieldCount ||
        (fields[4] != "live" && fields[4] != "leaving")) {
      return MalformedResponseError(line);
    }
    entries.push_back({std::string(fields[0]), std::string(fields[1]),
                       std::string(fields[2]), std::string(fields[3]),
                       fields[4] == "leaving"});
  }
  return entries;
}

ConfigServiceClient::ConfigServiceClient(std::string ip, int port)
    : ip(std::move(ip)), port(port) {}

absl::StatusOr<TreeUpdate> ConfigServiceClient::ReadTree(
    const std::string& prefix,
    std::uint64_t after,
    std::chrono::milliseconds wait) const {
  const absl::StatusOr<std::string> body =
      this->Get(absl::StrCat("/v1/tree?prefix=", prefix, "&after=", after,
                             "&wait=", wait.count()),
                wait);
  if (!body.ok()) {
    return body.status();
  }
  return ParseTreeUpdate(*body);
}

absl::StatusOr<std::vector<VmEntry>> ConfigServiceClient::ReadVmList() const {
  const absl::StatusOr<std::string> body =
      this->Get("/v1/vms", std::chrono::milliseconds(0));
  if (!body.ok()) {
    return body.status();
  }
  return ParseVmList(*body);
}

absl::StatusOr<std::string> ConfigServiceClient::Get(
    const std::string& target,
    std::chrono::milliseconds wait) const {
  httplib::Client client(this->ip, this->port);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(wait + kReadTimeoutMargin);
  const httplib::Result reply = client.Get(target);
  const std::string step =
      absl::StrCat("read ", target, " from configuration service ", this->ip,
                   ":", this->port, ": ");
  if (!reply) {
    return absl::UnavailableError(
        absl::StrCat(step, httplib::to_string(reply.error())));
  }
  constexpr int kOk = 200;
  if (reply->status != kOk) {
    return absl::UnavailableError(absl::StrCat(step, "status ", reply->status));
  }
  if (!HasKnownEnd(*reply)) {
    return absl::DataLossError(absl::StrCat(
        step,
        "the response has neither a length nor chunks, so that a part of "
        "it cannot be told from the whole"));
  }
  return reply->body;
}

}  // namespace comfrey
