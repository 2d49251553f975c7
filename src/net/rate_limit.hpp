// Rate limiting: a token bucket, and exponential backoff with jitter.
#pragma once

#include <algorithm>
#include <optional>
#include <random>

#include "core/time.hpp"

namespace marblevale {

/// A bucket that holds up to `burst` tokens and is refilled by `per_second` tokens per second. A
/// single large `take` may overdraw the bucket. Later callers wait until it is refilled.
class TokenBucket {
 public:
  TokenBucket(double per_second, double burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  /// Takes `amount` tokens and returns true if at least `reserve` tokens remain. A negative
  /// `reserve` is a credit.
  bool take(SteadyTime now, double amount, double reserve = 0) {
    refill(now);
    // An amount larger than the bucket is taken when the bucket is full, and overdraws it.
    if (tokens_ - std::min(amount, burst_ - reserve) < reserve) return false;
    tokens_ -= amount;
    return true;
  }

  /// Also sets the burst to the tokens of one second.
  void set_rate(double per_second) {
    per_second_ = per_second;
    burst_ = per_second;
  }
  [[nodiscard]] double rate() const { return per_second_; }
  /// The available tokens as a fraction of the burst, 0 when the bucket is overdrawn.
  double fill_ratio(SteadyTime now) {
    refill(now);
    return std::max(0.0, tokens_ / burst_);
  }

  /// Time until `take` with the same arguments can succeed.
  Duration wait(SteadyTime now, double amount, double reserve = 0) {
    refill(now);
    const double missing_tokens = std::min(amount, burst_ - reserve) + reserve - tokens_;
    return missing_tokens <= 0
               ? Duration{0}
               : Duration{static_cast<std::int64_t>(missing_tokens / per_second_ * 1000) + 1};
  }

 private:
  void refill(SteadyTime now) {
    if (last_refill_ && now > *last_refill_) {
      tokens_ = std::min(burst_, tokens_ + per_second_ * to_seconds(now - *last_refill_));
    }
    last_refill_ = now;
  }

  double per_second_;
  double burst_;
  double tokens_;
  std::optional<SteadyTime> last_refill_;
};

/// Exponential backoff with jitter. Each delay is drawn between half of the bound and the bound,
/// which doubles from `initial` up to `maximum`.
class Backoff {
 public:
  Backoff(Duration initial, Duration maximum)
      : initial_(initial), maximum_(maximum), next_bound_(initial) {}
  template <typename Engine>
  Duration next(Engine& engine) {
    const Duration bound = next_bound_;
    next_bound_ = std::min(maximum_, next_bound_ * 2);
    return scaled(bound, std::uniform_real_distribution<>(0.5, 1.0)(engine));
  }
  void reset() { next_bound_ = initial_; }

 private:
  Duration initial_;
  Duration maximum_;
  Duration next_bound_;
};

}  // namespace marblevale
