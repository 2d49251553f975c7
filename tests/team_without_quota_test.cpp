// Jobs of teams without a quota next to jobs of teams with one: queue order, preemption, packing
// and scale-out.
#include "scheduling/job_queue.hpp"
#include "scheduling/preemption.hpp"
#include "support/leader_loop_fixture.hpp"

namespace marblevale {
namespace {

using testing::at;
using testing::batch;
using testing::gang;
using testing::item;
using testing::machine;

/// A team with a quota, and one without.
Settings two_teams() {
  Settings settings;
  settings.zones = {ZoneId("a")};
  Team crew;
  crew.name = TeamId("crew");
  crew.guaranteed_gpus = 1;
  Team guest;
  guest.name = TeamId("guest");
  settings.teams = {crew, guest};
  return settings;
}

JobSpec low_urgency_batch(const std::string& job_id, const std::string& team, double seconds) {
  JobSpec job = batch(job_id, 2, 1, seconds);
  job.team = TeamId(team);
  job.urgency = Urgency::low;
  return job;
}

std::vector<std::string> queue_order(const Records& records, double now) {
  auto queue = build_queue(records, {}, two_teams(), at(now), false);
  std::sort(queue.begin(), queue.end(), has_higher_priority);
  std::vector<std::string> out;
  out.reserve(queue.size());
  for (const QueueItem& entry : queue) out.push_back(entry.job_id.get());
  return out;
}

void add_job(Records& records, const JobSpec& spec, double accepted) {
  records.jobs[spec.job_id] = {JobRecord{spec, at(accepted), std::nullopt}, ModRevision(1)};
}

// If jobs of a team without a quota ranked like others of their urgency, they would hold the
// machines, and arrays of teams with a quota that exceed it would miss their deadlines.
TEST(TeamWithoutQuota, IsQueuedAfterTeamsWithQuota) {
  Records records;
  add_job(records, low_urgency_batch("req-guest", "guest", 10), 0);
  add_job(records, low_urgency_batch("req-crew", "crew", 100), 1);
  EXPECT_EQ(queue_order(records, 20), (std::vector<std::string>{"req-crew", "req-guest"}));
}

// A job of a team without a quota must begin, too: the largest job of each class within four
// minutes.
TEST(TeamWithoutQuota, IsQueuedFirstOnceOverdue) {
  Records records;
  add_job(records, low_urgency_batch("req-guest", "guest", 10), 0);
  add_job(records, low_urgency_batch("req-crew", "crew", 100), 190);
  EXPECT_EQ(queue_order(records, 200), (std::vector<std::string>{"req-guest", "req-crew"}));
}

TEST(TeamWithoutQuota, IsPreemptedBeforeTeamsWithQuota) {
  Records records;
  MachineType type;
  type.name = "g8";
  type.resources = {100, 1, 1000};
  records.types = {std::vector<MachineType>{type}, ModRevision(1)};
  Profile profile;
  for (const std::string team : {"crew", "guest"}) {
    const MachineId host(std::string("vm-").append(team));
    MachineRecord record;
    record.machine_id = host;
    record.machine_type = "g8";
    record.zone = ZoneId("a");
    records.machines[host].record = record;
    profile.add_machine(machine(host.get(), 1));
    JobSpec spec = low_urgency_batch(std::string("req-").append(team), team, 100);
    add_job(records, spec, 0);
    SliceRecord slice;
    slice.job_id = spec.job_id;
    slice.tasks.resize(2);
    slice.tasks[0].state = TaskState::bound;
    slice.tasks[0].attempt = Attempt(1);
    slice.tasks[0].machine_id = host;
    slice.tasks[0].running_since = at(1);
    records.slices[{spec.job_id, 0}] = {slice, ModRevision(1)};
    records.placed[host][{spec.job_id, 0}] = Attempt(1);
  }
  JobSpec urgent = gang("req-urgent", 1, 1, 50);
  urgent.urgency = Urgency::urgent;
  const auto room = select_victims(item(urgent, 9), {}, records, two_teams(), profile, at(60), {});
  ASSERT_TRUE(room);
  ASSERT_EQ(room->victims.size(), 1U);
  EXPECT_EQ(room->victims[0].job_id.get(), "req-guest");
}

// A task without accelerators that takes CPUs beside idle accelerators makes them unusable for
// other jobs.
TEST(TeamWithoutQuota, TasksWithoutAcceleratorsArePackedBesideBusyOnes) {
  Profile profile;
  profile.add_machine(machine("idle", 2));
  const auto busy = profile.add_machine(machine("busy", 2));
  profile.allocate(busy, TeamId("crew"), {WallTime{}, at(1000), {0, 2, 0}, Owner(1)});
  for (int i = 0; i < 8; ++i) {
    const JobSpec probe = low_urgency_batch("req-" + std::to_string(i), "guest", 10);
    QueueItem waiting = item(probe, 2);
    JobSpec cpu_only = probe;
    cpu_only.need = {0.25, 0, 1};
    waiting.demand.job = &cpu_only;
    waiting.demand.tasks = 1;
    const Plan plan = profile.fit_partially(waiting.demand, at(10));
    ASSERT_EQ(plan.placements.size(), 1U);
    EXPECT_EQ(plan.placements[0].machine, busy);
  }
}

using TeamWithoutQuotaScaleOutTest = testing::LeaderLoopTest;

// A job of a class without an objective and of a team without a guarantee uses idle machines only,
// until it is overdue.
TEST_F(TeamWithoutQuotaScaleOutTest, NothingIsProvisionedUntilTheJobIsOverdue) {
  Team guest;
  guest.name = TeamId("guest");
  settings_.teams.push_back(guest);
  cloud_.has_capacity = true;
  begin();
  submit(low_urgency_batch("req-1", "guest", 100));
  run(Duration{60'000});
  EXPECT_TRUE(cloud_.provisioning_requests.empty());
  run(Duration{100'000});
  EXPECT_FALSE(cloud_.provisioning_requests.empty()) << "it has waited for over 150 s";
}

TEST_F(TeamWithoutQuotaScaleOutTest, MachinesAreProvisionedForAClassWithAnObjective) {
  Team guest;
  guest.name = TeamId("guest");
  settings_.teams.push_back(guest);
  Objective objective;
  objective.kind = Objective::Kind::finished;
  objective.job_class = "solve";
  objective.within = from_seconds(400);
  settings_.objectives = {objective};
  cloud_.has_capacity = true;
  begin();
  submit(low_urgency_batch("req-1", "guest", 100));
  run(Duration{60'000});
  EXPECT_FALSE(cloud_.provisioning_requests.empty());
}

}  // namespace
}  // namespace marblevale
