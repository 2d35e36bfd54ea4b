#include "ctl/drain_command.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "config/ini_fields.h"
#include "ctl/daemon_client.h"
#include "nlohmann/json.hpp"
#include "peer.grpc.pb.h"

namespace comfrey {
namespace {

constexpr absl::string_view kDrainHelp =
    "Drains an endpoint: it gets no new requests, and those in flight finish.\n"
    "\n"
    "Usage: comfreyctl drain ENDPOINT --daemon IP:PEER_PORT [OPTION]...\n"
    "\n"
    "ENDPOINT is IP:PORT of the backend server. The daemon is the one on the\n"
    "same IP address, since only the owner of an endpoint drains it.\n"
    "\n"
    "Options:\n"
    "  --daemon IP:PEER_PORT  the owner of the endpoint\n"
    "  --timeout DURATION     longest time to wait, default 5s\n"
    "  --json                 print the result as JSON\n"
    "  --help                 print this text\n";

constexpr absl::string_view kUndrainHelp =
    "Ends the drain of an endpoint, which returns to use through its warm-up.\n"
    "\n"
    "Usage: comfreyctl undrain ENDPOINT --daemon IP:PEER_PORT [OPTION]...\n"
    "\n"
    "ENDPOINT is IP:PORT of the backend server. The daemon is the one on the\n"
    "same IP address.\n"
    "\n"
    "Options:\n"
    "  --daemon IP:PEER_PORT  the owner of the endpoint\n"
    "  --timeout DURATION     longest time to wait, default 5s\n"
    "  --json                 print the result as JSON\n"
    "  --help                 print this text\n";

std::string ChannelTarget(const SocketAddress& daemon) {
  const bool ipv6 = daemon.ip.find(':') != std::string::npos;
  return absl::StrCat(ipv6 ? "ipv6:" : "ipv4:", FormatSocketAddress(daemon));
}

// Calls Drain of the daemon; returns the number of requests in flight at the
// endpoint.
absl::StatusOr<std::uint32_t> CallDrain(const SocketAddress& daemon,
                                        const std::string& endpoint,
                                        bool draining,
                                        std::chrono::microseconds timeout) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  const auto stub = rpc::Peer::NewStub(grpc::CreateCustomChannel(
      ChannelTarget(daemon), grpc::InsecureChannelCredentials(), arguments));
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + timeout);
  rpc::DrainRequest request;
  request.set_endpoint(endpoint);
  request.set_draining(draining);
  rpc::DrainReply reply;
  const grpc::Status status = stub->Drain(&context, request, &reply);
  if (status.ok()) {
    return reply.in_flight();
  }
  const std::string prefix =
      absl::StrCat(draining ? "drain " : "undrain ", endpoint, " at ",
                   FormatSocketAddress(daemon), ": ");
  if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
    return absl::UnavailableError(absl::StrCat(
        prefix, "no reply in time, so the daemon may or may not have taken ",
        "the command; see \"comfreyctl status\", then repeat it"));
  }
  if (status.error_code() == grpc::StatusCode::UNAVAILABLE) {
    return absl::UnavailableError(absl::StrCat(
        prefix, status.error_message(),
        "; check that comfreyd runs there and that --daemon names its peer "
        "port"));
  }
  return absl::FailedPreconditionError(absl::StrCat(
      prefix, status.error_message(),
      "; check the endpoint and its owner with \"comfreyctl status\""));
}

absl::StatusOr<SocketAddress> ParseEndpoint(const Arguments& arguments) {
  if (arguments.operands.size() != 1) {
    return absl::InvalidArgumentError(
        "name one endpoint, for example 127.0.1.1:8081");
  }
  SocketAddress endpoint;
  const auto problem = ReadSocketAddress(arguments.operands[0], endpoint);
  if (problem) {
    return absl::InvalidArgumentError(
        absl::StrCat("endpoint \"", arguments.operands[0],
                     "\": ", problem->cause, "; ", problem->remedy));
  }
  return endpoint;
}

ExitCode SetDraining(const Arguments& arguments,
                     const CommandOutput& output,
                     bool draining) {
  const auto endpoint = ParseEndpoint(arguments);
  if (!endpoint.ok()) {
    return ReportError(endpoint.status(), output);
  }
  const auto targets = ParseSingleDaemonTarget(arguments);
  if (!targets.ok()) {
    return ReportError(targets.status(), output);
  }
  const SocketAddress& daemon = targets->daemons[0];
  if (daemon.ip != endpoint->ip) {
    return ReportError(
        absl::InvalidArgumentError(absl::StrCat(
            "daemon ", FormatSocketAddress(daemon), " is not the owner of ",
            FormatSocketAddress(*endpoint), "; use --daemon ",
            FormatSocketAddress({endpoint->ip, daemon.port}))),
        output);
  }
  const std::string name = FormatSocketAddress(*endpoint);
  const auto in_flight = CallDrain(daemon, name, draining, targets->timeout);
  if (!in_flight.ok()) {
    return ReportError(in_flight.status(), output);
  }
  if (HasOption(arguments, "json")) {
    output.out << nlohmann::ordered_json{{"endpoint", name},
                                         {"draining", draining},
                                         {"in_flight", *in_flight}}
                      .dump()
               << "\n";
    return ExitCode::kOk;
  }
  output.out << absl::StrFormat("%s: %s, %d requests in flight\n", name,
                                draining ? "draining" : "not draining",
                                *in_flight);
  return ExitCode::kOk;
}

ExitCode RunDrain(const Arguments& arguments, const CommandOutput& output) {
  return SetDraining(arguments, output, true);
}

ExitCode RunUndrain(const Arguments& arguments, const CommandOutput& output) {
  return SetDraining(arguments, output, false);
}

}  // namespace

Command DrainCommand() {
  return {"drain", "take an endpoint out of use", kDrainHelp, DaemonOptions(),
          &RunDrain};
}

Command UndrainCommand() {
  return {"undrain", "return a drained endpoint to use", kUndrainHelp,
          DaemonOptions(), &RunUndrain};
}

}  // namespace comfrey
