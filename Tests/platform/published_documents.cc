#include "published_documents.h"

#include "absl/strings/str_cat.h"

namespace comfrey {

std::string MakeRegistrationKey(const std::string& instance) {
  return absl::StrCat(platform::kRegistrationKeyPrefix, instance);
}

std::string MakeRegistration(const std::string& service,
                             const std::string& address,
                             const std::string& failure_domain,
                             bool draining) {
  return absl::StrCat(R"({"service":")", service, R"(","address":")", address,
                      R"(","zone":")", failure_domain,
                      R"(","version":"v1","slots":4,"state":")",
                      draining ? "draining" : "ready",
                      R"(","cold_remaining":"0ms","sequence":1})");
}

std::string MakeConfiguration(int version, const std::string& prefix) {
  return absl::StrCat(
      R"({"version":"r)", version, R"(","resources":[)",
      R"({"entry_kind":"routes","metadata":{"name":"x"},"spec":{)",
      R"("host":"shop.example","prefix":")", prefix,
      R"(","kind":"unsafe","timeout":"5s","target_latency":"1s",)",
      R"("priority":0,"service":"booking","max_attempts":2}},)",
      R"({"entry_kind":"services","metadata":{"name":"booking"},)",
      R"("spec":{"health_path":"/health"}}]})");
}

}  // namespace comfrey
