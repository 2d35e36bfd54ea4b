// The record of a run: what was sent, answered and run, with times.
#ifndef REVIEW_STAND_INS_3_RECORD_H_
#define REVIEW_STAND_INS_3_RECORD_H_

#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

class Record {
 public:
  explicit Record(const std::string& path)
      : file(path, std::ios::trunc), begin(std::chrono::steady_clock::now()) {}

  double Seconds() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         this->begin)
        .count();
  }

  void Write(const std::string& text) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f  ", this->Seconds());
    this->file << time << text << "\n";
    this->file.flush();
  }

 private:
  std::mutex mutex;
  std::ofstream file;
  const std::chrono::steady_clock::time_point begin;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_3_RECORD_H_
