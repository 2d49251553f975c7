#include "leader/open_releases.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <utility>

namespace marblevale {

namespace {

/// Time within which a holder must bind an offer. After it the leader commits the release itself.
constexpr Duration kOfferTimeout{3'500};
/// Backoff after the first refusal, because the state service may refuse this controller for a
/// while. It doubles with each further refusal.
constexpr Duration kFirstRefusalBackoff{400};
constexpr std::uint32_t kMaxBackoffDoublings = 3;
/// Maximum total size of the values of one transaction. The body is limited to 64 KiB including
/// keys and guards.
constexpr std::size_t kMaxTransactionBytes = std::size_t{48} * 1024;
/// Steps of wide changes that may be without an answer at the same time. Their encoded values, and
/// the requests that carry them, are held in memory.
constexpr std::size_t kMaxUnansweredSteps = 8;

const char* name_of(OpenReleases::State state) {
  switch (state) {
    case OpenReleases::State::waiting:
      return "waiting";
    case OpenReleases::State::offered:
      return "offered";
    case OpenReleases::State::sent:
      return "sent";
    case OpenReleases::State::unknown:
      return "unknown";
    case OpenReleases::State::answered:
      return "answered";
    case OpenReleases::State::refused:
      return "refused";
  }
  return "?";
}

const char* name_of(SliceChangeRequest::Kind kind) {
  return kind == SliceChangeRequest::Kind::release ? "release" : "stop";
}

ModRevision slice_revision(const Records& records, const SliceKey& key) {
  const auto* stored = records.slice(key.job_id, key.number);
  return stored == nullptr ? ModRevision{} : stored->mod_revision;
}

}  // namespace

const char* name_of(SettledBy evidence) {
  switch (evidence) {
    case SettledBy::slice_revision:
      return "slice_revision";
    case SettledBy::job_revision:
      return "job_revision";
    case SettledBy::answer:
      return "answer";
    case SettledBy::never_executed:
      return "never_executed";
  }
  return "?";
}

void OpenReleases::begin_term(ModRevision term) {
  if (term == term_) return;
  if (!open_.empty()) spdlog::info("releases: dropped_at_term_end open={}", open_.size());
  term_ = term;
  open_.clear();
  by_slice_.clear();
}

ReleaseId OpenReleases::insert(Release release, std::vector<SliceRecord> slices,
                               const Records& records) {
  const ReleaseId id = next_id();
  const std::string job_key = keys::job(slices.front().job_id);
  for (const Guard& guard : release.guards) {
    if (guard.key == job_key) release.job_guard = guard.mod_revision;
  }
  for (SliceRecord& slice : slices) {
    const SliceKey key{slice.job_id, slice.number};
    release.slices.push_back(key);
    by_slice_[key] = {id, id.get(), slice_revision(records, key), std::move(slice)};
  }
  open_.emplace(id, std::move(release));
  return id;
}

ReleaseId OpenReleases::add(SliceChangeRequest request, const Records& records) {
  Release release;
  release.kind = request.kind;
  release.guards = std::move(request.guards);
  return insert(std::move(release), std::move(request.slices), records);
}

ReleaseId OpenReleases::add_offer(SliceChangeRequest request, const Records& records,
                                  const NodeId& holder, SteadyTime now) {
  Release release;
  release.kind = request.kind;
  release.guards = std::move(request.guards);
  release.state = State::offered;
  release.holder = holder;
  release.offer_open = true;
  release.unknown_since = now;
  release.deadline = now + kOfferTimeout;
  return insert(std::move(release), std::move(request.slices), records);
}

const char* OpenReleases::trigger_name(Trigger trigger) {
  switch (trigger) {
    case Trigger::sent:
      return "sent";
    case Trigger::retried:
      return "retried";
    case Trigger::committed:
      return "committed";
    case Trigger::guard_failed:
      return "guard_failed";
    case Trigger::no_answer:
      return "no_answer";
    case Trigger::commit_refused:
      return "commit_refused";
    case Trigger::offer_declined:
      return "offer_declined";
  }
  return "?";
}

void OpenReleases::transition(ReleaseId id, Release& release, State next, Trigger trigger) {
  // A commit without an answer is logged at info level, but not its later retries, because a long
  // outage causes many. The thousands of releases that are answered at once are logged at debug
  // level.
  const bool notable = release.commit_open && release.retries <= 1;
  const auto level = notable ? spdlog::level::info : spdlog::level::debug;
  const SliceKey& first = release.slices.front();
  spdlog::log(level, "releases: state_changed id={} kind={} slice={}/{} from={} to={} trigger={}",
              id.get(), name_of(release.kind), first.job_id.get(), first.number,
              name_of(release.state), name_of(next), trigger_name(trigger));
  release.state = next;
}

std::vector<ReleaseId> OpenReleases::waiting() const {
  std::vector<ReleaseId> out;
  for (const auto& [id, release] : open_) {
    if (release.state == State::waiting) out.push_back(id);
  }
  return out;
}

std::size_t OpenReleases::unanswered_steps() const {
  // A step that was refused counts until it is settled, because it will be sent again.
  return static_cast<std::size_t>(std::count_if(open_.begin(), open_.end(), [](const auto& entry) {
    const Release& release = entry.second;
    return release.is_step && (release.state == State::sent || release.state == State::unknown);
  }));
}

void OpenReleases::add_slice(Transaction& txn, const SliceKey& key, std::string value) const {
  const std::string path = keys::slice(key.job_id, key.number);
  txn.guard(path, by_slice_.at(key).guard);
  txn.put(path, std::move(value));
}

ReleaseId OpenReleases::split_off(Release& release, std::size_t slices) {
  const auto end = release.slices.begin() + static_cast<std::ptrdiff_t>(slices);
  Release step;
  step.kind = release.kind;
  step.guards = release.guards;
  step.job_guard = release.job_guard;
  step.slices.assign(release.slices.begin(), end);
  step.is_step = true;
  release.slices.erase(release.slices.begin(), end);
  release.is_step = true;
  const ReleaseId id = next_id();
  for (const SliceKey& key : step.slices) by_slice_.at(key).release = id;
  open_.emplace(id, std::move(step));
  return id;
}

std::optional<OpenReleases::Step> OpenReleases::send_next_step(ReleaseId id, const RecordSize& size,
                                                               std::size_t max_operations) {
  Release& release = open_.at(id);
  if (release.is_step && unanswered_steps() >= kMaxUnansweredSteps) return std::nullopt;
  Transaction txn;
  txn.guards = release.guards;
  std::size_t bytes = 0;
  for (const SliceKey& key : release.slices) {
    if (txn.puts.size() >= max_operations) break;
    std::string value = encode(by_slice_.at(key).after, size);
    bytes += value.size();
    if (!txn.puts.empty() && bytes > kMaxTransactionBytes) break;
    add_slice(txn, key, std::move(value));
  }
  const bool is_last = txn.puts.size() == release.slices.size();
  const ReleaseId step_id = is_last ? id : split_off(release, txn.puts.size());
  transition(step_id, open_.at(step_id), State::sent, Trigger::sent);
  return Step{step_id, std::move(txn)};
}

Transaction OpenReleases::mark_sent(ReleaseId id, const RecordSize& size) {
  Release& release = open_.at(id);
  const bool retried = release.commit_open || release.offer_open;
  if (retried) ++release.retries;
  transition(id, release, State::sent, retried ? Trigger::retried : Trigger::sent);
  Transaction txn;
  txn.guards = release.guards;
  for (const SliceKey& key : release.slices) {
    add_slice(txn, key, encode(by_slice_.at(key).after, size));
  }
  return txn;
}

void OpenReleases::on_commit_answer(ReleaseId id, const CommitResult& result, SteadyTime now) {
  const auto it = open_.find(id);
  if (it == open_.end()) return;
  Release& release = it->second;
  switch (result.outcome) {
    case Outcome::done:
    case Outcome::conflict:
      release.answer_revision = result.revision;
      transition(id, release, State::answered,
                 result.outcome == Outcome::done ? Trigger::committed : Trigger::guard_failed);
      return;
    case Outcome::unknown:
      release.commit_open = true;
      if (!release.unknown_since) release.unknown_since = now;
      release.deadline = now;
      release.refusals = 0;
      transition(id, release, State::unknown, Trigger::no_answer);
      return;
    case Outcome::refused:
    case Outcome::lease_expired:
      refuse(id, release, Trigger::commit_refused, now);
      return;
  }
}

void OpenReleases::refuse(ReleaseId id, Release& release, Trigger trigger, SteadyTime now) {
  if (release.offer_open) {
    // The holder may still bind the offer, so the retry waits longer. While the write budget is
    // low, quick retries would only lengthen the queue of requests.
    release.deadline = now + kOfferTimeout;
  } else {
    const std::uint32_t doublings = std::min(release.refusals++, kMaxBackoffDoublings);
    release.deadline = now + scaled(kFirstRefusalBackoff, static_cast<double>(1U << doublings));
  }
  const bool open = release.offer_open || release.commit_open || release.is_step;
  transition(id, release, open ? State::unknown : State::refused, trigger);
}

void OpenReleases::on_offer_declined(ReleaseId id, SteadyTime now) {
  const auto it = open_.find(id);
  if (it == open_.end()) return;
  Release& release = it->second;
  release.offer_open = false;
  // A commit that followed the offer is settled by its own answer.
  if (release.state == State::sent || release.state == State::answered) return;
  refuse(id, release, Trigger::offer_declined, now);
}

std::optional<SettledBy> OpenReleases::settled_by(const Release& release, const WatchCache& cache,
                                                  SteadyTime now) const {
  const Records& records = cache.records();
  // A transaction is applied as a whole, so one guard that can no longer hold is enough.
  const bool slice_changed = std::any_of(
      release.slices.begin(), release.slices.end(),
      [&](const SliceKey& key) { return slice_revision(records, key) != by_slice_.at(key).guard; });
  if (slice_changed) return SettledBy::slice_revision;
  const JobId& job_id = release.slices.front().job_id;
  // The job's change must have been observed by the watch. Otherwise the cache may contain only
  // this controller's own change of the job, while the slice that an earlier release changed has
  // yet to be delivered.
  if (release.job_guard && cache.observed_by_watch(keys::job(job_id))) {
    const auto job = records.jobs.find(job_id);
    if (job == records.jobs.end() || job->second.mod_revision != *release.job_guard) {
      return SettledBy::job_revision;
    }
  }
  if (release.answer_revision && cache.revision() >= *release.answer_revision)
    return SettledBy::answer;
  if (release.state == State::refused && now >= release.deadline) return SettledBy::never_executed;
  return std::nullopt;
}

std::vector<SliceKey> OpenReleases::settle(const WatchCache& cache, SteadyTime now) {
  std::vector<SliceKey> settled;
  // During a reload the cache reads the records page by page and may show only part of a
  // transaction.
  if (cache.state() != WatchCache::State::following) return settled;
  for (auto it = open_.begin(); it != open_.end();) {
    const Release& release = it->second;
    const auto evidence = settled_by(release, cache, now);
    if (!evidence) {
      ++it;
      continue;
    }
    log_settled(it->first, release, *evidence);
    for (const SliceKey& key : release.slices) {
      settled.push_back(key);
      by_slice_.erase(key);
    }
    it = open_.erase(it);
  }
  return settled;
}

void OpenReleases::log_settled(ReleaseId id, const Release& release, SettledBy evidence) {
  const auto level = release.commit_open ? spdlog::level::info : spdlog::level::debug;
  const SliceKey& first = release.slices.front();
  spdlog::log(level, "releases: settled id={} kind={} slice={}/{} by={} retries={}", id.get(),
              name_of(release.kind), first.job_id.get(), first.number, name_of(evidence),
              release.retries);
}

std::vector<ReleaseId> OpenReleases::retry_due(SteadyTime now) const {
  std::vector<ReleaseId> out;
  for (const auto& [id, release] : open_) {
    const bool waits = release.state == State::offered || release.state == State::unknown;
    if (waits && now >= release.deadline) out.push_back(id);
  }
  return out;
}

const SliceRecord* OpenReleases::slice(const SliceKey& key) const {
  const auto open = by_slice_.find(key);
  return open == by_slice_.end() ? nullptr : &open->second.after;
}

PendingSlices OpenReleases::slices() const {
  PendingSlices out;
  for (const auto& [key, open] : by_slice_) {
    out.emplace_hint(out.end(), key, PendingSlice{&open.after, open.change});
  }
  return out;
}

std::optional<OpenReleases::State> OpenReleases::state(const SliceKey& key) const {
  const auto open = by_slice_.find(key);
  if (open == by_slice_.end()) return std::nullopt;
  return open_.at(open->second.release).state;
}

OpenReleaseCounts OpenReleases::counts() const {
  OpenReleaseCounts counts{open_.size(), by_slice_.size(), 0, unanswered_steps()};
  for (const auto& [key, open] : by_slice_) counts.tasks += open.after.tasks.size();
  return counts;
}

std::vector<SliceKey> OpenReleases::unsettled_for(Duration min_time, SteadyTime now) const {
  std::vector<SliceKey> out;
  for (const auto& [id, release] : open_) {
    if (!release.unknown_since || now - *release.unknown_since < min_time) continue;
    out.insert(out.end(), release.slices.begin(), release.slices.end());
  }
  return out;
}

std::size_t OpenReleases::open_offers() const {
  return static_cast<std::size_t>(std::count_if(open_.begin(), open_.end(), [](const auto& entry) {
    const Release& release = entry.second;
    return release.state == State::offered ||
           (release.state == State::unknown && release.offer_open);
  }));
}

std::size_t OpenReleases::open_offers_to(const NodeId& holder) const {
  return static_cast<std::size_t>(std::count_if(open_.begin(), open_.end(), [&](const auto& entry) {
    return entry.second.state == State::offered && entry.second.holder == holder;
  }));
}

}  // namespace marblevale
