/// Whether commands reach a worker. Heartbeats prove only the direction from the worker to the
/// controller: replies and orders may still be lost.
#pragma once

#include <map>

#include "shards/task_presence.hpp"

namespace marblevale {

/// How an order travels: in the reply to a heartbeat, or by a request to the worker's `/orders`.
enum class OrderChannel { heartbeat_reply, direct };

/// Owns the reachability state of one worker and its evidence: starts that were sent and do not
/// show in heartbeats, heartbeats that were answered, and probes (direct requests without orders).
class WorkerReachability {
 public:
  enum class State {
    unconfirmed,          // there is no evidence yet
    reachable,            // it has shown that it received something under a token of this holder
    commands_unreachable  // its heartbeats arrive, but nothing that is sent to it does
  };

  /// The evidence for a change of the state.
  enum class Evidence {
    heartbeat_with_held_token,
    command_answered,
    starts_missing,                // from the heartbeats, though they were sent repeatedly
    lease_expired_though_answered  // its heartbeats were answered, which renews the lease
  };

  explicit WorkerReachability(MachineId machine_id) : machine_id_(std::move(machine_id)) {}

  /// A heartbeat bore a token of this holder, so the worker has received something from it. That
  /// does not refute `commands_unreachable`.
  void on_heartbeat_received(FencingToken token);
  /// A direct order was answered: the worker is reachable, whatever the state was before.
  void on_command_answered(FencingToken token);
  /// A heartbeat that was sent under this ownership of the shard is answered at `now`.
  void on_heartbeat_answered(SteadyTime now, Duration lease);
  void on_start_sent(const TaskAttempt& start, SteadyTime now, OrderChannel channel);
  /// The worker began a new epoch, which voids what was sent to the previous one. True when the
  /// previous lease expired though its heartbeats were answered: then no answers arrive there.
  bool on_epoch_changed(SteadyTime now, Duration lease);
  /// Forgets the starts for which `is_settled` holds.
  template <typename IsSettled>
  void forget_starts(IsSettled is_settled) {
    std::erase_if(unobserved_starts_, [&](const auto& entry) { return is_settled(entry.first); });
  }
  /// True when a start that was sent repeatedly does not show in the worker's heartbeats.
  [[nodiscard]] bool has_missing_start(const WorkerStatus& status, SteadyTime now,
                                       Duration heartbeat_interval) const;
  /// Sets `commands_unreachable`.
  void mark_commands_unreachable(Evidence evidence);
  /// Excludes the time of a process pause, in which no start could show.
  void discount_pause(SteadyTime now, Duration pause);

  [[nodiscard]] bool commands_unreachable() const { return state_ == State::commands_unreachable; }
  [[nodiscard]] bool reachable() const { return state_ == State::reachable; }
  /// Whether it is known to have received something under this fencing token.
  [[nodiscard]] bool reachable_under(FencingToken token) const { return confirmed_token_ == token; }

  /// Whether a probe is due, which asks for a heartbeat.
  [[nodiscard]] bool probe_due(SteadyTime now) const;
  void on_probe_sent(SteadyTime now) { last_probe_ = last_periodic_probe_ = now; }
  /// Whether to probe at intervals for its epoch and tasks, since its own heartbeats do not arrive.
  void set_periodic_probes(bool enabled) { periodic_probes_ = enabled; }
  /// Makes a needed probe due without waiting for the interval.
  void make_probe_due() { last_probe_ = kNever; }

 private:
  /// A start that was sent and has not shown in a heartbeat.
  struct UnobservedStart {
    SteadyTime first_sent_at;
    int heartbeat_replies = 0;  // that contained it
  };

  static constexpr SteadyTime kNever = kLongAgo;

  /// The one place where the state changes. `token`: under which it is reachable, or none.
  void transition(State next, FencingToken token, Evidence evidence);

  MachineId machine_id_;
  State state_ = State::unconfirmed;
  FencingToken confirmed_token_;  // of the latest evidence of reachability; none unless reachable
  SteadyTime last_answered_at_ = kNever;
  SteadyTime answered_without_gap_since_ = kNever;
  SteadyTime last_probe_ = kNever;
  SteadyTime last_periodic_probe_ = kNever;
  bool periodic_probes_ = false;
  std::map<TaskAttempt, UnobservedStart> unobserved_starts_;
};

}  // namespace marblevale
