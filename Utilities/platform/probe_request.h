#ifndef UTILITIES_PLATFORM_PROBE_REQUEST_H_
#define UTILITIES_PLATFORM_PROBE_REQUEST_H_

#include <string>

/// \brief Returns the text of a request that shows which configuration is in
/// force, as a client of the platform sends it.
inline std::string MakeProbeRequest(const std::string& target,
                                    const std::string& id) {
  return "GET " + target +
         " HTTP/1.1\r\nHost: desk.example\r\nComfreywood-Attempt-Id: " + id +
         "\r\nComfreywood-Deadline-Ms: 4000\r\n\r\n";
}

#endif  // UTILITIES_PLATFORM_PROBE_REQUEST_H_
