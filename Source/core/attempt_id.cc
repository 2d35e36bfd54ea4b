#include "core/attempt_id.h"

#include "absl/strings/str_cat.h"

namespace comfrey {

std::string FormatAttemptId(const AttemptId& id) {
  return absl::StrCat(id.ingress, "/", id.incarnation, "/", id.sequence);
}

}  // namespace comfrey
