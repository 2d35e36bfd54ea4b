#ifndef DAEMON_RESPONSE_BUDGET_H_
#define DAEMON_RESPONSE_BUDGET_H_

#include <atomic>
#include <cstddef>

namespace comfrey {

/// \brief Part of each response that is not counted against the budget, so that
/// large responses of one backend server never make small ones of another fail.
constexpr std::size_t kUncountedResponseBytes = 64 << 10;

/// \brief Limits the memory of all responses that a daemon is receiving.
class ResponseBudget {
 public:
  explicit ResponseBudget(std::size_t bytes) : left(bytes) {}

  ResponseBudget(const ResponseBudget&) = delete;
  ResponseBudget& operator=(const ResponseBudget&) = delete;

  /// \brief Takes bytes from the budget; returns false if fewer are left.
  bool Take(std::size_t bytes);
  void Return(std::size_t bytes);

 private:
  std::atomic<std::size_t> left;
};

/// \brief The bytes that one response takes from a budget; they are returned on
/// destruction.
class ResponseReservation {
 public:
  /// \brief Without a budget, the reservation has no limit.
  explicit ResponseReservation(ResponseBudget* budget) : budget(budget) {}
  ~ResponseReservation();

  ResponseReservation(const ResponseReservation&) = delete;
  ResponseReservation& operator=(const ResponseReservation&) = delete;

  /// \brief Reserves the memory of a response that has grown to `size`; returns
  /// false if the budget is exhausted.
  bool Grow(std::size_t size);

 private:
  ResponseBudget* budget;
  std::size_t taken = 0;
};

}  // namespace comfrey

#endif  // DAEMON_RESPONSE_BUDGET_H_
