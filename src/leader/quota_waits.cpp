#include "leader/quota_waits.hpp"

#include <map>

namespace marblevale {

namespace {

constexpr Duration kCheckInterval{2'000};
/// A release is named as the reason only after this time without a definite answer.
constexpr Duration kMinUnsettledTime{5'000};
/// Maximum number of jobs for one check.
constexpr std::size_t kMaxNotes = 8;

struct UnsettledUse {
  JobId first_job_id;
  Resources resources;
};

std::map<TeamId, UnsettledUse> unsettled_use_by_team(
    const Records& records, const TeamQuotaUsage& usage,
    const std::vector<SliceKey>& unsettled_slices) {
  std::map<TeamId, UnsettledUse> by_team;
  for (const SliceKey& key : unsettled_slices) {
    const JobRecord* job = records.job(key.job_id);
    if (job == nullptr) continue;
    UnsettledUse& use =
        by_team.try_emplace(job->spec.team, UnsettledUse{key.job_id, {}}).first->second;
    use.resources += usage.used_by(key);
  }
  return by_team;
}

}  // namespace

std::vector<QuotaWait> find_quota_waits(const std::vector<QueueItem>& queue,
                                        const Settings& settings, const Records& records,
                                        const TeamQuotaUsage& usage,
                                        const std::vector<SliceKey>& unsettled_slices,
                                        std::size_t max_waits) {
  std::vector<QuotaWait> waits;
  if (unsettled_slices.empty()) return waits;
  const auto by_team = unsettled_use_by_team(records, usage, unsettled_slices);
  for (const QueueItem& item : queue) {
    if (waits.size() >= max_waits) break;
    const JobSpec& job = *item.demand.job;
    const Team* team = settings.team(job.team);
    const auto use = by_team.find(job.team);
    if (team == nullptr || use == by_team.end() || item.demand.tasks == 0) continue;
    const Resources wanted = job.need * (job.gang() ? static_cast<double>(item.demand.tasks) : 1.0);
    const Resources total = usage.used_by(job.team) + wanted;
    if (fits(total, team->limit())) continue;
    if (fits(total - use->second.resources, team->limit())) {
      waits.push_back({item.job_id, use->second.first_job_id});
    }
  }
  return waits;
}

QuotaWaitNotes::QuotaWaitNotes(const Clock& clock, const Settings& settings,
                               const WatchCache& cache, Releaser& releaser,
                               GuaranteeWriter& guarantee_writer)
    : clock_(clock),
      settings_(settings),
      cache_(cache),
      releaser_(releaser),
      guarantee_writer_(guarantee_writer) {}

void QuotaWaitNotes::retain_only(const std::unordered_set<JobId>& queued_jobs) {
  std::erase_if(noted_jobs_, [&](const JobId& job_id) { return !queued_jobs.contains(job_id); });
}

bool QuotaWaitNotes::due() const { return clock_.steady() - last_run_ >= kCheckInterval; }

void QuotaWaitNotes::run(const std::vector<QueueItem>& queue) {
  last_run_ = clock_.steady();
  const auto unsettled_slices =
      releaser_.open_releases().unsettled_for(kMinUnsettledTime, last_run_);
  const auto waits = find_quota_waits(queue, settings_, cache_.records(), releaser_.usage(),
                                      unsettled_slices, kMaxNotes);
  for (const QuotaWait& wait : waits) {
    if (!noted_jobs_.insert(wait.job_id).second) continue;
    guarantee_writer_.note(wait.job_id, "waits for its team's limit: a release of " +
                                            wait.unsettled_job_id.get() +
                                            " has no answer yet, and counts until it is settled");
  }
}

}  // namespace marblevale
