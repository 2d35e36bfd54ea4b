#include "daemon/config_service_client.h"

#include <chrono>
#include <string>

#include "absl/strings/str_cat.h"
#include "catch2/catch.hpp"
#include "daemon/raw_socket.h"

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

}  // namespace
}  // namespace comfrey
