#ifndef REPORT_JSON_STRUCTS_H_
#define REPORT_JSON_STRUCTS_H_

#include <array>

#include "report/json_archive.h"
#include "report/status_report.h"

namespace comfrey {

template <>
struct EnumNames<ReportedEndpointState> {
  static constexpr std::array<absl::string_view, 5> kNames = {
      "unknown", "warming", "healthy", "ejected", "probation"};
};

template <>
struct EnumNames<ReportedUse> {
  static constexpr std::array<absl::string_view, 6> kNames = {
      "unknown",
      "in_use",
      "limited",
      "ejection_honoured",
      "ejection_not_honoured",
      "not_in_use"};
};

template <typename Archive>
void DescribeFields(Archive& archive, ConfigVersion& version) {
  archive.Field("generation", version.generation);
  archive.Field("revision", version.revision);
}

}  // namespace comfrey

#endif  // REPORT_JSON_STRUCTS_H_
