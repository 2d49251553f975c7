#include "cancellations/cancellations.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "protocol/job_spec.hpp"

namespace marblevale {

Cancellations::Cancellations(const Clock& clock, WatchCache& cache)
    : clock_(clock), cache_(cache), began_(clock.wall()) {
  cache_.listen([this](RecordKind topic, const std::string& key) {
    if (topic != RecordKind::job) return;
    const JobId job_id(key);
    const JobRecord* job = cache_.records().job(job_id);
    if (job != nullptr && job->cancelled) {
      recorded_.insert(job_id);
    } else {
      recorded_.erase(job_id);
      announced_.erase(job_id);
    }
  });
}

void Cancellations::prune() {
  // What came before the present copy of the records was asked for is in them, or over.
  const SteadyTime fresh = cache_.fresh_until();
  std::erase_if(beyond_, [&](const auto& entry) { return entry.second.since < fresh; });
  if (overflowed_ && *overflowed_ < fresh) overflowed_.reset();
}

bool Cancellations::keep(const JobId& job_id, WallTime at) {
  if (recorded_.contains(job_id) || beyond_.contains(job_id)) return false;
  if (beyond_.size() >= kMaxKept) prune();
  if (beyond_.size() >= kMaxKept) {
    if (!overflowed_) spdlog::warn("cancellations: more than {} to keep", kMaxKept);
    overflowed_ = clock_.steady();
    return false;
  }
  beyond_.emplace(job_id, Kept{at, clock_.steady()});
  return true;
}

void Cancellations::tell(const JobId& job_id, WallTime at) {
  bool news = keep(job_id, at);
  if (recorded_.contains(job_id)) news = announced_.insert(job_id).second;
  if (news && confirmed_listener_) confirmed_listener_();
}

void Cancellations::hear(const CancellationList& list) {
  const WallTime now = clock_.wall();
  for (const auto& item : list.items) {
    const JobId job_id(item.job_id);
    if (!valid_job_id(item.job_id)) continue;
    if (keep(job_id, std::min(from_unix_milliseconds(item.at_ms), now)) &&
        peer_cancellation_listener_)
      peer_cancellation_listener_(job_id);
  }
}

std::optional<WallTime> Cancellations::cancelled_at(const JobId& job_id) const {
  const JobRecord* job = cache_.records().job(job_id);
  if (job != nullptr && job->cancelled) return job->cancelled;
  const auto it = beyond_.find(job_id);
  if (it == beyond_.end()) return std::nullopt;
  return it->second.at;
}

bool Cancellations::kept_all() {
  prune();
  return !overflowed_;
}

CancellationList Cancellations::list() {
  CancellationList out;
  out.began_ms = unix_milliseconds(began_);
  out.fresh_ms = unix_milliseconds(cache_.fresh_until_wall());
  out.complete = kept_all() && cache_.ready();
  const auto add = [&out](const JobId& job_id, WallTime at) {
    if (out.items.size() < kMaxListed) {
      out.items.push_back({job_id.get(), unix_milliseconds(at)});
    } else {
      out.complete = false;
    }
  };
  // What the records lack comes first: the others can be had from the state service as well.
  for (const auto& [job_id, kept] : beyond_) add(job_id, kept.at);
  for (const JobId& job_id : recorded_) {
    if (!beyond_.contains(job_id)) add(job_id, *cache_.records().job(job_id)->cancelled);
  }
  return out;
}

std::optional<SteadyTime> Vouching::until(
    SteadyTime now, WallTime now_wall, WallTime watched,
    const std::vector<std::optional<PeerCancellationList>>& words) {
  const Duration apart = clock_error_ * 2;  // two clocks, each off by the bound
  known_ = std::max(known_, watched);
  for (const auto& word : words) {
    if (word && word->list.complete)
      known_ = std::max(known_, from_unix_milliseconds(word->list.fresh_ms) - apart);
  }
  SteadyTime since = now;
  WallTime since_wall = now_wall;
  for (const auto& word : words) {
    // A life that began since can't tell what the one before it has confirmed.
    if (!word || !word->list.complete ||
        from_unix_milliseconds(word->list.began_ms) + apart >= known_) {
      return std::nullopt;
    }
    since = std::min(since, word->asked);
    since_wall = std::min(since_wall, word->asked_wall);
  }
  known_ = std::max(known_, since_wall);
  return since;
}

}  // namespace marblevale
