// Rates and sizes that the state service accepts.
#pragma once

#include <cstddef>
#include <optional>

namespace marblevale {

/// Limits that the state service has announced. They come into force at some moment, without
/// further notice.
struct AnnouncedLimits {
  double rps = 100;
  double write_rps = 50;
  std::size_t value_bytes = 8192;
  std::size_t txn_ops = 16;
};

/// Limits that are in force.
struct StoreLimits {
  double rps = 100;                // requests per second, of all controllers together
  double write_rps = 50;           // of those, writes
  std::size_t value_bytes = 8192;  // of one value
  std::size_t txn_ops = 16;        // puts and deletes of one transaction
  std::size_t nodes = 3;           // controllers that share the rates
  std::optional<AnnouncedLimits> next;

  /// Puts and deletes of one transaction that fit now and under the announced limits.
  [[nodiscard]] std::size_t max_operations() const;
  /// Bytes of one value that fit now and under the announced limits.
  [[nodiscard]] std::size_t lasting_value_bytes() const;
};

}  // namespace marblevale
