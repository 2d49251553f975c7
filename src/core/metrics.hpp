// Counters that operators read in the log: where the controller's time goes, by duty, and how often
// named events happen. Used by one thread, without locks.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace marblevale {

/// What the controller's thread spends time on. `round` is the whole of one round of the leader's
/// decisions; the duties up to `provisioning_requests` are its steps.
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

/// Accumulates between two calls of `summary`.
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
  /// Counts events by name; names appear in the log as they are.
  void count(const std::string& event, std::uint64_t increment = 1) { events_[event] += increment; }

  /// One line about what was added since the last call, and starts anew.
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
};

}  // namespace marblevale
