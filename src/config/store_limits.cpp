#include "config/store_limits.hpp"

#include <algorithm>

namespace marblevale {

std::size_t StoreLimits::max_operations() const {
  return next ? std::min(txn_ops, next->txn_ops) : txn_ops;
}

std::size_t StoreLimits::lasting_value_bytes() const {
  return next ? std::min(value_bytes, next->value_bytes) : value_bytes;
}

}  // namespace marblevale
