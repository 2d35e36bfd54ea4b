#include "ctl/daemon_client.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <set>
#include <thread>
#include <utility>

#include "absl/status/status.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/duration_text.h"
#include "daemon/http_get_client.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// Maximum number of requests at the same time. One request after another would
// add up the timeouts of all daemons that do not respond.
constexpr std::size_t kMaxParallelRequests = 16;
constexpr int kHttpOk = 200;
constexpr std::chrono::milliseconds kMinTimeout{10};
constexpr std::chrono::minutes kMaxTimeout{10};

absl::StatusOr<std::vector<SocketAddress>> ParseDaemons(
    absl::string_view text) {
  std::vector<SocketAddress> daemons;
  std::set<std::string> seen;
  for (const absl::string_view item : absl::StrSplit(text, ',')) {
    SocketAddress daemon;
    const auto problem =
        ReadSocketAddress(absl::StripAsciiWhitespace(item), daemon);
    if (problem) {
      return absl::InvalidArgumentError(absl::StrCat(
          "--daemon \"", item, "\": ", problem->cause, "; ", problem->remedy));
    }
    // A daemon that is listed twice would be counted twice in a sum.
    if (!seen.insert(FormatSocketAddress(daemon)).second) {
      return absl::InvalidArgumentError(
          absl::StrCat("--daemon: ", FormatSocketAddress(daemon),
                       " is listed twice; list each daemon once"));
    }
    daemons.push_back(std::move(daemon));
  }
  return daemons;
}

absl::StatusOr<std::chrono::microseconds> ParseTimeout(
    const Arguments& arguments) {
  if (!HasOption(arguments, "timeout")) {
    return std::chrono::microseconds(kDefaultTimeout);
  }
  auto timeout = ParseDuration(OptionValue(arguments, "timeout"));
  if (!timeout.ok()) {
    return absl::InvalidArgumentError(
        absl::StrCat("--timeout: ", timeout.status().message()));
  }
  if (*timeout < kMinTimeout || *timeout > kMaxTimeout) {
    return absl::InvalidArgumentError(
        absl::StrCat("--timeout ", OptionValue(arguments, "timeout"),
                     " is out of range; write 10ms to 10m"));
  }
  return timeout;
}

std::string ErrorPrefix(absl::string_view operation,
                        const SocketAddress& daemon) {
  return absl::StrCat(operation, " from ", FormatSocketAddress(daemon), ": ");
}

absl::Status UnreachableError(const SocketAddress& daemon,
                              absl::string_view operation,
                              absl::string_view cause) {
  return absl::UnavailableError(absl::StrCat(
      ErrorPrefix(operation, daemon), cause,
      "; check that comfreyd runs there and that --daemon names its HTTP "
      "port"));
}

absl::string_view CauseOf(const absl::Status& error) {
  return absl::IsDeadlineExceeded(error) ? "no complete response arrived"
                                         : error.message();
}

}  // namespace

std::vector<OptionSpec> DaemonOptions() {
  return {{"daemon", OptionKind::kValue},
          {"timeout", OptionKind::kValue},
          {"json", OptionKind::kSwitch}};
}

absl::StatusOr<DaemonTargets> ParseDaemonTargets(const Arguments& arguments) {
  if (!HasOption(arguments, "daemon")) {
    return absl::InvalidArgumentError(
        "--daemon is missing; give the IP address and port of a daemon, for "
        "example --daemon 127.0.1.1:8080");
  }
  auto daemons = ParseDaemons(OptionValue(arguments, "daemon"));
  if (!daemons.ok()) {
    return daemons.status();
  }
  const auto timeout = ParseTimeout(arguments);
  if (!timeout.ok()) {
    return timeout.status();
  }
  return DaemonTargets{*std::move(daemons), *timeout};
}

absl::StatusOr<DaemonTargets> ParseSingleDaemonTarget(
    const Arguments& arguments) {
  auto targets = ParseDaemonTargets(arguments);
  if (targets.ok() && targets->daemons.size() != 1) {
    return absl::InvalidArgumentError(
        "--daemon lists several daemons; this command takes one");
  }
  return targets;
}

absl::StatusOr<std::string> FetchPage(const SocketAddress& daemon,
                                      const PageRequest& request,
                                      std::chrono::microseconds timeout) {
  httplib::Params parameters;
  for (const auto& [name, value] : request.parameters) {
    parameters.emplace(name, value);
  }
  const std::string target = parameters.empty() ? request.path
                                                : httplib::append_query_params(
                                                      request.path, parameters);

  // A part of a page could be shown as the whole, so its end must be known.
  HttpGetClient client(daemon.ip, daemon.port, {kMaxReplyBytes, false, nullptr},
                       timeout);
  absl::StatusOr<HttpResponse> reply =
      client.Get(target, Clock::now() + timeout);
  if (absl::IsDataLoss(reply.status())) {
    return UnusableReplyError(daemon, request.operation, reply.status());
  }
  if (!reply.ok()) {
    return UnreachableError(daemon, request.operation, CauseOf(reply.status()));
  }
  if (reply->status != kHttpOk) {
    return UnusableReplyError(
        daemon, request.operation,
        absl::UnknownError(
            absl::StrCat(request.path, " has HTTP status ", reply->status)));
  }
  return std::move(reply->body);
}

std::vector<absl::StatusOr<std::string>> FetchPages(
    const DaemonTargets& targets,
    const PageRequest& request) {
  const std::size_t count = targets.daemons.size();
  std::vector<absl::StatusOr<std::string>> pages(count);
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < std::min(count, kMaxParallelRequests); i++) {
    threads.emplace_back([&] {
      for (std::size_t j = next++; j < count; j = next++) {
        pages[j] = FetchPage(targets.daemons[j], request, targets.timeout);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return pages;
}

absl::Status UnusableReplyError(const SocketAddress& daemon,
                                absl::string_view operation,
                                const absl::Status& cause) {
  return absl::FailedPreconditionError(absl::StrCat(
      ErrorPrefix(operation, daemon), cause.message(),
      "; use a comfreyctl of the same release as the daemon, and its HTTP "
      "port"));
}

}  // namespace comfrey
