#include "daemon/channel_pool.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <future>

namespace comfrey {
namespace {

// Keepalive pings detect a connection that no longer delivers data while a call
// is in flight.
constexpr int kKeepaliveTimeMs = 2000;
constexpr int kKeepaliveTimeoutMs = 1000;
constexpr int kMaxReconnectBackoffMs = 1000;
constexpr int kMinReconnectBackoffMs = 100;
constexpr int kMaxMessageBytes = 16 * 1024 * 1024;
constexpr std::chrono::seconds kSelfCallTimeout{1};

std::shared_ptr<grpc::Channel> OpenChannel(const std::string& address) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveTimeMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   kMinReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
  // By default, a new channel shares the connection of an older channel to the
  // same address, which may no longer deliver data. A subchannel pool for each
  // channel prevents that.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  return grpc::CreateCustomChannel(
      "ipv4:" + address, grpc::InsecureChannelCredentials(), arguments);
}

}  // namespace

// Call on the channel to this daemon's own server, which keeps the callback
// threads of gRPC running. gRPC joins these threads when the last channel that
// used them is destroyed. Channels are often released in a callback, so the
// thread would join itself, which AddressSanitizer reported as a double free.
// This channel outlives all others and is released by the main thread.
struct ChannelPool::SelfCall {
  std::shared_ptr<grpc::Channel> channel;
  std::unique_ptr<rpc::Peer::Stub> stub;
  grpc::ClientContext context;
  rpc::StampRequest request;
  rpc::OwnerStamp reply;
  std::promise<void> done;
};

ChannelPool::ChannelPool(std::size_t limit) : limit(limit) {}

ChannelPool::~ChannelPool() {
  if (this->self_call) {
    this->self_call->done.get_future().wait();
  }
}

void ChannelPool::OpenSelfChannel(const std::string& address) {
  this->self_call = std::make_unique<SelfCall>();
  SelfCall& call = *this->self_call;
  call.channel = OpenChannel(address);
  call.stub = rpc::Peer::NewStub(call.channel);
  call.context.set_deadline(std::chrono::system_clock::now() +
                            kSelfCallTimeout);
  call.stub->async()->GetStamp(
      &call.context, &call.request, &call.reply,
      [&call](const grpc::Status&) { call.done.set_value(); });
}

std::shared_ptr<PeerChannel> ChannelPool::Get(const std::string& address) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Entry& entry = this->entries[address];
  entry.last_use = std::chrono::steady_clock::now();
  if (!entry.channel) {
    entry.channel = std::make_shared<PeerChannel>();
    entry.channel->address = address;
    entry.channel->channel = OpenChannel(address);
    entry.channel->stub = rpc::Peer::NewStub(entry.channel->channel);
  }
  std::shared_ptr<PeerChannel> channel = entry.channel;
  if (this->entries.size() > this->limit) {
    this->EvictLeastRecentlyUsed();
  }
  return channel;
}

void ChannelPool::Remove(const std::shared_ptr<PeerChannel>& channel) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->entries.find(channel->address);
  if (found != this->entries.end() && found->second.channel == channel) {
    this->entries.erase(found);
  }
}

void ChannelPool::EvictLeastRecentlyUsed() {
  const auto oldest =
      std::min_element(this->entries.begin(), this->entries.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.last_use < b.second.last_use;
                       });
  this->entries.erase(oldest);
}

}  // namespace comfrey
