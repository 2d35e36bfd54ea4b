#include "daemon/message_conversion.h"

namespace comfrey {
namespace {

template <typename Headers>
std::vector<HttpHeader> HeadersFromProto(const Headers& messages) {
  std::vector<HttpHeader> headers;
  headers.reserve(static_cast<std::size_t>(messages.size()));
  for (const rpc::Header& message : messages) {
    headers.push_back({message.name(), message.value()});
  }
  return headers;
}

void AddHeader(const HttpHeader& header, rpc::Header& message) {
  message.set_name(header.name);
  message.set_value(header.value);
}

}  // namespace

void ToProto(const AttemptId& id, rpc::AttemptId& message) {
  message.set_ingress(id.ingress);
  message.set_incarnation(id.incarnation);
  message.set_sequence(id.sequence);
}

AttemptId FromProto(const rpc::AttemptId& message) {
  return {message.ingress(), message.incarnation(), message.sequence()};
}

void ToProto(const HttpResponse& response, rpc::Answer& message) {
  message.set_status(response.status);
  for (const HttpHeader& header : response.headers) {
    AddHeader(header, *message.add_headers());
  }
  message.set_body(response.body);
}

HttpResponse FromProto(const rpc::Answer& message) {
  return {message.status(), HeadersFromProto(message.headers()),
          message.body()};
}

HttpRequest RequestFromProto(const rpc::ForwardRequest& message) {
  return {message.method(), message.path(), HeadersFromProto(message.headers()),
          message.body()};
}

void RequestToProto(const HttpRequest& request, rpc::ForwardRequest& message) {
  message.set_method(request.method);
  message.set_path(request.target);
  for (const HttpHeader& header : request.headers) {
    AddHeader(header, *message.add_headers());
  }
  message.set_body(request.body);
}

}  // namespace comfrey
