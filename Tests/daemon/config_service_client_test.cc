#include "daemon/config_service_client.h"

#include <atomic>
#include <chrono>
#include <string>

#include "absl/strings/str_cat.h"
#include "catch2/catch.hpp"
#include "daemon/broken_responses.h"
#include "daemon/raw_socket.h"
#include "daemon/vm_list_reader.h"

namespace comfrey {
namespace {

constexpr char kIp[] = "127.9.9.1";
constexpr std::chrono::seconds kTestTimeout{5};
const std::string kFirstEntry = "revision 7\npath /a 6 1\nx";
const std::string kSecondEntry = "path /b 7 1\ny";

enum class Framing { kLength, kChunks, kConnectionEnd };

// Makes the response of a tree read with two entries, or the part of it before
// the second entry.
std::string MakeResponse(Framing framing, bool whole) {
  const std::string body = kFirstEntry + (whole ? kSecondEntry : "");
  switch (framing) {
    case Framing::kLength:
      return absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ",
                          kFirstEntry.size() + kSecondEntry.size(), "\r\n\r\n",
                          body);
    case Framing::kChunks:
      return absl::StrCat("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked",
                          "\r\n\r\n", absl::Hex(body.size()), "\r\n", body,
                          "\r\n", whole ? "0\r\n\r\n" : "");
    case Framing::kConnectionEnd:
      break;
  }
  return absl::StrCat("HTTP/1.1 200 OK\r\n\r\n", body);
}

// Guards against a response that is cut between two entries and taken for the
// whole, so that a published change is missed.
TEST_CASE("a response of the configuration service is used only as a whole",
          "[config_service_client]") {
  for (const Framing framing :
       {Framing::kLength, Framing::kChunks, Framing::kConnectionEnd}) {
    for (const bool whole : {true, false}) {
      INFO(static_cast<int>(framing) << " whole " << whole);
      const RawServer server(kIp, [&](RawSocket& socket, int) {
        bool closed = false;
        socket.Receive(HasHead, kTestTimeout, closed);
        socket.Send(MakeResponse(framing, whole));
      });
      const ConfigServiceClient client(kIp, server.Port());
      const auto update = client.ReadTree("/", 1, std::chrono::milliseconds(0));
      const bool known_end = framing != Framing::kConnectionEnd;
      CHECK(update.ok() == (whole && known_end));
      if (update.ok()) {
        CHECK(update->values.size() == 2);
      }
    }
  }
}

// Guards against a value or a VM that is taken from a response which is not
// HTTP, or which is not whole.
TEST_CASE("a broken response of the configuration service is an error",
          "[config_service_client]") {
  const std::string vm_line = "vm-1 127.0.1.1 r a leaving\n";
  for (const std::string& body : {kFirstEntry, vm_line}) {
    for (const BrokenResponse& broken : MakeBrokenResponses("", body)) {
      INFO(broken.name);
      const RawServer server(
          kIp, [&](RawSocket& socket, int) { SendBroken(socket, broken); });
      const ConfigServiceClient client(kIp, server.Port());
      const absl::Status status =
          body == vm_line
              ? client.ReadVmList().status()
              : client.ReadTree("/", 1, std::chrono::milliseconds(0)).status();
      CHECK_FALSE(status.ok());
      CHECK_THAT(std::string(status.message()),
                 Catch::Contains(absl::StrCat("configuration service ", kIp)));
    }
  }
}

// Guards against a VM list that cannot be read and is neither counted nor left
// alone: here it says that a VM is leaving.
TEST_CASE("a VM list that is not whole notifies no daemon",
          "[config_service_client]") {
  std::atomic<int> notifications{0};
  const RawServer daemon(kIp, [&](RawSocket&, int) { ++notifications; });
  const std::string line =
      absl::StrCat("vm-1 ", kIp, " region domain leaving\n");
  for (const BrokenResponse& broken : MakeBrokenResponses("", line)) {
    INFO(broken.name);
    const RawServer service(
        kIp, [&](RawSocket& socket, int) { SendBroken(socket, broken); });
    ChannelPool channels(4);
    CounterRegistry counters;
    VmListReader reader(ConfigServiceClient(kIp, service.Port()), channels,
                        daemon.Port(), counters, [] { return true; });
    reader.ReadOnce();
    CHECK(counters.Counter("comfrey_vm_list_failed_reads_total").Value() == 1);
  }
  CHECK(notifications == 0);
}

}  // namespace
}  // namespace comfrey
