#include "scheduling/placement_score.hpp"

namespace marblevale {

namespace {

// Weights, as the seconds of waiting that a task would accept to avoid the drawback.
constexpr double kPriceSeconds = 30;      // using all of the most expensive machine
constexpr double kStrandedSeconds = 30;   // stranding all accelerators of a machine
constexpr double kOtherZoneSeconds = 10;  // a machine outside the preferred zone
// A job with a deadline can wait for an image fetch better than the other jobs, so its fetch time
// weighs less and it leaves them the machines that have the image.
constexpr double kDeadlineFetchWeight = 0.3;
constexpr double kGangFullnessWeight = 0.2;
constexpr Duration kPlanningStep{1000};

/// The finalizer of splitmix64: inputs that differ in a few bits get unrelated outputs.
std::uint64_t mix_bits(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

double price_weight(const Profile& profile, double share, const PlanMachine& machine) {
  return profile.highest_price() > 0
             ? kPriceSeconds * share * machine.price / profile.highest_price()
             : 0;
}

/// The share of a machine's accelerators that other tasks could not use beside the task, because it
/// takes the CPUs or memory that these accelerators need.
double stranded_share(const JobSpec& job, const PlanMachine& machine, const Resources& free) {
  // CPUs or memory that the task takes beyond its share of the accelerators strand other
  // accelerators. This counts on on-demand machines only, because jobs that don't allow spot
  // machines depend on these.
  const bool may_strand = !machine.spot && job.need.gpus > 0 && machine.resources.gpus > 0;
  const double excess_share = may_strand ? dominant_share(job.need, machine.resources) -
                                               job.need.gpus / machine.resources.gpus
                                         : 0;
  // A task without accelerators takes CPUs that the machine's free accelerators need, so it prefers
  // a machine whose accelerators are in use.
  const bool takes_no_gpus = job.need.gpus <= 0 && machine.resources.gpus > 0;
  const double idle_gpu_share = takes_no_gpus ? free.gpus / machine.resources.gpus : 0;
  return excess_share + idle_gpu_share;
}

}  // namespace

Duration planned_run(const Demand& demand, Duration fetch) {
  return round_up(demand.run + fetch, kPlanningStep);
}

double placement_score(const Profile& profile, const Demand& demand, std::size_t machine,
                       Duration fetch, const Resources& free) {
  const JobSpec& job = *demand.job;
  const PlanMachine& m = profile.machines()[machine];
  const std::uint64_t tie_break =
      mix_bits(profile.tie_break_seed(machine) ^ std::hash<JobId>{}(job.job_id)) % 997;
  const double zone_penalty =
      demand.preferred_zone && *demand.preferred_zone != m.zone ? kOtherZoneSeconds : 0;
  return zone_penalty + kStrandedSeconds * stranded_share(job, m, free) +
         to_seconds(fetch) * (job.deadline ? kDeadlineFetchWeight : 1.0) +
         price_weight(profile, dominant_share(job.need, m.resources), m) +
         dominant_share(free, m.resources) * (job.gang() ? kGangFullnessWeight : 1.0) +
         static_cast<double>(tie_break) / 1e5;
}

double plan_cost(const Profile& profile, const Demand& demand, const Plan& plan,
                 const ZoneId& zone) {
  double cost = 0;
  for (const Placement& placement : plan.placements) {
    const PlanMachine& m = profile.machines()[placement.machine];
    cost += price_weight(profile, dominant_share(demand.job->need, m.resources), m) / demand.tasks;
  }
  const std::uint64_t tie_break =
      mix_bits(std::hash<JobId>{}(demand.job->job_id) ^ std::hash<ZoneId>{}(zone)) % 997;
  return cost + static_cast<double>(tie_break) / 1e4;
}

}  // namespace marblevale
