#include "blocks/reachability.hpp"

#include <algorithm>

namespace marblevale {

namespace {
constexpr Duration kIntroduceEvery{2'000};
constexpr Duration kInspectEvery{5'000};
constexpr double kUnheardReports = 2.5;  // reports after which a start must show
constexpr int kUnheardAnswers = 2;       // that bore it
}  // namespace

void WorkerReachability::heard(FencingToken token) {
  if (!commands_unreachable_) introduced_ = token;
}

void WorkerReachability::confirmed(FencingToken token) {
  introduced_ = token;
  commands_unreachable_ = false;
}

void WorkerReachability::start_sent(const TaskId& id, Attempt attempt, SteadyTime now,
                                    bool in_answer) {
  Unseen& unseen = unseen_.try_emplace({id, attempt}, Unseen{now}).first->second;
  if (in_answer) ++unseen.answers;
}

void WorkerReachability::answered(SteadyTime now, Duration lease) {
  if (now - answered_ >= lease * 0.5) answered_since_ = now;
  answered_ = now;
}

bool WorkerReachability::session_changed(SteadyTime now, Duration lease) {
  unseen_.clear();
  // One report that was held up while the lease lapsed for other reasons, and is answered now, does
  // not show that the machine had the answer.
  return now - answered_ < lease && now - answered_since_ >= lease * 0.5;
}

bool WorkerReachability::misses_starts(const WorkerView& view, SteadyTime now,
                                       Duration report) const {
  return std::any_of(unseen_.begin(), unseen_.end(), [&](const auto& entry) {
    // A machine that hung has not reported meanwhile: only answers that it should have had count.
    return now - entry.second.since > report * kUnheardReports &&
           entry.second.answers >= kUnheardAnswers && !view.tasks.contains(entry.first);
  });
}

void WorkerReachability::mark_commands_unreachable() {
  commands_unreachable_ = true;
  introduced_ = FencingToken{};
}

void WorkerReachability::discount(SteadyTime now, Duration pause) {
  for (auto& [key, unseen] : unseen_) unseen.since = std::min(now, unseen.since + pause);
}

bool WorkerReachability::introduction_due(SteadyTime now) const {
  if (inspect_ && now - last_inspection_ >= kInspectEvery) return true;
  return !introduced() && now - last_introduction_ >= kIntroduceEvery;
}

}  // namespace marblevale
