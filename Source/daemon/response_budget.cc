#include "daemon/response_budget.h"

namespace comfrey {

bool ResponseBudget::Take(std::size_t bytes) {
  std::size_t available = this->left.load();
  while (bytes <= available) {
    if (this->left.compare_exchange_weak(available, available - bytes)) {
      return true;
    }
  }
  return false;
}

void ResponseBudget::Return(std::size_t bytes) {
  this->left += bytes;
}

ResponseReservation::~ResponseReservation() {
  if (this->budget != nullptr) {
    this->budget->Return(this->taken);
  }
}

bool ResponseReservation::Grow(std::size_t size) {
  if (this->budget == nullptr ||
      size <= kUncountedResponseBytes + this->taken) {
    return true;
  }
  const std::size_t missing = size - kUncountedResponseBytes - this->taken;
  if (!this->budget->Take(missing)) {
    return false;
  }
  this->taken += missing;
  return true;
}

}  // namespace comfrey
