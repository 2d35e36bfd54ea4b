#include "daemon/config_service_client.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "daemon/http_get_client.h"

namespace comfrey {
namespace {

constexpr std::chrono::milliseconds kConnectTimeout{1000};
// Time for the connection and the whole response, in addition to the wait time
// of a watch.
constexpr std::chrono::milliseconds kResponseTime{3000};
// Values have at most 1 MB each. A limit is needed because a faulty server may
// send bytes without end. A response must not end with its connection: it may
// be cut between two entries, and the entries before the cut would be used with
// the revision of the whole response.
const ResponseLimits kResponseLimits{16 << 20, false, nullptr};

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
  // Each call has its own connection. An idle one would occupy a thread of the
  // service, which many daemons read.
  HttpGetClient client(this->ip, this->port, kResponseLimits, kConnectTimeout);
  absl::StatusOr<HttpResponse> reply = client.Get(
      target, std::chrono::steady_clock::now() + wait + kResponseTime);
  const std::string step = absl::StrCat(
      "read ", target, " from configuration service ", client.Peer(), ": ");
  if (!reply.ok()) {
    return absl::UnavailableError(absl::StrCat(step, reply.status().message()));
  }
  constexpr int kOk = 200;
  if (reply->status != kOk) {
    return absl::UnavailableError(absl::StrCat(step, "status ", reply->status));
  }
  return std::move(reply->body);
}

}  // namespace comfrey
