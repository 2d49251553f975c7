// Metrics that operators read in the log: the time that the controller spends on each duty, and the
// number of named events. Not thread-safe, because the controller runs on one thread.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace marblevale {

/// Activities of the controller's thread whose time is measured. `round` is one whole round of the
/// leader's decisions. `profile_sync` to `provisioning_requests` are the steps of a round.
enum class Duty {
  round,
  profile_sync,
  queue,
  restore,
  arrivals,
  compress,
  preempt,
  provisioning_requests,
  holder,
  heartbeat,
  watch,
  users,
  autoscaler
};
inline constexpr std::size_t kDutyCount = 13;

/// Accumulates times and counts between two calls of `summary`.
class Metrics {
 public:
  /// Adds the time from its construction to its destruction to a duty.
  class ScopedTimer {
   public:
    ScopedTimer(Metrics& metrics, Duty duty)
        : metrics_(metrics), duty_(duty), start_(std::chrono::steady_clock::now()) {}
    ~ScopedTimer() {
      metrics_.add_time(duty_, std::chrono::duration_cast<std::chrono::microseconds>(
                                   std::chrono::steady_clock::now() - start_));
    }
    ScopedTimer(const ScopedTimer&) = delete;
    ScopedTimer& operator=(const ScopedTimer&) = delete;
    ScopedTimer(ScopedTimer&&) = delete;
    ScopedTimer& operator=(ScopedTimer&&) = delete;

   private:
    Metrics& metrics_;
    Duty duty_;
    std::chrono::steady_clock::time_point start_;
  };

  [[nodiscard]] ScopedTimer time(Duty duty) { return {*this, duty}; }
  /// Adds to the count of the named event. The name appears unchanged in the log.
  void count(const std::string& event, std::uint64_t increment = 1) { events_[event] += increment; }

  /// Calls the observer at each `checkpoint`.
  void on_checkpoint(std::function<void(const char* step)> observer) {
    checkpoint_observer_ = std::move(observer);
  }
  /// Marks the end of a step that may hold much memory. `step` is a string literal.
  void checkpoint(const char* step) const {
    if (checkpoint_observer_) checkpoint_observer_(step);
  }

  /// Returns one line with the times and counts since the last call, and clears them.
  [[nodiscard]] std::string summary();

 private:
  struct DutyTime {
    std::uint64_t times = 0;
    std::chrono::microseconds total{};
    std::chrono::microseconds longest{};
  };
  void add_time(Duty duty, std::chrono::microseconds time);

  std::array<DutyTime, kDutyCount> duties_;
  std::map<std::string, std::uint64_t> events_;
  std::function<void(const char*)> checkpoint_observer_;
};

}  // namespace marblevale
