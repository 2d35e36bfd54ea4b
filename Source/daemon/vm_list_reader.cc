#include "daemon/vm_list_reader.h"

#include <grpcpp/grpcpp.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "daemon/forward_call.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kCallTimeout{500};
// The daemon of a leaving VM is notified again after this time, because it may
// have restarted and lost the notification.
constexpr std::chrono::seconds kRenotifyPeriod{10};

}  // namespace

VmListReader::VmListReader(ConfigServiceClient client,
                           ChannelPool& channels,
                           int peer_port,
                           CounterRegistry& counters,
                           std::function<bool()> is_reader)
    : client(std::move(client)),
      channels(channels),
      peer_port(peer_port),
      is_reader(std::move(is_reader)),
      reads(counters.Counter("comfrey_vm_list_reads_total")),
      failed_reads(counters.Counter("comfrey_vm_list_failed_reads_total")) {}

void VmListReader::ReadOnce() {
  if (!this->is_reader()) {
    return;
  }
  this->reads.Add();
  const absl::StatusOr<std::vector<VmEntry>> vms = this->client.ReadVmList();
  if (vms.ok() != this->available) {
    this->available = vms.ok();
    spdlog::warn("VM list: {}", this->available
                                    ? "available again"
                                    : std::string(vms.status().message()));
  }
  if (!vms.ok()) {
    this->failed_reads.Add();
    return;
  }
  for (const VmEntry& vm : *vms) {
    const auto notified_at = this->notified_at.find(vm.address);
    const bool known = notified_at != this->notified_at.end();
    const bool due =
        vm.leaving
            ? !known || Clock::now() - notified_at->second >= kRenotifyPeriod
            : known;
    if (due) {
      this->NotifyDaemon(vm);
    }
  }
}

void VmListReader::NotifyDaemon(const VmEntry& vm) {
  const std::shared_ptr<PeerChannel> channel =
      this->channels.Get(absl::StrCat(vm.address, ":", this->peer_port));
  grpc::ClientContext context;
  context.set_deadline(ToSystemTime(Clock::now() + kCallTimeout));
  rpc::DrainRequest request;
  request.set_draining(vm.leaving);
  request.set_from_vm_list(true);
  rpc::DrainReply reply;
  if (!channel->stub->Drain(&context, request, &reply).ok()) {
    return;
  }
  if (vm.leaving) {
    this->notified_at[vm.address] = Clock::now();
  } else {
    this->notified_at.erase(vm.address);
  }
}

}  // namespace comfrey
