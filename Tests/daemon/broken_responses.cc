#include "daemon/broken_responses.h"

#include <chrono>

#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

constexpr std::chrono::seconds kTestTimeout{20};

}  // namespace

std::vector<BrokenResponse> MakeBrokenResponses(const std::string& fields,
                                                const std::string& body) {
  const std::string length =
      absl::StrCat("Content-Length: ", body.size(), "\r\n");
  const std::string chunk =
      absl::StrCat(absl::Hex(body.size()), "\r\n", body, "\r\n");
  const std::string ok = absl::StrCat("HTTP/1.1 200 OK\r\n", fields);
  const std::string chunked =
      absl::StrCat(ok, "Transfer-Encoding: chunked\r\n\r\n", chunk);
  const std::string whole = absl::StrCat(ok, length, "\r\n", body);
  std::vector<BrokenResponse> responses;
  for (const char* status : {"000", "099", "600", "999", "20", "2000", "2x0",
                             "-20", "+20", " 200"}) {
    responses.push_back({absl::StrCat("status ", status),
                         absl::StrCat("HTTP/1.1 ", status, " OK\r\n", fields,
                                      length, "\r\n", body)});
  }
  const std::vector<BrokenResponse> lines = {
      {"blank before the colon", "X-A : 1"},
      {"tab before the colon", "X-A\t: 1"},
      {"blank in a name", "X A: 1"},
      {"control byte in a name",
       "X\x01"
       "A: 1"},
      {"NUL in a name", std::string("X\0A: 1", 6)},
      {"DEL in a name",
       "X\x7f"
       "A: 1"},
      {"carriage return in a name", "X\rA: 1"},
      {"empty name", ": 1"},
      {"folded line", " X-A: 1"},
      {"line without a colon", "X-A"},
      {"control byte in a value", "X-A: \x01"},
      {"length after a blank", "Content-Length : 1"}};
  for (const BrokenResponse& line : lines) {
    const std::string field = line.bytes + "\r\n";
    responses.push_back(
        {line.name, absl::StrCat(ok, field, length, "\r\n", body)});
    responses.push_back(
        {line.name + ", interim response",
         absl::StrCat("HTTP/1.1 103 Early Hints\r\n", field, "\r\n", whole)});
    responses.push_back({line.name + ", trailer",
                         absl::StrCat(chunked, "0\r\n", field, "\r\n")});
  }
  responses.push_back({"interim response with status 000",
                       "HTTP/1.1 000 Continue\r\n\r\n" + whole});
  responses.push_back(
      {"interim response only", "HTTP/1.1 100 Continue\r\n\r\n"});
  responses.push_back(
      {"two lengths", absl::StrCat(ok, length, length, "\r\n", body)});
  responses.push_back(
      {"length and chunks",
       absl::StrCat(ok, length, "Transfer-Encoding: chunked\r\n\r\n", chunk,
                    "0\r\n\r\n")});
  for (const bool reset : {false, true}) {
    const std::string end = reset ? " and reset" : " and closed";
    responses.push_back({"cut in the head" + end, ok + "X-A: 1", reset});
    responses.push_back(
        {"cut in the body" + end, whole.substr(0, whole.size() - 1), reset});
    responses.push_back({"cut between chunks" + end, chunked, reset});
    responses.push_back(
        {"cut in the trailers" + end, chunked + "0\r\nX-A: 1\r\n", reset});
  }
  responses.push_back({"reset without a length", ok + "\r\n" + body, true});
  return responses;
}

std::string MakeSoundResponse(const std::string& fields,
                              const std::string& body) {
  return absl::StrCat("HTTP/1.1 200 OK\r\n", fields,
                      "Content-Length: ", body.size(), "\r\n\r\n", body);
}

void SendBroken(RawSocket& socket, const BrokenResponse& response) {
  bool closed = false;
  socket.Receive(HasHead, kTestTimeout, closed);
  socket.Send(response.bytes);
  if (response.reset) {
    socket.ResetOnClose();
  }
}

}  // namespace comfrey
