#include "blocks/hearing.hpp"

#include <algorithm>

namespace marblevale {

namespace {
constexpr Span kIntroduceEvery{2'000};
constexpr Span kInspectEvery{5'000};
constexpr double kUnheardReports = 2.5;  // reports after which a start must show
constexpr int kUnheardAnswers = 2;       // that bore it
}  // namespace

void Hearing::heard(Warrant warrant) {
  if (!deaf_) introduced_ = warrant;
}

void Hearing::confirmed(Warrant warrant) {
  introduced_ = warrant;
  deaf_ = false;
}

void Hearing::start_sent(const TaskId& id, Attempt attempt, Steady now, bool in_answer) {
  Unseen& unseen = unseen_.try_emplace({id, attempt}, Unseen{now}).first->second;
  if (in_answer) ++unseen.answers;
}

void Hearing::answered(Steady now, Span lease) {
  if (now - answered_ >= lease * 0.5) answered_since_ = now;
  answered_ = now;
}

bool Hearing::session_changed(Steady now, Span lease) {
  unseen_.clear();
  // One report that was held up while the lease lapsed for other reasons, and is answered now, does
  // not show that the machine had the answer.
  return now - answered_ < lease && now - answered_since_ >= lease * 0.5;
}

bool Hearing::misses_starts(const WorkerView& view, Steady now, Span report) const {
  return std::any_of(unseen_.begin(), unseen_.end(), [&](const auto& entry) {
    // A machine that hung has not reported meanwhile: only answers that it should have had count.
    return now - entry.second.since > report * kUnheardReports &&
           entry.second.answers >= kUnheardAnswers && !view.tasks.contains(entry.first);
  });
}

void Hearing::mark_deaf() {
  deaf_ = true;
  introduced_ = Warrant{};
}

void Hearing::discount(Steady now, Span pause) {
  for (auto& [key, unseen] : unseen_) unseen.since = std::min(now, unseen.since + pause);
}

bool Hearing::introduction_due(Steady now) const {
  if (inspect_ && now - last_inspection_ >= kInspectEvery) return true;
  return !introduced() && now - last_introduction_ >= kIntroduceEvery;
}

}  // namespace marblevale
