// Measures the memory that uploads take in the ingress daemon and in the owner.
//
// A backend server reads slowly, so that all uploads of a step are in progress
// at the same time. The largest memory that is not backed by files is reported,
// and its difference to the idle daemon.

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gflags/gflags.h"
#include "measured_fleet.h"
#include "system/fleet.h"

DEFINE_int32(body_kib, 3072, "size of a body in KiB");
DEFINE_int32(read_ms, 3000, "time in which the backend server reads a body");

namespace comfrey {
namespace {

constexpr int kHttpPort = 8080;
constexpr int kBackendPort = 8081;
constexpr int kIngressVm = 1;
constexpr int kOwnerVm = 2;
constexpr int kOk = 200;
constexpr std::size_t kMaxUploads = 64;
constexpr std::chrono::seconds kStartTimeout{60};
constexpr std::chrono::seconds kCallTimeout{60};
constexpr std::chrono::milliseconds kSamplePeriod{20};
// Time between the starts of two uploads, since the backend server of the HTTP
// library accepts only a few connections at the same time.
constexpr std::chrono::milliseconds kStartPeriod{20};
constexpr double kMiB = 1024.0 * 1024.0;

// A backend server that reads bodies at a fixed rate and discards them.
class SlowBackend {
 public:
  explicit SlowBackend(const std::string& ip) {
    this->server.new_task_queue = [] {
      return new httplib::ThreadPool(kMaxUploads + 1);
    };
    this->server.Get(".*", [](const auto&, auto& response) {
      response.set_content("ok", "text/plain");
    });
    this->server.Post(".*", [](const auto&, auto& response,
                               const httplib::ContentReader& reader) {
      const double ms_per_byte =
          static_cast<double>(FLAGS_read_ms) / (1024.0 * FLAGS_body_kib);
      reader([&](const char*, std::size_t size) {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(
            ms_per_byte * static_cast<double>(size)));
        return true;
      });
      response.set_content("done", "text/plain");
    });
    this->server.bind_to_port(ip, kBackendPort);
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
  }
  ~SlowBackend() {
    this->server.stop();
    this->thread.join();
  }

  SlowBackend(const SlowBackend&) = delete;
  SlowBackend& operator=(const SlowBackend&) = delete;

 private:
  httplib::Server server;
  std::thread thread;
};

struct Peak {
  double ingress = 0;
  double owner = 0;
};

Peak ReadMemory(const MeasuredFleet& fleet) {
  return {
      static_cast<double>(fleet.ReadDaemonUsage(kIngressVm).anonymous_bytes) /
          kMiB,
      static_cast<double>(fleet.ReadDaemonUsage(kOwnerVm).anonymous_bytes) /
          kMiB};
}

// Sends `count` uploads at the same time. Returns the largest memory and sets
// the number of uploads that succeeded.
Peak RunStep(const MeasuredFleet& fleet, int count, int& succeeded) {
  const std::string body(1024UL * FLAGS_body_kib, 'x');
  std::atomic<int> ok{0};
  std::atomic<int> running{count};
  std::vector<std::thread> callers;
  callers.reserve(count);
  for (int i = 0; i < count; ++i) {
    callers.emplace_back([&, i] {
      std::this_thread::sleep_for(i * kStartPeriod);
      httplib::Client client(fleet.Address(kIngressVm), kHttpPort);
      client.set_read_timeout(kCallTimeout);
      client.set_write_timeout(kCallTimeout);
      const httplib::Result reply =
          client.Post("/uploads/a", body, "image/jpeg");
      ok += reply && reply->status == kOk ? 1 : 0;
      --running;
    });
  }
  Peak peak;
  while (running > 0) {
    const Peak now = ReadMemory(fleet);
    peak.ingress = std::max(peak.ingress, now.ingress);
    peak.owner = std::max(peak.owner, now.owner);
    std::this_thread::sleep_for(kSamplePeriod);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  succeeded = ok;
  return peak;
}

int Measure() {
  FleetOptions options;
  options.body_limit = "16MiB";
  options.seeds = 2;
  MeasuredFleet fleet(options);
  fleet.StartConfigService();
  fleet.Publish("uploads",
                absl::StrCat("[team]\n[service s]\nslots = ", kMaxUploads,
                             "\nwarmup = 0s\nendpoints = ",
                             fleet.Address(kOwnerVm), ":", kBackendPort,
                             "\n[rank r]\nurgency = 1\ntarget = 10s\n"
                             "[route u]\nservice = s\nrank = r\npath = /\n"
                             "repeat = never\ndeadline = 60s\n"));
  const SlowBackend backend(fleet.Address(kOwnerVm));
  fleet.StartDaemon(kIngressVm);
  fleet.StartDaemon(kOwnerVm);
  if (!WaitFor(
          [&] { return fleet.IsReady(kIngressVm) && fleet.IsReady(kOwnerVm); },
          kStartTimeout)) {
    std::fprintf(stderr, "the daemons are not ready\n");
    return 1;
  }
  const Peak idle = ReadMemory(fleet);
  std::printf("bodies of %d KiB; memory in MiB\n", FLAGS_body_kib);
  std::printf("uploads succeeded ingress  more  owner  more\n");
  std::printf("%7d %9s %7.1f %5.1f %6.1f %5.1f\n", 0, "-", idle.ingress, 0.0,
              idle.owner, 0.0);
  for (const int count : {1, 8, 64}) {
    int succeeded = 0;
    const Peak peak = RunStep(fleet, count, succeeded);
    std::printf("%7d %9d %7.1f %5.1f %6.1f %5.1f\n", count, succeeded,
                peak.ingress, peak.ingress - idle.ingress, peak.owner,
                peak.owner - idle.owner);
  }
  return 0;
}

}  // namespace
}  // namespace comfrey

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures the memory of uploads");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return comfrey::Measure();
}
