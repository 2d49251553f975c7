// Request rates and sizes that the state service accepts, now and after an announced change.
// Records and transactions that fit both need no change when the announced limits take effect.
#pragma once

#include <cstddef>
#include <optional>

namespace marblevale {

/// Limits that the state service has announced. They take effect at an unknown time, without
/// further notice.
struct AnnouncedLimits {
  double rps = 100;
  double write_rps = 50;
  std::size_t value_bytes = 8192;
  std::size_t txn_ops = 16;
};

/// Limits that are in force.
struct StoreLimits {
  double rps = 100;                // requests per second by all controllers together
  double write_rps = 50;           // writes per second, which also count in `rps`
  std::size_t value_bytes = 8192;  // maximum size of one value
  std::size_t txn_ops = 16;        // maximum puts and deletes in one transaction
  std::size_t nodes = 3;           // controllers that share the rates
  std::optional<AnnouncedLimits> next;

  /// Maximum puts and deletes in one transaction under both the current and the announced limits.
  [[nodiscard]] std::size_t max_operations() const;
  /// Maximum bytes of one value under both the current and the announced limits.
  [[nodiscard]] std::size_t lasting_value_bytes() const;
};

}  // namespace marblevale
