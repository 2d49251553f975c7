#include "leader/round_summary.hpp"

#include <spdlog/spdlog.h>

namespace marblevale {

void log_round_summary(const Planner& planner, std::size_t open_releases, WallTime now) {
  const Profile& profile = planner.profile();
  Resources total{};
  Resources free{};
  std::size_t up = 0;
  for (std::size_t i = 0; i < profile.machines().size(); ++i) {
    // The machine is still booting, or it was removed from the profile.
    if (profile.machines()[i].ready > now) continue;
    ++up;
    total += profile.timeline(i).capacity();
    free += profile.timeline(i).free(now, now + Duration{1});
  }
  std::size_t tasks_waiting = 0;
  for (const QueueItem& item : planner.queue()) tasks_waiting += item.demand.tasks;
  spdlog::info(
      "leader: round_summary machines_up={} machines_booting={} gpus_free={:.0f} gpus_total={:.0f} "
      "jobs_waiting={} tasks_waiting={} open_releases={}",
      up, profile.count() - up, free.gpus, total.gpus, planner.queue().size(), tasks_waiting,
      open_releases);
}

}  // namespace marblevale
