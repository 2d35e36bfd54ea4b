#include "core/deliverable_response.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/match.h"

namespace comfrey {
namespace {

constexpr std::array<int, 4> kRefusalStatuses = {408, 421, 429, 503};

}  // namespace

bool IsRefusalStatus(int status) {
  return std::find(kRefusalStatuses.begin(), kRefusalStatuses.end(), status) !=
         kRefusalStatuses.end();
}

HttpResponse DeliverableResponse::Take() {
  const std::shared_ptr<HttpResponse> taken = std::move(this->response);
  this->response = nullptr;
  if (taken.use_count() == 1) {
    return std::move(*taken);
  }
  return *taken;
}

DeliverableResponse MakeDeliverable(HttpResponse response,
                                    RefusalMeaning meaning) {
  DeliverableResponse deliverable;
  if (meaning == RefusalMeaning::kNotRun && IsRefusalStatus(response.status)) {
    return deliverable;
  }
  std::vector<HttpHeader>& headers = response.headers;
  headers.erase(std::remove_if(headers.begin(), headers.end(),
                               [](const HttpHeader& header) {
                                 return absl::EqualsIgnoreCase(header.name,
                                                               kOutcomeHeader);
                               }),
                headers.end());
  deliverable.response = std::make_shared<HttpResponse>(std::move(response));
  return deliverable;
}

std::size_t SizeOf(const DeliverableResponse& response) {
  if (!response) {
    return 0;
  }
  std::size_t size = sizeof(HttpResponse) + response->body.size();
  for (const HttpHeader& header : response->headers) {
    size += sizeof(HttpHeader) + header.name.size() + header.value.size();
  }
  return size;
}

}  // namespace comfrey
