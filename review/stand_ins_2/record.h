#ifndef REVIEW_STAND_INS_2_RECORD_H_
#define REVIEW_STAND_INS_2_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// \brief The file record.txt of a case: what was sent, answered and run, with
/// the time since the start of the case. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);

  void Add(const std::string& line);

 private:
  std::mutex mutex;
  std::ofstream file;
  std::chrono::steady_clock::time_point started_at;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_2_RECORD_H_
