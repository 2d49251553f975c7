// Rates and sizes that the state service accepts.
#pragma once

#include <cstddef>
#include <optional>

namespace marblevale {

/// Limits that the state service announces: from some moment on, without notice, they are in
/// force.
struct AnnouncedLimits {
  double rps = 100;
  double write_rps = 50;
  std::size_t value_bytes = 8192;
  std::size_t txn_ops = 16;
};

struct StoreLimits {
  double rps = 100;
  double write_rps = 50;
  std::size_t value_bytes = 8192;
  std::size_t txn_ops = 16;
  std::size_t nodes = 3;  // that share the rates
  std::optional<AnnouncedLimits> next;

  /// Puts and deletes of one transaction, now and under the announced limits.
  [[nodiscard]] std::size_t max_operations() const;
  /// Bytes of one value that fit now and under the announced limits.
  [[nodiscard]] std::size_t lasting_value_bytes() const;
};

}  // namespace marblevale
