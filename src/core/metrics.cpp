#include "core/metrics.hpp"

#include <algorithm>

namespace marblevale {

namespace {

/// Names in the log, in the order of `Duty`.
constexpr std::array<const char*, kDutyCount> kDutyNames{
    "round",     "profile_sync",          "queue",  "restore",   "arrivals", "compress",
    "preempt",   "provisioning_requests", "holder", "heartbeat", "watch",    "users",
    "autoscaler"};

std::string whole_milliseconds(std::chrono::microseconds time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

void append_item(std::string& line, const std::string& item) {
  if (!line.empty()) line += "; ";
  line += item;
}

}  // namespace

void Metrics::add_time(Duty duty, std::chrono::microseconds time) {
  DutyTime& duty_time = duties_.at(static_cast<std::size_t>(duty));
  ++duty_time.times;
  duty_time.total += time;
  duty_time.longest = std::max(duty_time.longest, time);
}

std::string Metrics::summary() {
  std::string line;
  for (std::size_t i = 0; i < duties_.size(); ++i) {
    const DutyTime& duty_time = duties_.at(i);
    if (duty_time.times == 0) continue;
    append_item(line, std::string(kDutyNames.at(i)) +
                          " total_ms=" + whole_milliseconds(duty_time.total) +
                          " times=" + std::to_string(duty_time.times) +
                          " longest_ms=" + whole_milliseconds(duty_time.longest));
  }
  for (const auto& [event, count] : events_) append_item(line, event + "=" + std::to_string(count));
  duties_ = {};
  events_.clear();
  return line;
}

}  // namespace marblevale
