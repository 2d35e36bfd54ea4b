#ifndef CONFIG_TEAM_FIELDS_H_
#define CONFIG_TEAM_FIELDS_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "config/ini_fields.h"
#include "config/team_config.h"

namespace comfrey {

/// \brief Upper limit of a share in parts per million, i.e. 100%.
constexpr int kPpm = 1'000'000;

/// \brief Parses a time in UTC in the years 2000 to 2199.
std::optional<FieldProblem> ReadTime(
    absl::string_view text,
    std::optional<std::chrono::system_clock::time_point>& value);

/// \brief Parses an HTTP method in upper case.
std::optional<FieldProblem> ReadMethod(absl::string_view text,
                                       std::string& value);

/// \brief Parses an absolute path and decodes it.
std::optional<FieldProblem> ReadPath(absl::string_view text,
                                     std::string& value);

/// \brief Parses a host name without a port.
std::optional<FieldProblem> ReadHost(absl::string_view text,
                                     std::string& value);

/// \brief Parses a list of services and their weights: "service weight, service
/// weight".
std::optional<FieldProblem> ReadSplit(absl::string_view text,
                                      std::vector<ServiceShare>& split);

/// \brief Parses a header and the value that it must have: "Name: value".
std::optional<FieldProblem> ReadHeader(absl::string_view text,
                                       RouteConfig& route);

}  // namespace comfrey

#endif  // CONFIG_TEAM_FIELDS_H_
