#include "published_documents.h"

#include "absl/strings/str_cat.h"

namespace comfrey {

std::string MakeRegistrationKey(const std::string& instance) {
  return absl::StrCat(platform::kRegistrationKeyPrefix, instance);
}

std::string MakeRegistration(const std::string& service,
                             const std::string& address,
                             const std::string& failure_domain,
                             bool draining,
                             int sequence) {
  return absl::StrCat(R"({"service":")", service, R"(","address":")", address,
                      R"(","zone":")", failure_domain,
                      R"(","version":"v1","slots":4,"state":")",
                      draining ? "draining" : "ready",
                      R"(","cold_remaining":"0ms","born":1765000000000,)",
                      R"("sequence":)", sequence, "}");
}

std::string MakeConfiguration(int version,
                              const std::vector<TestRoute>& routes) {
  std::string resources;
  for (const TestRoute& route : routes) {
    absl::StrAppend(
        &resources, R"({"entry_kind":"routes","metadata":{"name":"x)",
        resources.size(), R"("},"spec":{"host":"shop.example","prefix":")",
        route.prefix, R"(","kind":")", route.idempotent ? "safe" : "unsafe",
        R"(","timeout":"5s","target_latency":"1s",)",
        R"("priority":0,"service":"booking","max_attempts":2}},)");
  }
  return absl::StrCat(
      R"({"version":"r)", version, R"(","resources":[)", resources,
      R"({"entry_kind":"services","metadata":{"name":"booking"},)",
      R"("spec":{"health_path":"/health"}}]})");
}

std::string MakeConfiguration(int version, const std::string& prefix) {
  return MakeConfiguration(version, {{prefix, false}});
}

}  // namespace comfrey
