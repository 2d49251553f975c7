#include "store/store.hpp"

#include <algorithm>

namespace marblevale {

bool exceeds_announced_value_limit(const Transaction& txn, const StoreLimits& limits) {
  if (!limits.next) return false;
  return std::any_of(txn.puts.begin(), txn.puts.end(), [&](const Put& put) {
    return put.value.size() > limits.next->value_bytes && put.value.size() <= limits.value_bytes;
  });
}

}  // namespace marblevale
