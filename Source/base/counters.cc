#include "base/counters.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace comfrey {
namespace {

std::string RenderLabels(const std::vector<Label>& labels) {
  if (labels.empty()) {
    return "";
  }
  std::string text = "{";
  for (const Label& label : labels) {
    if (text.size() > 1) {
      text += ",";
    }
    const std::string escaped = absl::StrReplaceAll(
        label.value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
    absl::StrAppend(&text, label.name, "=\"", escaped, "\"");
  }
  return text + "}";
}

}  // namespace

Metric& CounterRegistry::Counter(const std::string& name,
                                 std::vector<Label> labels) {
  return this->FindOrCreate(name, std::move(labels), MetricKind::kCounter);
}

Metric& CounterRegistry::Gauge(const std::string& name,
                               std::vector<Label> labels) {
  return this->FindOrCreate(name, std::move(labels), MetricKind::kGauge);
}

Metric& CounterRegistry::FindOrCreate(const std::string& name,
                                      std::vector<Label> labels,
                                      MetricKind kind) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::unique_ptr<Entry>& entry =
      this->entries[std::make_pair(name, RenderLabels(labels))];
  if (!entry) {
    entry = std::make_unique<Entry>();
    entry->labels = std::move(labels);
    entry->kind = kind;
  }
  return entry->metric;
}

std::vector<MetricSample> CounterRegistry::Read() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<MetricSample> samples;
  samples.reserve(this->entries.size());
  for (const auto& [key, entry] : this->entries) {
    samples.push_back(
        {key.first, entry->labels, entry->kind, entry->metric.Value()});
  }
  return samples;
}

std::string CounterRegistry::Render() const {
  std::string text;
  std::string previous_name;
  for (const MetricSample& sample : this->Read()) {
    if (sample.name != previous_name) {
      absl::StrAppend(
          &text, "# TYPE ", sample.name,
          sample.kind == MetricKind::kCounter ? " counter\n" : " gauge\n");
      previous_name = sample.name;
    }
    absl::StrAppend(&text, sample.name, RenderLabels(sample.labels), " ",
                    sample.value, "\n");
  }
  return text;
}

}  // namespace comfrey
