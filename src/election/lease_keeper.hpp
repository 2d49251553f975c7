// Keeps a lease of the state service alive.
#pragma once

#include <functional>

#include "net/loop.hpp"
#include "store/store.hpp"

namespace marblevale {

/// Opens a lease and renews it. When the lease has expired, opens another one.
class LeaseKeeper {
 public:
  struct Timing {
    const Duration& ttl;  // refers to the setting
    /// The delay from a failed renewal to the next one, as a fraction of the TTL.
    double retry_fraction;
    /// Returns the delay before the next attempt to open a lease.
    std::function<Duration()> open_backoff;
  };
  struct Callbacks {
    std::function<void()> opened;
    std::function<void()> expired;  // called before another lease is opened
  };

  LeaseKeeper(Loop& loop, Store& store, Timing timing, Callbacks callbacks);

  void open();
  [[nodiscard]] bool is_open() const { return id_ != LeaseId{}; }
  /// The id of the open lease; 0 while no lease is open.
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
