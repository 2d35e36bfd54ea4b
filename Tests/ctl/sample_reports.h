#ifndef TESTS_CTL_SAMPLE_REPORTS_H_
#define TESTS_CTL_SAMPLE_REPORTS_H_

#include "report/burn_status.h"
#include "report/route_explanation.h"
#include "report/status_report.h"

namespace comfrey {

// One sample document of each report format. The fields differ in their values,
// so that tests detect exchanged fields.
extern const char kStatusJson[];
extern const char kExplanationJson[];
extern const char kBurnJson[];

/// \brief Returns the parsed sample document; throws if it cannot be parsed.
StatusReport SampleStatus();
BurnStatus SampleBurn();

/// \brief Returns the parsed sample document, which explains a request with a
/// key.
RouteExplanation SampleKeyedExplanation();
/// \brief Returns the same explanation for a request without a key.
RouteExplanation SampleExplanation();

}  // namespace comfrey

#endif  // TESTS_CTL_SAMPLE_REPORTS_H_
