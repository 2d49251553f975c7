// Whether commands reach a worker. Its reports alone don't tell: answers and orders may be lost on
// their way.
#pragma once

#include <map>

#include "shards/task_presence.hpp"

namespace marblevale {

/// Owns the state of the way to one worker, and the evidence for it: the starts that were sent and
/// don't show, the reports that were answered, the probes (orders without commands) that were sent.
class WorkerReachability {
 public:
  enum class State {
    unconfirmed,          // nothing is known of the way to it
    reachable,            // it has shown that it received something under a token of this holding
    commands_unreachable  // it reports, but nothing that is sent to it arrives
  };

  explicit WorkerReachability(MachineId machine_id) : machine_id_(std::move(machine_id)) {}

  /// A heartbeat bore a token of this holding, so the worker has heard of us. That is no evidence
  /// against `commands_unreachable`.
  void heartbeat_received(FencingToken token);
  /// An order was answered: whatever was thought of it before, it is reachable.
  void command_answered(FencingToken token);
  /// A heartbeat that it sent under this holding was answered at this moment.
  void heartbeat_answered(SteadyTime now, Duration lease);
  /// A start was sent: by itself, or in the answer to a heartbeat.
  void start_sent(const TaskAttempt& start, SteadyTime now, bool in_answer);
  /// It is in a new epoch: what was sent to the old one is void. True when the old one lapsed
  /// though its reports were answered: then nothing that is sent to it arrives.
  bool epoch_changed(SteadyTime now, Duration lease);
  /// Forgets the starts for which `settled` holds.
  template <typename Settled>
  void forget_starts(Settled settled) {
    std::erase_if(missing_starts_, [&](const auto& entry) { return settled(entry.first); });
  }
  /// True when a start that was sent again and again does not show, though it reports.
  [[nodiscard]] bool misses_starts(const WorkerView& view, SteadyTime now,
                                   Duration heartbeat_interval) const;
  void mark_commands_unreachable(const char* reason);
  /// Time in which this process stood still: no start could show.
  void discount_pause(SteadyTime now, Duration pause);

  [[nodiscard]] State state() const { return state_; }
  [[nodiscard]] bool commands_unreachable() const { return state_ == State::commands_unreachable; }
  [[nodiscard]] bool reachable() const { return state_ == State::reachable; }
  /// Known to have received something under this fencing token.
  [[nodiscard]] bool reachable_under(FencingToken token) const { return confirmed_token_ == token; }

  /// Whether it is time for an order without commands, which asks for a heartbeat.
  [[nodiscard]] bool probe_due(SteadyTime now) const;
  void probe_sent(SteadyTime now) { last_probe_ = last_regular_probe_ = now; }
  /// Whether to probe it at intervals for its epoch and tasks, since it does not heartbeat them.
  void probe_regularly(bool wanted) { regular_probes_ = wanted; }
  /// A probe that is needed need not wait for its interval.
  void probe_at_once() { last_probe_ = kNever; }

 private:
  struct MissingStart {
    SteadyTime since;
    int answers = 0;  // to reports, each of which bore it
  };

  static constexpr SteadyTime kNever = kLongAgo;

  /// The one place where the state changes. `token`: under which it was reachable, or none.
  void transition(State next, FencingToken token, const char* reason);

  MachineId machine_id_;
  State state_ = State::unconfirmed;
  FencingToken confirmed_token_;  // of the last sign of reachability; 0 unless reachable
  SteadyTime last_answer_ = kNever;
  SteadyTime answered_since_ = kNever;  // without a gap
  SteadyTime last_probe_ = kNever;
  SteadyTime last_regular_probe_ = kNever;
  bool regular_probes_ = false;
  std::map<TaskAttempt, MissingStart> missing_starts_;
};

}  // namespace marblevale
