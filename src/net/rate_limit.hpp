// What a client may spend: a token bucket, and backoff with jitter.
#pragma once

#include <algorithm>
#include <random>

#include "core/time.hpp"

namespace marblevale {

class TokenBucket {
 public:
  TokenBucket(double per_second, double burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  /// Takes `amount` if that leaves at least `keep` for more important callers.
  bool take(SteadyTime now, double amount, double keep = 0) {
    refill(now);
    // What is more than ever fits goes when the bucket is full, and is paid for afterwards.
    if (tokens_ - std::min(amount, burst_ - keep) < keep) return false;
    tokens_ -= amount;
    return true;
  }

  void set_rate(double per_second) {
    per_second_ = per_second;
    burst_ = per_second;
  }
  [[nodiscard]] double rate() const { return per_second_; }
  /// The share of the burst that is there to be taken.
  double filled(SteadyTime now) {
    refill(now);
    return std::max(0.0, tokens_ / burst_);
  }

  /// How long until `take` of this much could succeed.
  Duration wait(SteadyTime now, double amount, double keep = 0) {
    refill(now);
    const double lacking = std::min(amount, burst_ - keep) + keep - tokens_;
    return lacking <= 0 ? Duration{0}
                        : Duration{static_cast<std::int64_t>(lacking / per_second_ * 1000) + 1};
  }

 private:
  void refill(SteadyTime now) {
    if (started_ && now > last_) {
      tokens_ = std::min(burst_, tokens_ + per_second_ * to_seconds(now - last_));
    }
    started_ = true;
    last_ = now;
  }

  double per_second_;
  double burst_;
  double tokens_;
  bool started_ = false;
  SteadyTime last_{};
};

/// Exponential backoff with full jitter in its upper half.
class Backoff {
 public:
  Backoff(Duration first, Duration most) : first_(first), most_(most), next_(first) {}
  template <typename Engine>
  Duration next(Engine& engine) {
    const Duration base = next_;
    next_ = std::min(most_, next_ * 2);
    return scaled(base, std::uniform_real_distribution<>(0.5, 1.0)(engine));
  }
  void reset() { next_ = first_; }

 private:
  Duration first_{};
  Duration most_{};
  Duration next_{};
};

}  // namespace marblevale
