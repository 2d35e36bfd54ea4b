#include "daemon/connection_pool.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <system_error>
#include <thread>

namespace comfrey {
namespace {

// Guards against a process that ends because a thread cannot be started.
TEST_CASE("a connection without a thread is refused", "[connection_pool]") {
  int started = 0;
  ConnectionPool pool(10, [&started](std::function<void()> run) {
    if (++started > 2) {
      throw std::system_error(
          std::make_error_code(std::errc::resource_unavailable_try_again));
    }
    return std::thread(std::move(run));
  });
  std::promise<void> release;
  std::promise<ConnectionAction> first;
  std::promise<ConnectionAction> second;
  pool.enqueue([&] {
    first.set_value(ConnectionPool::CurrentAction());
    release.get_future().wait();
  });
  CHECK(first.get_future().get() == ConnectionAction::kServe);
  pool.enqueue([&] { second.set_value(ConnectionPool::CurrentAction()); });
  std::future<ConnectionAction> refused = second.get_future();
  REQUIRE(refused.wait_for(std::chrono::seconds(10)) ==
          std::future_status::ready);
  CHECK(refused.get() == ConnectionAction::kRefuse);
  release.set_value();
  pool.shutdown();
}

}  // namespace
}  // namespace comfrey
