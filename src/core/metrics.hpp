// What an operator can read about where the time and the writes go: time by duty, events by name,
// and distributions of spans in powers of two. One thread, no locks.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "core/time.hpp"

namespace marblevale {

/// `round` is the whole of a leader's round; those up to `provisioning requests` are parts of it.
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

class Metrics {
 public:
  /// Measures from its making to its end.
  class Timed {
   public:
    Timed(Metrics& metrics, Duty duty)
        : metrics_(metrics), duty_(duty), begin_(std::chrono::steady_clock::now()) {}
    ~Timed() {
      metrics_.spent(duty_, std::chrono::duration_cast<std::chrono::microseconds>(
                                std::chrono::steady_clock::now() - begin_)
                                .count());
    }
    Timed(const Timed&) = delete;
    Timed& operator=(const Timed&) = delete;

   private:
    Metrics& metrics_;
    Duty duty_;
    std::chrono::steady_clock::time_point begin_;
  };

  [[nodiscard]] Timed time(Duty duty) { return {*this, duty}; }
  void spent(Duty duty, std::int64_t us);
  void count(const std::string& what, std::uint64_t by = 1) { counts_[what] += by; }
  /// A wait of this length, by its name.
  void waited(const std::string& what, Duration duration);

  /// In one line: what came since the last call.
  [[nodiscard]] std::string summary();

 private:
  struct Spent {
    std::uint64_t times = 0;
    std::int64_t us = 0;
    std::int64_t longest_us = 0;
  };
  struct Waits {
    std::uint64_t times = 0;
    Duration total{};
    Duration longest{};
  };
  std::array<Spent, kDutyCount> spent_;
  std::map<std::string, std::uint64_t> counts_;
  std::map<std::string, Waits> waits_;
};

}  // namespace marblevale
