#include "cancellations/cancellations.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "protocol/job_spec.hpp"

namespace marblevale {

Cancellations::Cancellations(const Clock& clock, WatchCache& cache)
    : clock_(clock), cache_(cache), started_at_(clock.wall()) {
  cache_.listen([this](RecordKind kind, const std::string& key) {
    if (kind != RecordKind::job) return;
    const JobId job_id(key);
    const JobRecord* job = cache_.records().job(job_id);
    if (job != nullptr && job->cancelled) {
      recorded_.insert(job_id);
    } else {
      recorded_.erase(job_id);
      locally_confirmed_.erase(job_id);
    }
  });
}

void Cancellations::prune_unrecorded() {
  // If the current copy of the records was requested after a cancellation was added, the copy
  // contains the cancellation or the job has ended.
  const SteadyTime fresh_until = cache_.fresh_until();
  std::erase_if(unrecorded_,
                [&](const auto& entry) { return entry.second.added_at < fresh_until; });
  if (capacity_exceeded_at_ && *capacity_exceeded_at_ < fresh_until) capacity_exceeded_at_.reset();
}

bool Cancellations::add_unrecorded(const JobId& job_id, WallTime cancelled_at) {
  if (recorded_.contains(job_id) || unrecorded_.contains(job_id)) return false;
  if (unrecorded_.size() >= kMaxUnrecorded) prune_unrecorded();
  if (unrecorded_.size() >= kMaxUnrecorded) {
    if (!capacity_exceeded_at_) {
      spdlog::warn("cancellations: capacity_exceeded max_unrecorded={}", kMaxUnrecorded);
    }
    capacity_exceeded_at_ = clock_.steady();
    return false;
  }
  unrecorded_.emplace(job_id, Unrecorded{cancelled_at, clock_.steady()});
  return true;
}

void Cancellations::add_confirmed(const JobId& job_id, WallTime cancelled_at) {
  bool is_new = add_unrecorded(job_id, cancelled_at);
  if (recorded_.contains(job_id)) is_new = locally_confirmed_.insert(job_id).second;
  if (is_new && confirmed_listener_) confirmed_listener_();
}

void Cancellations::merge_peer_list(const CancellationList& list) {
  const WallTime now = clock_.wall();
  for (const auto& item : list.items) {
    const JobId job_id(item.job_id);
    if (!valid_job_id(item.job_id)) continue;
    const WallTime cancelled_at = std::min(from_unix_milliseconds(item.cancelled_at_ms), now);
    const bool is_new = add_unrecorded(job_id, cancelled_at);
    if (is_new && peer_cancellation_listener_) peer_cancellation_listener_(job_id);
  }
}

std::optional<WallTime> Cancellations::cancelled_at(const JobId& job_id) const {
  const JobRecord* job = cache_.records().job(job_id);
  if (job != nullptr && job->cancelled) return job->cancelled;
  const auto it = unrecorded_.find(job_id);
  if (it == unrecorded_.end()) return std::nullopt;
  return it->second.cancelled_at;
}

bool Cancellations::is_complete() {
  prune_unrecorded();
  return !capacity_exceeded_at_;
}

CancellationList Cancellations::list() {
  CancellationList list;
  list.started_ms = unix_milliseconds(started_at_);
  list.fresh_until_ms = unix_milliseconds(cache_.fresh_until_wall());
  list.complete = is_complete() && cache_.ready();
  const auto add = [&list](const JobId& job_id, WallTime cancelled_at) {
    if (list.items.size() < kMaxListed) {
      list.items.push_back({job_id.get(), unix_milliseconds(cancelled_at)});
    } else {
      list.complete = false;
    }
  };
  // Unrecorded cancellations come first, because a peer can also read the others from the state
  // service.
  for (const auto& [job_id, unrecorded] : unrecorded_) add(job_id, unrecorded.cancelled_at);
  for (const JobId& job_id : recorded_) {
    if (!unrecorded_.contains(job_id)) add(job_id, *cache_.records().job(job_id)->cancelled);
  }
  return list;
}

std::optional<SteadyTime> CancellationFreshness::fresh_until(
    SteadyTime now, WallTime now_wall, WallTime records_fresh_until,
    const std::vector<std::optional<PeerCancellationList>>& peer_lists) {
  const Duration max_clock_difference = clock_error_ * 2;  // of two clocks, each off by the maximum
  all_known_until_ = std::max(all_known_until_, records_fresh_until);
  for (const auto& peer : peer_lists) {
    if (!peer || !peer->list.complete) continue;
    const WallTime peer_fresh_until = from_unix_milliseconds(peer->list.fresh_until_ms);
    all_known_until_ = std::max(all_known_until_, peer_fresh_until - max_clock_difference);
  }
  SteadyTime earliest_request = now;
  WallTime earliest_request_wall = now_wall;
  for (const auto& peer : peer_lists) {
    if (!peer || !peer->list.complete) return std::nullopt;
    // A peer that started after `all_known_until_` may not know which cancellations its previous
    // incarnation confirmed.
    const WallTime peer_started_at = from_unix_milliseconds(peer->list.started_ms);
    if (peer_started_at + max_clock_difference >= all_known_until_) return std::nullopt;
    earliest_request = std::min(earliest_request, peer->requested_at);
    earliest_request_wall = std::min(earliest_request_wall, peer->requested_at_wall);
  }
  all_known_until_ = std::max(all_known_until_, earliest_request_wall);
  return earliest_request;
}

}  // namespace marblevale
