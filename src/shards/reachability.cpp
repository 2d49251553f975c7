#include "shards/reachability.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace marblevale {

namespace {
constexpr Duration kProbeInterval{2'000};
constexpr Duration kRegularProbeInterval{5'000};
constexpr double kMaxHeartbeatsWithoutStart =
    2.5;                                 // heartbeat intervals after which a start must show
constexpr int kMinAnswersWithStart = 2;  // that bore it
}  // namespace

void WorkerReachability::transition(State next, FencingToken token, const char* reason) {
  confirmed_token_ = token;
  if (state_ == next) return;
  if (next == State::commands_unreachable) {
    spdlog::info("holder: commands do not reach {}: {}", machine_id_.get(), reason);
  } else {
    spdlog::debug("holder: {} is reachable: {}", machine_id_.get(), reason);
  }
  state_ = next;
}

void WorkerReachability::heartbeat_received(FencingToken token) {
  if (state_ != State::commands_unreachable) {
    transition(State::reachable, token, "its report bears our token");
  }
}

void WorkerReachability::command_answered(FencingToken token) {
  transition(State::reachable, token, "it answered an order");
}

void WorkerReachability::mark_commands_unreachable(const char* reason) {
  transition(State::commands_unreachable, FencingToken{}, reason);
}

void WorkerReachability::start_sent(const TaskAttempt& start, SteadyTime now, bool in_answer) {
  MissingStart& missing = missing_starts_.try_emplace(start, MissingStart{now}).first->second;
  if (in_answer) ++missing.answers;
}

void WorkerReachability::heartbeat_answered(SteadyTime now, Duration lease) {
  if (now - last_answer_ >= scaled(lease, 0.5)) answered_since_ = now;
  last_answer_ = now;
}

bool WorkerReachability::epoch_changed(SteadyTime now, Duration lease) {
  missing_starts_.clear();
  // One heartbeat that was held up while the lease lapsed for other reasons, and is answered now,
  // does not show that the machine had the answer.
  return now - last_answer_ < lease && now - answered_since_ >= scaled(lease, 0.5);
}

bool WorkerReachability::misses_starts(const WorkerView& view, SteadyTime now,
                                       Duration heartbeat_interval) const {
  return std::any_of(missing_starts_.begin(), missing_starts_.end(), [&](const auto& entry) {
    // A machine that hung has not reported meanwhile: only answers that it should have had count.
    return now - entry.second.since > scaled(heartbeat_interval, kMaxHeartbeatsWithoutStart) &&
           entry.second.answers >= kMinAnswersWithStart && !view.tasks.contains(entry.first);
  });
}

void WorkerReachability::discount_pause(SteadyTime now, Duration pause) {
  for (auto& [start, missing] : missing_starts_) {
    missing.since = std::min(now, missing.since + pause);
  }
}

bool WorkerReachability::probe_due(SteadyTime now) const {
  if (regular_probes_ && now - last_regular_probe_ >= kRegularProbeInterval) return true;
  return !reachable() && now - last_probe_ >= kProbeInterval;
}

}  // namespace marblevale
