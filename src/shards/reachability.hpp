/// Tracks whether commands reach a worker. A command is a message to the worker: a reply to a
/// heartbeat, or a direct order or probe. Heartbeats prove only that the controller receives
/// messages of the worker; commands may still be lost.
#pragma once

#include <map>

#include "shards/task_presence.hpp"

namespace marblevale {

/// The channel by which an order is sent: the reply to a heartbeat, or a request to the worker's
/// `/orders`.
enum class OrderChannel { heartbeat_reply, direct };

/// Owns the reachability state of one worker and the evidence for it: starts that were sent but are
/// missing from heartbeats, answered heartbeats, and probes (direct requests without orders).
class WorkerReachability {
 public:
  enum class State {
    unconfirmed,  // there is no evidence yet
    reachable,    // the worker has shown that it received a command under a token of this holder
    commands_unreachable  // the worker's heartbeats arrive, but commands do not reach the worker
  };

  /// The evidence for a change of the state.
  enum class Evidence {
    heartbeat_with_held_token,
    command_answered,
    starts_missing,  // starts are missing from the heartbeats though they were sent repeatedly
    lease_expired_though_answered  // the worker's heartbeats were answered, which renews the lease
  };

  explicit WorkerReachability(MachineId machine_id) : machine_id_(std::move(machine_id)) {}

  /// Records a heartbeat with a token of this holder, which proves that the worker has received a
  /// command of this holder. This does not refute `commands_unreachable`, so that state is kept.
  void on_heartbeat_received(FencingToken token);
  /// Records that a direct request was answered, which makes the worker reachable from any state.
  void on_command_answered(FencingToken token);
  /// Records that a heartbeat that was sent under this ownership of the shard is answered at `now`.
  void on_heartbeat_answered(SteadyTime now, Duration lease);
  void on_start_sent(const TaskAttempt& start, SteadyTime now, OrderChannel channel);
  /// Records that the worker began a new epoch, which voids the orders sent to the previous epoch.
  /// Returns true when the previous lease expired although its heartbeats were answered, which
  /// shows that the answers do not reach the worker.
  bool on_epoch_changed(SteadyTime now, Duration lease);
  /// Forgets the starts for which `is_settled` holds.
  template <typename IsSettled>
  void forget_starts(IsSettled is_settled) {
    std::erase_if(unobserved_starts_, [&](const auto& entry) { return is_settled(entry.first); });
  }
  /// Returns true when a start that was sent repeatedly is missing from the worker's heartbeats.
  [[nodiscard]] bool has_missing_start(const WorkerStatus& status, SteadyTime now,
                                       Duration heartbeat_interval) const;
  /// Sets the state to `commands_unreachable`; `evidence` is only logged.
  void mark_commands_unreachable(Evidence evidence);
  /// Excludes the time of a process pause from the wait for starts, because no start could be
  /// reported during the pause.
  void discount_pause(SteadyTime now, Duration pause);

  [[nodiscard]] bool commands_unreachable() const { return state_ == State::commands_unreachable; }
  [[nodiscard]] bool reachable() const { return state_ == State::reachable; }
  /// Whether the worker has shown that it received a command under this fencing token.
  [[nodiscard]] bool reachable_under(FencingToken token) const { return confirmed_token_ == token; }

  /// Whether a probe is due. A probe asks the worker for a heartbeat.
  [[nodiscard]] bool probe_due(SteadyTime now) const;
  void on_probe_sent(SteadyTime now) { last_probe_ = last_periodic_probe_ = now; }
  /// Enables or disables periodic probes, which ask for the worker's epoch and tasks when its own
  /// heartbeats do not arrive.
  void set_periodic_probes(bool enabled) { periodic_probes_ = enabled; }
  /// While the worker is not known to be reachable, makes a probe due without waiting for the
  /// interval.
  void make_probe_due() { last_probe_ = kNever; }

 private:
  /// A start that was sent and is not reported in a heartbeat yet.
  struct UnobservedStart {
    SteadyTime first_sent_at;
    int heartbeat_replies = 0;  // number of heartbeat replies that contained the start
  };

  static constexpr SteadyTime kNever = kLongAgo;

  /// All changes of the state are made here. `token` is the fencing token under which the worker is
  /// reachable, or none.
  void transition(State next, FencingToken token, Evidence evidence);

  MachineId machine_id_;
  State state_ = State::unconfirmed;
  FencingToken confirmed_token_;  // of the latest evidence; none unless reachable
  SteadyTime last_answered_at_ = kNever;
  SteadyTime answered_without_gap_since_ = kNever;
  SteadyTime last_probe_ = kNever;
  SteadyTime last_periodic_probe_ = kNever;
  bool periodic_probes_ = false;
  std::map<TaskAttempt, UnobservedStart> unobserved_starts_;
};

}  // namespace marblevale
