#include "soak/soak_history.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = std::chrono::steady_clock::time_point;

// Rules with a time bound hold for a VM that was left alone for this time.
constexpr seconds kContactTime{4};
// A connection that ends sooner after the last byte of a request may not have
// been read.
constexpr milliseconds kLossSlack{200};
// A backend server that leaves gets no requests after this time.
constexpr milliseconds kDrainTime{2500};
// The `vm` of disruptions of the registry.
constexpr int kRegistry = 0;
constexpr std::array<int, 4> kPromisedNotRun = {408, 421, 429, 503};

using RunsById = std::multimap<std::string, const SoakRun*>;

bool IsDisturbed(const SoakHistory& history,
                 int vm,
                 TimePoint begin,
                 TimePoint end) {
  return std::any_of(history.disruptions.begin(), history.disruptions.end(),
                     [&](const SoakDisruption& disruption) {
                       return !disruption.planned &&
                              (disruption.vm == vm || disruption.vm == 0) &&
                              disruption.begin <= end &&
                              disruption.end + kContactTime >= begin;
                     });
}

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

// Checks what the caller of one request got.
void CheckResponse(const SoakRequest& request,
                   const RunsById& runs,
                   std::vector<std::string>& broken) {
  const auto [first, last] = runs.equal_range(request.id);
  const bool ran = first != last;
  const auto signed_run =
      std::find_if(first, last, [&](const RunsById::value_type& run) {
        return SignatureOf(run.second->instance, request.id) ==
               request.signature;
      });
  if (IsSuccess(request.status) &&
      (signed_run == last ||
       request.response != ResponseBodyOf(request.id, request.body))) {
    broken.push_back(absl::StrCat("MIXED: ", request.id,
                                  " got a success that is not its own: ",
                                  request.signature, " ", request.response));
  }
  if (!request.signature.empty() && signed_run != last &&
      signed_run->second->status != request.status) {
    broken.push_back(absl::StrCat("MIXED: ", request.id, " got ",
                                  request.status, ", the backend server gave ",
                                  signed_run->second->status));
  }
  if (!request.idempotent && ran &&
      std::find(kPromisedNotRun.begin(), kPromisedNotRun.end(),
                request.status) != kPromisedNotRun.end()) {
    broken.push_back(absl::StrCat("REFUSED: ", request.id, " got ",
                                  request.status, " and ran at ",
                                  first->second->instance));
  }
}

// Checks that a daemon that was left alone, or was asked to stop, answered.
void CheckAnswered(const SoakHistory& history,
                   const SoakRequest& request,
                   const RunsById& runs,
                   std::vector<std::string>& broken) {
  if (request.status != 0 || request.left ||
      IsDisturbed(history, request.vm, request.sent_at, request.ended_at)) {
    return;
  }
  const auto waited = std::chrono::duration_cast<milliseconds>(
      request.ended_at - request.sent_at);
  if (request.timed_out || waited > kLossSlack || runs.count(request.id) > 0) {
    broken.push_back(absl::StrCat(
        "LOST: ", request.id, " at VM ", request.vm, " got no answer ",
        request.timed_out ? "in time" : "before its connection ended", ", ",
        waited.count(), " ms after it was sent, with ", runs.count(request.id),
        " runs"));
  }
}

// Calls `visit` with each run at a backend server that leaves, and the time
// since it began to leave, unless the daemons were not in contact.
template <typename Visit>
void VisitRunsAfterLeave(
    const SoakHistory& history,
    const std::map<std::string, const SoakRequest*>& requests,
    Visit visit) {
  for (const SoakLeaving& leaving : history.leavings) {
    const TimePoint begin = leaving.published_at;
    // A drill of the registry after the leave does not undo it.
    if (IsDisturbed(history, kRegistry, begin, begin)) {
      continue;
    }
    for (const SoakRun& run : history.runs) {
      const auto request = requests.find(run.id);
      if (run.instance == leaving.instance && run.at > begin &&
          (!leaving.until || run.at < *leaving.until) &&
          request != requests.end() &&
          !IsDisturbed(history, run.vm, run.at, run.at) &&
          !IsDisturbed(history, request->second->vm, run.at, run.at)) {
        visit(run, std::chrono::duration_cast<milliseconds>(run.at - begin));
      }
    }
  }
}

std::map<std::string, const SoakRequest*> RequestsById(
    const SoakHistory& history) {
  std::map<std::string, const SoakRequest*> requests;
  for (const SoakRequest& request : history.requests) {
    requests[request.id] = &request;
  }
  return requests;
}

void CheckDrains(const SoakHistory& history,
                 const std::map<std::string, const SoakRequest*>& requests,
                 std::vector<std::string>& broken) {
  VisitRunsAfterLeave(
      history, requests, [&](const SoakRun& run, milliseconds after) {
        if (after > kDrainTime) {
          broken.push_back(absl::StrCat("DRAIN: ", run.id, " reached ",
                                        run.instance, " ", after.count(),
                                        " ms after it began to leave"));
        }
      });
}

}  // namespace

void SoakHistory::Add(SoakRequest request) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->requests.push_back(std::move(request));
}

void SoakHistory::Add(SoakRun run) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->runs.push_back(std::move(run));
}

void SoakHistory::Add(SoakDisruption disruption) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->disruptions.push_back(disruption);
}

void SoakHistory::Add(SoakLeaving leaving) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->leavings.push_back(std::move(leaving));
}

void SoakHistory::AddBroken(std::string promise) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->broken.push_back(std::move(promise));
}

std::string SignatureOf(const std::string& instance, const std::string& id) {
  return absl::StrCat(instance, "/", id);
}

std::string ResponseBodyOf(const std::string& id, const std::string& body) {
  return absl::StrCat("done ", id, " ", body);
}

std::vector<std::string> FindBrokenPromises(const SoakHistory& history) {
  std::vector<std::string> broken = history.broken;
  RunsById runs;
  for (const SoakRun& run : history.runs) {
    runs.emplace(run.id, &run);
  }
  const std::map<std::string, const SoakRequest*> requests =
      RequestsById(history);
  for (const SoakRequest& request : history.requests) {
    CheckResponse(request, runs, broken);
    CheckAnswered(history, request, runs, broken);
    if (!request.idempotent && runs.count(request.id) > 1) {
      broken.push_back(absl::StrCat("TWICE: ", request.id, " ran ",
                                    runs.count(request.id), " times"));
    }
  }
  for (const SoakRun& run : history.runs) {
    const auto request = requests.find(run.id);
    if (request == requests.end() || request->second->body != run.body) {
      broken.push_back(absl::StrCat("UNASKED: ", run.instance, " ran ", run.id,
                                    " with the body ", run.body));
    }
  }
  CheckDrains(history, requests, broken);
  return broken;
}

std::chrono::milliseconds FindLongestLeave(const SoakHistory& history) {
  milliseconds longest{0};
  VisitRunsAfterLeave(history, RequestsById(history),
                      [&](const SoakRun& /*run*/, milliseconds after) {
                        longest = std::max(longest, after);
                      });
  return longest;
}

}  // namespace comfrey
