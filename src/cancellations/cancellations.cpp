#include "cancellations/cancellations.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "wire/job_spec.hpp"

namespace marblevale {

Cancellations::Cancellations(const Clock& clock, Mirror& mirror)
    : clock_(clock), mirror_(mirror), began_(clock.wall()) {
  mirror_.listen([this](Topic topic, const std::string& key) {
    if (topic != Topic::job) return;
    const Uid uid(key);
    const JobRecord* job = mirror_.records().job(uid);
    if (job != nullptr && job->cancelled) {
      recorded_.insert(uid);
    } else {
      recorded_.erase(uid);
      announced_.erase(uid);
    }
  });
}

void Cancellations::prune() {
  // What came before the present copy of the records was asked for is in them, or over.
  const Steady fresh = mirror_.fresh_until();
  std::erase_if(beyond_, [&](const auto& entry) { return entry.second.since < fresh; });
  if (overflowed_ && *overflowed_ < fresh) overflowed_.reset();
}

bool Cancellations::keep(const Uid& uid, Wall at) {
  if (recorded_.contains(uid) || beyond_.contains(uid)) return false;
  if (beyond_.size() >= kMostKept) prune();
  if (beyond_.size() >= kMostKept) {
    if (!overflowed_) spdlog::warn("cancellations: more than {} to keep", kMostKept);
    overflowed_ = clock_.steady();
    return false;
  }
  beyond_.emplace(uid, Kept{at, clock_.steady()});
  return true;
}

void Cancellations::tell(const Uid& uid, Wall at) {
  bool news = keep(uid, at);
  if (recorded_.contains(uid)) news = announced_.insert(uid).second;
  if (news && told_) told_();
}

void Cancellations::hear(const CancellationList& list) {
  const Wall now = clock_.wall();
  for (const auto& item : list.items) {
    const Uid uid(item.uid);
    if (!valid_uid(item.uid)) continue;
    if (keep(uid, std::min(Wall{item.at_ms}, now)) && heard_) heard_(uid);
  }
}

std::optional<Wall> Cancellations::cancelled_at(const Uid& uid) const {
  const JobRecord* job = mirror_.records().job(uid);
  if (job != nullptr && job->cancelled) return job->cancelled;
  const auto it = beyond_.find(uid);
  if (it == beyond_.end()) return std::nullopt;
  return it->second.at;
}

bool Cancellations::kept_all() {
  prune();
  return !overflowed_;
}

CancellationList Cancellations::list() {
  CancellationList out;
  out.began_ms = began_.ms;
  out.fresh_ms = mirror_.fresh_until_wall().ms;
  out.complete = kept_all() && mirror_.ready();
  const auto add = [&out](const Uid& uid, Wall at) {
    if (out.items.size() < kMostListed) {
      out.items.push_back({uid.get(), at.ms});
    } else {
      out.complete = false;
    }
  };
  // What the records lack comes first: the others can be had from the state service as well.
  for (const auto& [uid, kept] : beyond_) add(uid, kept.at);
  for (const Uid& uid : recorded_) {
    if (!beyond_.contains(uid)) add(uid, *mirror_.records().job(uid)->cancelled);
  }
  return out;
}

std::optional<Steady> Vouching::until(Steady now, Wall now_wall, Wall watched,
                                      const std::vector<std::optional<CancellationWord>>& words) {
  const Span apart = clock_error_ * 2.0;  // two clocks, each off by the bound
  known_ = std::max(known_, watched);
  for (const auto& word : words) {
    if (word && word->list.complete) known_ = std::max(known_, Wall{word->list.fresh_ms} - apart);
  }
  Steady since = now;
  Wall since_wall = now_wall;
  for (const auto& word : words) {
    // A life that began since can't tell what the one before it has confirmed.
    if (!word || !word->list.complete || Wall{word->list.began_ms} + apart >= known_) {
      return std::nullopt;
    }
    since = std::min(since, word->asked);
    since_wall = std::min(since_wall, word->asked_wall);
  }
  known_ = std::max(known_, since_wall);
  return since;
}

}  // namespace marblevale
