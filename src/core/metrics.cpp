#include "core/metrics.hpp"

#include <algorithm>

namespace marblevale {

namespace {
constexpr std::array<const char*, kDutyCount> kDuties{
    "round",   "profile", "queue",  "restore", "arrivals", "compress", "displace",
    "rentals", "holder",  "report", "watch",   "users",    "fleet"};
}

void Metrics::spent(Duty duty, std::int64_t us) {
  Spent& s = spent_.at(static_cast<std::size_t>(duty));
  ++s.times;
  s.us += us;
  s.longest_us = std::max(s.longest_us, us);
}

void Metrics::waited(const std::string& what, Duration duration) {
  Waits& w = waits_[what];
  ++w.times;
  w.total += duration;
  w.longest = std::max(w.longest, duration);
}

std::string Metrics::summary() {
  std::string out;
  const auto add = [&out](const std::string& text) {
    if (!out.empty()) out += "; ";
    out += text;
  };
  for (std::size_t i = 0; i < spent_.size(); ++i) {
    Spent& s = spent_.at(i);
    if (s.times == 0) continue;
    add(std::string(kDuties.at(i)) + " " + std::to_string(s.us / 1000) + " ms in " +
        std::to_string(s.times) + ", longest " + std::to_string(s.longest_us / 1000));
    s = {};
  }
  for (auto& [name, w] : waits_) {
    add(name + " " + std::to_string(w.total.count() / static_cast<std::int64_t>(w.times)) +
        " ms on average of " + std::to_string(w.times) + ", longest " +
        std::to_string(w.longest.count()));
  }
  waits_.clear();
  for (const auto& [name, n] : counts_) add(name + " " + std::to_string(n));
  counts_.clear();
  return out;
}

}  // namespace marblevale
