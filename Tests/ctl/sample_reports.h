#ifndef TESTS_CTL_SAMPLE_REPORTS_H_
#define TESTS_CTL_SAMPLE_REPORTS_H_

#include "report/burn_status.h"
#include "report/route_explanation.h"
#include "report/status_report.h"

namespace comfrey {

// One document of each format, with a value of its own in each field.
extern const char kStatusJson[];
extern const char kExplanationJson[];
extern const char kBurnJson[];

/// \brief The documents as structs; throws if they are refused.
StatusReport SampleStatus();
BurnStatus SampleBurn();

/// \brief The keyed request of the document, and the same without the key.
RouteExplanation SampleKeyedExplanation();
RouteExplanation SampleExplanation();

}  // namespace comfrey

#endif  // TESTS_CTL_SAMPLE_REPORTS_H_
