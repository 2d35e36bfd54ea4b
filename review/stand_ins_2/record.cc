#include "record.h"

#include <cstdio>

namespace review {

Record::Record(const std::string& path)
    : file(path), started_at(std::chrono::steady_clock::now()) {}

void Record::Add(const std::string& line) {
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                    this->started_at)
          .count();
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f s  ", seconds);
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->file << time << line << std::endl;
}

}  // namespace review
