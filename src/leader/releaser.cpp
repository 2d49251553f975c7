#include "leader/releaser.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <utility>

namespace marblevale {

namespace {

/// The write budget is low when its unused share is at most this value.
constexpr double kShortWriteSlack = 0.3;
/// A start of an array is small when it has fewer tasks than this.
constexpr std::size_t kSmallStartTasks = 8;
/// Minimum time between two small releases of the same array while the write budget is low.
constexpr Duration kSmallStartInterval{3'000};
/// Maximum number of offers that wait for one holder's binding. A holder with a low write budget
/// would let more offers time out, and each time-out costs a second write: the leader's own
/// release.
constexpr std::size_t kMaxOffersToHolder = 10;
/// The write budget counts as low from this total number of offers that wait for a binding.
constexpr std::size_t kManyOpenOffers = 12;
constexpr Duration kQuotaLogInterval{10'000};

}  // namespace

Releaser::Releaser(Metrics& metrics, const Clock& clock, const Settings& settings,
                   WatchCache& cache, Election& election, ReleaserEvents events)
    : metrics_(metrics),
      clock_(clock),
      settings_(settings),
      cache_(cache),
      election_(election),
      events_(std::move(events)) {}

void Releaser::begin_term() {
  open_.begin_term(election_.term());
  usage_.reset();
}

const SliceRecord* Releaser::current_slice(const JobId& job_id, std::uint32_t number) const {
  if (const SliceRecord* open = open_.slice({job_id, number})) return open;
  const auto* stored = cache_.records().slice(job_id, number);
  return stored == nullptr ? nullptr : &stored->record;
}

const TeamQuotaUsage& Releaser::usage() {
  usage_.sync(cache_.records(), open_);
  return usage_;
}

void Releaser::settle_and_retry_due() {
  const SteadyTime now = clock_.steady();
  for (const SliceKey& key : open_.settle(cache_, now)) usage_.mark_dirty(key);
  for (const ReleaseId id : open_.retry_due(now)) {
    const bool offer_timed_out = open_.state(id) == OpenReleases::State::offered;
    metrics_.count(offer_timed_out ? "offers without an answer" : "releases sent again");
    send(id, open_.mark_sent(id, cache_.record_size()));
  }
  send_waiting();
}

void Releaser::retain_only(const std::unordered_set<JobId>& queued_jobs) {
  std::erase_if(last_release_,
                [&](const auto& entry) { return !queued_jobs.contains(entry.first); });
}

bool Releaser::short_of_writes() const {
  return cache_.write_slack() <= kShortWriteSlack || open_.open_offers() >= kManyOpenOffers;
}

void Releaser::mark_slices_dirty(const SliceChangeRequest& request) {
  for (const SliceRecord& slice : request.slices) usage_.mark_dirty({slice.job_id, slice.number});
}

void Releaser::send(ReleaseId id, Transaction txn) {
  cache_.commit(binding_priority(cache_.records(), open_.job_id_of(id)), std::move(txn),
                [this, id](const CommitResult& result) {
                  open_.on_commit_answer(id, result, clock_.steady());
                  events_.change_answered();
                });
}

void Releaser::send_waiting() {
  for (const ReleaseId id : open_.waiting()) send_steps(id);
}

void Releaser::send_steps(ReleaseId id) {
  while (auto step = open_.send_next_step(id, cache_.record_size(), cache_.max_operations())) {
    const bool is_last = step->id == id;
    send(step->id, std::move(step->txn));
    if (is_last) return;
  }
}

void Releaser::commit(SliceChangeRequest request) {
  mark_slices_dirty(request);
  send_steps(open_.add(std::move(request), cache_.records()));
}

bool Releaser::stop_tasks(const SliceKey& key, const std::set<std::size_t>& indices,
                          const StopOrder& order) {
  if (open_.contains(key)) return false;
  const auto* stored = cache_.records().slice(key.job_id, key.number);
  if (stored == nullptr) return false;
  SliceRecord slice = stored->record;
  bool changed = false;
  for (const std::size_t index : indices) {
    if (index >= slice.tasks.size()) break;
    TaskRecord& task = slice.tasks[index];
    if (!task.placed() || task.stop) continue;
    task.stop = order;
    changed = true;
  }
  if (!changed) return false;
  Transaction guards;
  election_.guard(guards);
  commit({SliceChangeRequest::Kind::stop, std::move(guards.guards), {std::move(slice)}});
  return true;
}

void Releaser::release_all(const std::vector<JobStart>& starts, const Planner& planner) {
  // The starts are in priority order. Starts that a holder can't bind yet are left to a later
  // round, in which small pieces of an array may have grown.
  for (const JobStart& start : starts) {
    if (!worth_releasing(start)) continue;
    const JobRecord* job = cache_.records().job(start.job_id);
    if (job->spec.gang()) {
      release_unless_holder_is_busy(start, planner);
      continue;
    }
    const JobStart selected = short_of_writes() ? restrict_to_largest_zone(start, planner) : start;
    for (const JobStart& piece : split_by_slice(selected)) {
      release_unless_holder_is_busy(piece, planner);
    }
  }
}

void Releaser::release_unless_holder_is_busy(const JobStart& start, const Planner& planner) {
  const auto holder = common_holder(start, planner);
  if (holder && open_.open_offers_to(*holder) >= kMaxOffersToHolder) return;
  release(start, planner, holder);
}

bool Releaser::worth_releasing(const JobStart& start) {
  // Each release of part of an array costs the same number of writes, however small it is. While
  // the write budget is low, small parts wait for more tasks. They keep their capacity until the
  // next round.
  const JobRecord* job = cache_.records().job(start.job_id);
  if (job == nullptr) return false;
  const JobSpec& spec = job->spec;
  if (spec.shape != JobShape::array || !short_of_writes()) return true;
  const SteadyTime now = clock_.steady();
  const auto last_release = last_release_.try_emplace(start.job_id, kLongAgo).first;
  const bool small =
      start.task_indices.size() < std::min<std::size_t>(kSmallStartTasks, spec.task_count);
  if (small && now - last_release->second < kSmallStartInterval) return false;
  last_release->second = now;
  return true;
}

JobStart Releaser::restrict_to_largest_zone(const JobStart& start, const Planner& planner) const {
  // One holder can bind the part in one zone. The remaining tasks are released in a later round.
  const JobRecord* job = cache_.records().job(start.job_id);
  if (job == nullptr || job->spec.shape != JobShape::array) return start;
  const auto& machines = planner.profile().machines();
  std::map<ZoneId, std::size_t> counts;
  for (const Placement& placement : start.plan.placements) {
    ++counts[machines[placement.machine].zone];
  }
  const auto largest_zone =
      std::max_element(counts.begin(), counts.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  JobStart selected{start.job_id, {}, {}};
  for (std::size_t i = 0; i < start.task_indices.size(); ++i) {
    if (machines[start.plan.placements[i].machine].zone != largest_zone->first) continue;
    selected.plan.placements.push_back(start.plan.placements[i]);
    selected.task_indices.push_back(start.task_indices[i]);
  }
  return selected;
}

std::vector<JobStart> Releaser::split_by_slice(const JobStart& start) {
  // The tasks of an array start independently, so each slice is released separately. Each slice can
  // then be offered to its holder, and a slice that waits for its last commit does not delay the
  // others.
  std::map<std::uint32_t, JobStart> pieces;
  for (std::size_t i = 0; i < start.task_indices.size(); ++i) {
    JobStart& piece =
        pieces.try_emplace(start.task_indices[i] / kSliceTasks, JobStart{start.job_id, {}, {}})
            .first->second;
    piece.plan.placements.push_back(start.plan.placements[i]);
    piece.task_indices.push_back(start.task_indices[i]);
  }
  std::vector<JobStart> out;
  out.reserve(pieces.size());
  for (auto& [number, piece] : pieces) out.push_back(std::move(piece));
  return out;
}

Attempt Releaser::highest_attempt(const JobSpec& job) const {
  Attempt highest{};
  for (std::uint32_t n = 0; n < slice_count(job); ++n) {
    const SliceRecord* slice = current_slice(job.job_id, n);
    if (slice == nullptr) continue;
    for (const TaskRecord& task : slice->tasks) highest = std::max(highest, task.attempt);
  }
  return highest;
}

SliceRecord Releaser::copy_or_create_slice(const JobSpec& job, std::uint32_t number) const {
  if (const auto* stored = cache_.records().slice(job.job_id, number)) return stored->record;
  SliceRecord slice;
  slice.job_id = job.job_id;
  slice.number = number;
  slice.tasks.resize(slice_size(job, number));
  return slice;
}

std::vector<SliceRecord> Releaser::make_released_slices(const JobSpec& job, const JobStart& start,
                                                        const Planner& planner) const {
  // The tasks of a gang find each other by their attempt number, so all of them get the same one.
  const Attempt gang_attempt = job.gang() ? highest_attempt(job) : Attempt{};
  const WallTime now = clock_.wall();
  std::map<std::uint32_t, SliceRecord> slices;
  for (std::size_t i = 0; i < start.task_indices.size(); ++i) {
    const std::uint32_t number = start.task_indices[i] / kSliceTasks;
    auto slice = slices.find(number);
    if (slice == slices.end()) {
      slice = slices.emplace(number, copy_or_create_slice(job, number)).first;
    }
    TaskRecord& task = slice->second.tasks.at(start.task_indices[i] % kSliceTasks);
    const PlanMachine& machine = planner.profile().machines()[start.plan.placements[i].machine];
    task.state = TaskState::released;
    task.attempt = Attempt((job.gang() ? gang_attempt : task.attempt).get() + 1);
    task.zone = machine.zone;
    task.machine_id = machine.machine_id;
    task.since = now;
    task.running_since = WallTime{};
  }
  std::vector<SliceRecord> out;
  out.reserve(slices.size());
  for (auto& [number, slice] : slices) out.push_back(std::move(slice));
  return out;
}

SliceChangeRequest Releaser::make_request(const JobSpec& job, ModRevision job_revision,
                                          const JobStart& start, const Planner& planner) const {
  Transaction guards;
  election_.guard(guards);
  guards.guard(keys::job(job.job_id), job_revision);
  return {SliceChangeRequest::Kind::release, std::move(guards.guards),
          make_released_slices(job, start, planner)};
}

bool Releaser::within_team_quota(const JobSpec& job, std::size_t tasks) {
  const Team* team = settings_.team(job.team);
  if (team == nullptr) return true;
  const Resources wanted = job.need * static_cast<double>(tasks);
  const bool usage_known = !usage().incomplete();
  const Resources used = usage_.used_by(job.team);
  if (usage_known && fits(used + wanted, team->limit())) return true;
  report_quota_exceeded(job, used, usage_known);
  return false;
}

void Releaser::report_quota_exceeded(const JobSpec& job, const Resources& used, bool usage_known) {
  metrics_.count("releases over a team's limit");
  const SteadyTime now = clock_.steady();
  if (now - last_quota_log_ >= kQuotaLogInterval) {
    last_quota_log_ = now;
    spdlog::error(
        "releases: quota_exceeded job={} team={} gpus_in_use={} cpus_in_use={} usage_known={}",
        job.job_id.get(), job.team.get(), used.gpus, used.cpus, usage_known);
  }
  events_.quota_exceeded();
}

void Releaser::release(const JobStart& start, const Planner& planner,
                       const std::optional<NodeId>& holder) {
  const auto& records = cache_.records();
  const auto job = records.jobs.find(start.job_id);
  if (job == records.jobs.end()) return;
  const JobSpec& spec = job->second.record.spec;
  for (const std::uint32_t index : start.task_indices) {
    if (open_.contains({start.job_id, index / kSliceTasks})) return;
  }
  if (!within_team_quota(spec, start.task_indices.size())) return;
  SliceChangeRequest request = make_request(spec, job->second.mod_revision, start, planner);
  spdlog::debug("releases: release job={} tasks={} job_tasks={} first_machine={}",
                start.job_id.get(), start.task_indices.size(), spec.task_count,
                planner.profile().machines()[start.plan.placements[0].machine].machine_id.get());
  if (holder && request.slices.size() == 1) {
    offer(*holder, std::move(request), start);
    return;
  }
  commit(std::move(request));
}

std::optional<NodeId> Releaser::common_holder(const JobStart& start, const Planner& planner) const {
  if (channel_ == nullptr) return std::nullopt;
  const auto& records = cache_.records();
  std::optional<NodeId> holder;
  for (const Placement& placement : start.plan.placements) {
    const auto shard = records.shards.find(planner.profile().machines()[placement.machine].zone);
    if (shard == records.shards.end()) return std::nullopt;
    const ShardRecord& shard_record = shard->second.record;
    if (!records.alive(shard_record.holder, shard_record.incarnation) ||
        (holder && *holder != shard_record.holder)) {
      return std::nullopt;
    }
    holder = shard_record.holder;
  }
  return holder;
}

void Releaser::offer(const NodeId& holder, SliceChangeRequest request, const JobStart& start) {
  mark_slices_dirty(request);
  const SliceKey key{request.slices.front().job_id, request.slices.front().number};
  const ReleaseId id =
      open_.add_offer(std::move(request), cache_.records(), holder, clock_.steady());
  const SliceRecord& slice = *open_.slice(key);
  const auto* stored = cache_.records().slice(slice.job_id, slice.number);
  ReleaseOffer message;
  message.term = election_.term().get();
  message.job_id = slice.job_id.get();
  message.slice_number = slice.number;
  message.slice_revision = stored == nullptr ? 0 : stored->mod_revision.get();
  message.cache_revision = cache_.revision().get();
  message.sequence = id.get();
  message.holder_incarnation = cache_.records().nodes.at(holder).record.incarnation.get();
  message.job_revision = cache_.records().jobs.at(slice.job_id).mod_revision.get();
  for (const std::uint32_t task_index : start.task_indices) {
    const std::uint32_t index = task_index % kSliceTasks;
    const TaskRecord& task = slice.tasks.at(index);
    message.tasks.push_back({index, task.attempt.get(), task.zone.get(), task.machine_id.get()});
  }
  channel_->offer(holder, message, [this, id](OfferOutcome outcome) {
    if (outcome != OfferOutcome::declined) return;
    metrics_.count("offers declined");
    open_.on_offer_declined(id, clock_.steady());
  });
}

}  // namespace marblevale
