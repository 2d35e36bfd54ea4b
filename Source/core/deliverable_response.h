#ifndef CORE_DELIVERABLE_RESPONSE_H_
#define CORE_DELIVERABLE_RESPONSE_H_

#include <cstddef>
#include <memory>

#include "core/http_message.h"

namespace comfrey {

/// \brief Header with which a daemon says whether a request ran.
inline constexpr char kOutcomeHeader[] = "Comfrey-Outcome";

/// \brief What callers take a refusal status (408, 421, 429 or 503) for.
enum class RefusalMeaning {
  kNone,    ///< It does not say whether the request ran.
  kNotRun,  ///< It promises that the request did not run and never will.
};

/// \brief Whether the status refuses a request: 408, 421, 429 or 503.
bool IsRefusalStatus(int status);

/// \brief A complete response of a backend server that may be delivered to
/// callers, or none.
///
/// Everything that keeps, repeats or passes on a response holds this type. It
/// can only be made by MakeDeliverable, so that no way from a backend server to
/// a caller can turn a status into a promise. Copies share the response.
class DeliverableResponse {
 public:
  DeliverableResponse() = default;
  DeliverableResponse(std::nullptr_t) {}  // NOLINT(google-explicit-constructor)

  explicit operator bool() const { return this->response != nullptr; }
  const HttpResponse& operator*() const { return *this->response; }
  const HttpResponse* operator->() const { return this->response.get(); }

  /// \brief Returns the response and leaves none; valid if there is one.
  HttpResponse Take();

  /// \brief Whether both are the same response, or none.
  friend bool operator==(const DeliverableResponse& a,
                         const DeliverableResponse& b) {
    return a.response == b.response;
  }
  friend bool operator!=(const DeliverableResponse& a,
                         const DeliverableResponse& b) {
    return a.response != b.response;
  }

  friend DeliverableResponse MakeDeliverable(HttpResponse response,
                                             RefusalMeaning meaning);

 private:
  std::shared_ptr<HttpResponse> response;
};

/// \brief Returns the response of a backend server for delivery, or none if
/// callers would take its status for a promise. Removes the header
/// Comfrey-Outcome, with which only daemons make promises.
///
/// A refusal that the backend server marked as not executed is no response:
/// the daemon makes the promise itself.
DeliverableResponse MakeDeliverable(HttpResponse response,
                                    RefusalMeaning meaning);

/// \brief Size of a response in memory, in bytes; 0 if there is none.
std::size_t SizeOf(const DeliverableResponse& response);

}  // namespace comfrey

#endif  // CORE_DELIVERABLE_RESPONSE_H_
