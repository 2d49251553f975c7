// Whether a worker hears what is said to it. Its reports alone don't tell: answers and orders may
// be lost on their way. Pure.
#pragma once

#include <map>

#include "blocks/proof.hpp"

namespace marblevale {

class WorkerReachability {
 public:
  /// It has shown that it heard us, by the fencing token it bears or by an answer to an order.
  void heard(FencingToken token);
  /// An order was answered: whatever was thought of it before, it hears.
  void confirmed(FencingToken token);
  /// A report that it sent under this holding was answered at this moment.
  void answered(SteadyTime now, Duration lease);
  /// A start was sent: by itself, or in the answer to a report.
  void start_sent(const TaskId& id, Attempt attempt, SteadyTime now, bool in_answer);
  /// It is in a new session: what was sent to the old one is void. True when the old one lapsed
  /// though its reports were answered: then nothing that is said to it arrives.
  bool session_changed(SteadyTime now, Duration lease);
  /// Forgets the starts for which `settled` holds.
  template <typename Settled>
  void forget(Settled settled) {
    std::erase_if(unseen_, [&](const auto& entry) { return settled(entry.first); });
  }
  /// True when a start that was sent again and again does not show, though it reports.
  [[nodiscard]] bool misses_starts(const WorkerView& view, SteadyTime now, Duration report) const;
  void mark_commands_unreachable();
  /// Time in which this process stood still: no start could show.
  void discount(SteadyTime now, Duration pause);

  [[nodiscard]] bool commands_unreachable() const { return commands_unreachable_; }
  [[nodiscard]] bool introduced() const { return introduced_ != FencingToken{}; }
  /// Known to have heard of us under this fencing token.
  [[nodiscard]] bool introduced_under(FencingToken token) const { return introduced_ == token; }
  /// Whether it is time for an order without commands: to introduce ourselves, or to inspect it.
  [[nodiscard]] bool introduction_due(SteadyTime now) const;
  void introducing(SteadyTime now) { last_introduction_ = last_inspection_ = now; }
  /// Whether to ask it now and then for its session and tasks, since it does not report them.
  void inspect(bool wanted) { inspect_ = wanted; }
  void introduce_again() { last_introduction_ = SteadyTime{-1'000'000}; }

 private:
  struct Unseen {
    SteadyTime since;
    int answers = 0;  // to reports, each of which bore it
  };

  FencingToken introduced_;                // 0: not known
  bool commands_unreachable_ = false;      // it reports, but nothing that is said to it arrives
  SteadyTime answered_{-1'000'000};        // last
  SteadyTime answered_since_{-1'000'000};  // without a gap
  SteadyTime last_introduction_{-1'000'000};
  SteadyTime last_inspection_{-1'000'000};
  bool inspect_ = false;
  std::map<std::pair<TaskId, Attempt>, Unseen> unseen_;  // starts that were sent and don't show
};

}  // namespace marblevale
