#ifndef BASE_COUNTERS_H_
#define BASE_COUNTERS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace comfrey {

/// \brief A label of a metric, for example {"rank", "dispatch"}.
struct Label {
  std::string name;
  std::string value;
};

/// \brief A monotonic counter or a gauge. Updates are lock-free and cheap
/// enough for the request path.
class Metric {
 public:
  void Add(std::int64_t delta = 1) {
    this->value.fetch_add(delta, std::memory_order_relaxed);
  }
  void Set(std::int64_t new_value) {
    this->value.store(new_value, std::memory_order_relaxed);
  }
  std::int64_t Value() const {
    return this->value.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::int64_t> value{0};
};

enum class MetricKind { kCounter, kGauge };

/// \brief Value of a metric at the time of reading.
struct MetricSample {
  std::string name;
  std::vector<Label> labels;
  MetricKind kind = MetricKind::kCounter;
  std::int64_t value = 0;
};

/// \brief The metrics of one process, by name and labels.
///
/// A lookup takes a lock and an update does not, so callers should look a
/// metric up once and keep the reference. References are valid for the lifetime
/// of the registry.
class CounterRegistry {
 public:
  /// \brief Returns the counter, and creates it at the first call.
  Metric& Counter(const std::string& name, std::vector<Label> labels = {});
  /// \brief Returns the gauge, and creates it at the first call.
  Metric& Gauge(const std::string& name, std::vector<Label> labels = {});

  /// \brief Returns the values of all metrics.
  std::vector<MetricSample> Read() const;

  /// \brief Renders all metrics in the Prometheus text exposition format.
  std::string Render() const;

 private:
  struct Entry {
    std::vector<Label> labels;
    MetricKind kind = MetricKind::kCounter;
    Metric metric;
  };

  Metric& FindOrCreate(const std::string& name,
                       std::vector<Label> labels,
                       MetricKind kind);

  mutable std::mutex mutex;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<Entry>> entries;
};

}  // namespace comfrey

#endif  // BASE_COUNTERS_H_
