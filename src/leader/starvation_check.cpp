#include "leader/starvation_check.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace marblevale {

namespace {

constexpr Duration kCheckInterval{10'000};
/// A job counts as starved from this waiting time. The target is that no job waits for 90 s while a
/// machine has capacity for it.
constexpr Duration kMinStarvedWait{30'000};
/// Time between the first finding of a job and its log line, because the job may be about to start.
constexpr Duration kConfirmTime{15'000};
constexpr Duration kLogInterval{60'000};  // for one job
/// When no machine that is up has capacity, a machine that has been out of service for this long is
/// considered too, so that the log names its state as the cause.
constexpr Duration kMinOutOfUse{60'000};
constexpr std::size_t kMaxStarvedJobs = 32;
/// A release is given as the cause only after this time without a definite answer.
constexpr Duration kMinUnsettledTime{5'000};

}  // namespace

StarvationCheck::StarvationCheck(const Clock& clock, const Settings& settings,
                                 const WatchCache& cache, const Releaser& releaser)
    : clock_(clock), settings_(settings), cache_(cache), releaser_(releaser) {}

bool StarvationCheck::due() const { return clock_.steady() - last_run_ >= kCheckInterval; }

bool StarvationCheck::run(const Planner& planner, const Reservations& reservations,
                          const std::set<ZoneId>& unreachable_zones) {
  last_run_ = clock_.steady();
  const Round round{planner, reservations, unreachable_zones};
  const auto starved_jobs = find_starved(cache_.records(), settings_, clock_.wall(),
                                         kMinStarvedWait, kMinOutOfUse, kMaxStarvedJobs);
  std::set<JobId> still_starved;
  bool profile_is_wrong = false;
  for (const StarvedJob& job : starved_jobs) {
    still_starved.insert(job.job_id);
    Finding& finding = findings_.try_emplace(job.job_id, Finding{last_run_, {}}).first->second;
    if (last_run_ - finding.first_found_at < kConfirmTime) continue;
    if (last_run_ - finding.last_logged_at < kLogInterval) continue;
    finding.last_logged_at = last_run_;
    const Cause cause = explain(job, round);
    spdlog::warn("leader: job_starved job={} waited_s={} free_machine={} cause=\"{}\"",
                 job.job_id.get(), whole_seconds(job.waited), job.machine_id.get(), cause.text);
    profile_is_wrong = profile_is_wrong || cause.profile_is_wrong;
  }
  std::erase_if(findings_, [&](const auto& entry) { return !still_starved.contains(entry.first); });
  return profile_is_wrong;
}

StarvationCheck::Cause StarvationCheck::explain(const StarvedJob& job, const Round& round) const {
  if (job.state != MachineState::up) return {std::string("it is ") + name_of(job.state)};
  const auto& machines = cache_.records().machines;
  const auto machine = machines.find(job.machine_id);
  if (machine != machines.end() && round.unreachable_zones.contains(machine->second.record.zone)) {
    return {"its zone is out of reach"};
  }
  if (const auto cause = find_unsettled_release(job)) return *cause;
  const auto& queue = round.planner.queue();
  const auto item = std::find_if(queue.begin(), queue.end(),
                                 [&](const QueueItem& i) { return i.job_id == job.job_id; });
  if (item == queue.end()) return {"the job is not in the queue", true};
  if (item->not_before > clock_.wall()) return {"it is tried again after a pause"};
  return explain_by_profile(job, *item, round);
}

std::optional<StarvationCheck::Cause> StarvationCheck::find_unsettled_release(
    const StarvedJob& job) const {
  const Records& records = cache_.records();
  const OpenReleases& open_releases = releaser_.open_releases();
  const JobSpec& spec = records.job(job.job_id)->spec;
  for (std::uint32_t n = 0; n < slice_count(spec); ++n) {
    const auto state = open_releases.state(SliceKey{job.job_id, n});
    if (!state) continue;
    return Cause{*state == OpenReleases::State::offered ? "an offer has not been settled"
                                                        : "a release has not been settled"};
  }
  for (const SliceKey& key : open_releases.unsettled_for(kMinUnsettledTime, clock_.steady())) {
    const JobRecord* other = records.job(key.job_id);
    if (other != nullptr && other->spec.team == spec.team) {
      return Cause{"a release of its team has not been settled"};
    }
  }
  return std::nullopt;
}

StarvationCheck::Cause StarvationCheck::explain_by_profile(const StarvedJob& job,
                                                           const QueueItem& item,
                                                           const Round& round) const {
  const WallTime now = clock_.wall();
  for (const auto& [job_id, reservation] : round.reservations) {
    if (job_id == job.job_id) continue;
    for (const auto& place : reservation.places) {
      if (place.machine_id == job.machine_id && place.start < now + item.demand.run * 2) {
        return {"room there is reserved for " + job_id.get()};
      }
    }
  }
  const Profile& profile = round.planner.profile();
  const auto timeline = profile.find(job.machine_id);
  if (!timeline) return {"it is not in the profile", true};
  if (!profile.timeline(*timeline).can_fit(item.demand.job->need, now, now + Duration{1})) {
    return {"its room is taken in the profile", true};
  }
  const auto reservation = round.reservations.find(job.job_id);
  if (reservation == round.reservations.end()) return {"it has no reservation", true};
  return {reservation->second.places.empty() ? "its reservation has no place" : "unknown", true};
}

}  // namespace marblevale
