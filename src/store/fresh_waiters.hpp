// Callers that wait until the watch cache has every change committed before their call.
#pragma once

#include <deque>
#include <functional>

#include "core/time.hpp"
#include "net/loop.hpp"

namespace marblevale {

/// Each caller is called back once: with true when the copy has become fresh enough, or with false
/// after a timeout. The number of callers is bounded.
class FreshWaiters {
 public:
  using Handler = std::function<void(bool fresh)>;

  /// `fresh_until`: the time for which every change committed before it is in the copy.
  FreshWaiters(Loop& loop, const Clock& clock, std::function<SteadyTime()> fresh_until);

  [[nodiscard]] bool empty() const { return waiters_.empty(); }
  /// Adds a caller; calls back with false at once when too many wait.
  void add(Handler then);
  /// Calls back the callers for which the copy is fresh enough, and those that have waited too
  /// long.
  void notify();

 private:
  struct Waiter {
    SteadyTime since;
    Handler then;
  };

  const Clock& clock_;
  std::function<SteadyTime()> fresh_until_;
  std::deque<Waiter> waiters_;
  Timer timeout_timer_;
};

}  // namespace marblevale
