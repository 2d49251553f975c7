#include "shards/reachability.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace marblevale {

namespace {
constexpr Duration kProbeInterval{2'000};
constexpr Duration kPeriodicProbeInterval{5'000};
/// Number of heartbeat intervals after which a start must be reported.
constexpr double kMaxHeartbeatsWithoutStart = 2.5;
/// Number of heartbeat replies that must have contained a start before the start counts as missing.
constexpr int kMinRepliesWithStart = 2;
/// Share of the lease. A gap of this length between answered heartbeats restarts the period of
/// answered heartbeats. When the period is at least this long, the answers should have renewed the
/// lease.
constexpr double kAnsweredLeaseShare = 0.5;

const char* name_of(WorkerReachability::Evidence evidence) {
  using Evidence = WorkerReachability::Evidence;
  switch (evidence) {
    case Evidence::heartbeat_with_held_token:
      return "heartbeat_with_held_token";
    case Evidence::command_answered:
      return "command_answered";
    case Evidence::starts_missing:
      return "starts_missing";
    case Evidence::lease_expired_though_answered:
      return "lease_expired_though_answered";
  }
  return "";
}
}  // namespace

void WorkerReachability::transition(State next, FencingToken token, Evidence evidence) {
  confirmed_token_ = token;
  if (state_ == next) return;
  if (next == State::commands_unreachable) {
    spdlog::info("shard_holder: commands_unreachable machine={} reason={}", machine_id_.get(),
                 name_of(evidence));
  } else {
    spdlog::debug("shard_holder: commands_reachable machine={} reason={}", machine_id_.get(),
                  name_of(evidence));
  }
  state_ = next;
}

void WorkerReachability::on_heartbeat_received(FencingToken token) {
  if (state_ != State::commands_unreachable) {
    transition(State::reachable, token, Evidence::heartbeat_with_held_token);
  }
}

void WorkerReachability::on_command_answered(FencingToken token) {
  transition(State::reachable, token, Evidence::command_answered);
}

void WorkerReachability::mark_commands_unreachable(Evidence evidence) {
  transition(State::commands_unreachable, FencingToken{}, evidence);
}

void WorkerReachability::on_start_sent(const TaskAttempt& start, SteadyTime now,
                                       OrderChannel channel) {
  UnobservedStart& unobserved =
      unobserved_starts_.try_emplace(start, UnobservedStart{now}).first->second;
  if (channel == OrderChannel::heartbeat_reply) ++unobserved.heartbeat_replies;
}

void WorkerReachability::on_heartbeat_answered(SteadyTime now, Duration lease) {
  if (now - last_answered_at_ >= scaled(lease, kAnsweredLeaseShare)) {
    answered_without_gap_since_ = now;
  }
  last_answered_at_ = now;
}

bool WorkerReachability::on_epoch_changed(SteadyTime now, Duration lease) {
  unobserved_starts_.clear();
  // A single delayed heartbeat may be answered just now although the lease expired for another
  // reason. Such an answer is no evidence that the answers were lost.
  return now - last_answered_at_ < lease &&
         now - answered_without_gap_since_ >= scaled(lease, kAnsweredLeaseShare);
}

bool WorkerReachability::has_missing_start(const WorkerStatus& status, SteadyTime now,
                                           Duration heartbeat_interval) const {
  const Duration max_wait = scaled(heartbeat_interval, kMaxHeartbeatsWithoutStart);
  return std::any_of(unobserved_starts_.begin(), unobserved_starts_.end(), [&](const auto& entry) {
    const auto& [start, unobserved] = entry;
    // Elapsed time alone is no evidence, because a machine that hung has sent no heartbeats in the
    // meantime.
    return now - unobserved.first_sent_at > max_wait &&
           unobserved.heartbeat_replies >= kMinRepliesWithStart && !status.tasks.contains(start);
  });
}

void WorkerReachability::discount_pause(SteadyTime now, Duration pause) {
  for (auto& [start, unobserved] : unobserved_starts_) {
    unobserved.first_sent_at = std::min(now, unobserved.first_sent_at + pause);
  }
}

bool WorkerReachability::probe_due(SteadyTime now) const {
  if (periodic_probes_ && now - last_periodic_probe_ >= kPeriodicProbeInterval) return true;
  return !reachable() && now - last_probe_ >= kProbeInterval;
}

}  // namespace marblevale
