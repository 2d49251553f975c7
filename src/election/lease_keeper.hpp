// Keeps a lease of the state service alive.
#pragma once

#include <functional>

#include "net/loop.hpp"
#include "store/store.hpp"

namespace marblevale {

/// Opens a lease and renews it; when it has expired, opens another.
class LeaseKeeper {
 public:
  struct Timing {
    const Duration& ttl;  // the setting
    /// When the next renewal is due after one that failed, as a part of the TTL.
    double retry_fraction;
    /// The delay before another try to open the lease.
    std::function<Duration()> open_backoff;
  };
  struct Callbacks {
    std::function<void()> opened;
    std::function<void()> expired;  // before another lease is opened
  };

  LeaseKeeper(Loop& loop, Store& store, Timing timing, Callbacks callbacks);

  void open();
  [[nodiscard]] bool is_open() const { return id_ != LeaseId{}; }
  /// The lease's id; that of none while it is not open.
  [[nodiscard]] LeaseId id() const { return id_; }

 private:
  void renew();

  Store& store_;
  Timing timing_;
  Callbacks callbacks_;
  LeaseId id_;
  Timer timer_;
};

}  // namespace marblevale
