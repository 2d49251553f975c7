#include "leader/limit_waits.hpp"

#include <map>

namespace marblevale {

namespace {

struct UnsettledUse {
  JobId job_id;  // the first of them
  Resources resources;
};

std::map<TeamId, UnsettledUse> unsettled_use(const Records& records, const TeamUsage& usage,
                                             const std::vector<SliceKey>& unsettled) {
  std::map<TeamId, UnsettledUse> by_team;
  for (const SliceKey& key : unsettled) {
    const JobRecord* job = records.job(key.job_id);
    if (job == nullptr) continue;
    UnsettledUse& use =
        by_team.try_emplace(job->spec.team, UnsettledUse{key.job_id, {}}).first->second;
    use.resources += usage.of(key);
  }
  return by_team;
}

}  // namespace

std::vector<LimitWait> find_limit_waits(const std::vector<QueueItem>& queue,
                                        const Settings& settings, const Records& records,
                                        const TeamUsage& usage,
                                        const std::vector<SliceKey>& unsettled, std::size_t most) {
  std::vector<LimitWait> waits;
  if (unsettled.empty()) return waits;
  const auto by_team = unsettled_use(records, usage, unsettled);
  for (const QueueItem& item : queue) {
    if (waits.size() >= most) break;
    const JobSpec& job = *item.demand.job;
    const Team* team = settings.team(job.team);
    const auto use = by_team.find(job.team);
    if (team == nullptr || use == by_team.end() || item.demand.tasks == 0) continue;
    const Resources wanted = job.need * (job.gang() ? static_cast<double>(item.demand.tasks) : 1.0);
    const Resources total = usage.of(job.team) + wanted;
    if (fits(total, team->limit())) continue;
    if (fits(total - use->second.resources, team->limit())) {
      waits.push_back({item.job_id, use->second.job_id});
    }
  }
  return waits;
}

}  // namespace marblevale
