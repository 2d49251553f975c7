// Delayed events of a simulation, and the seeded random generator that decides about faults.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>

#include "core/time.hpp"

namespace marblevale::testing {

/// Runs actions when their delay has passed by the fake clock, in the order of their due times.
/// Simulations deliver messages through it, so that messages stay in flight for a while.
class EventQueue {
 public:
  explicit EventQueue(const Clock& clock) : clock_(clock) {}
  void after(Duration delay, std::function<void()> action) {
    events_.emplace(clock_.steady().time_since_epoch().count() + delay.count(), std::move(action));
  }
  void run_due() {
    while (!events_.empty() &&
           events_.begin()->first <= clock_.steady().time_since_epoch().count()) {
      const auto action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
  }

 private:
  const Clock& clock_;
  std::multimap<std::int64_t, std::function<void()>> events_;
};

/// Random values from a seeded generator, so that a run with the same seed repeats exactly. The
/// bounds of `between` and `span` are inclusive.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : random_(seed) {}
  bool chance(double probability) { return std::bernoulli_distribution(probability)(random_); }
  std::int64_t between(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
  }
  Duration span(std::int64_t low_ms, std::int64_t high_ms) {
    return Duration{between(low_ms, high_ms)};
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace marblevale::testing
