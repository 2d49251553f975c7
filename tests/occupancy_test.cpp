// Compares the profile that is updated incrementally with one that is rebuilt from all records.
#include "scheduling/occupancy.hpp"

#include <random>

#include "support/helpers.hpp"

namespace marblevale {
namespace {

using testing::at;
using testing::batch;
using testing::gang;

constexpr std::size_t kMachines = 40;
constexpr std::size_t kJobs = 30;

class OccupancyTest : public ::testing::TestWithParam<unsigned> {
 protected:
  OccupancyTest() : random_(GetParam()) {
    MachineType type;
    type.name = "g8";
    type.resources = {64, 8, 512};
    type.cache_gb = 20;
    type.pull_gb_per_s = 0.5;
    type.zones = {ZoneId("a"), ZoneId("b")};
    records_.types = Versioned<std::vector<MachineType>>{{type}, ModRevision(1)};
    Team team;
    team.name = TeamId("crew");
    team.max_gpus = 200;
    teams_ = {team};
  }

  std::size_t draw(std::size_t below) { return random_() % below; }

  void change_machine() {
    const MachineId machine_id("vm-" + std::to_string(draw(kMachines)));
    occupancy_.mark_machine_dirty(machine_id);
    if (draw(5) == 0) {
      records_.machines.erase(machine_id);
      return;
    }
    MachineRecord& m = records_.machines[machine_id].record;
    m.machine_id = machine_id;
    m.machine_type = "g8";
    // A machine never changes its zone, so the zone is derived from its id.
    m.zone = ZoneId(std::hash<MachineId>{}(machine_id) % 2 == 0 ? "a" : "b");
    m.state = draw(4) == 0 ? MachineState::silent : MachineState::up;
    m.since = at(1);
  }

  void change_slice() {
    const JobId job_id("req-" + std::to_string(draw(kJobs)));
    const SliceKey key{job_id, 0};
    if (draw(6) == 0) {
      erase_slice(key);
      records_.jobs.erase(job_id);
      return;
    }
    if (!records_.jobs.contains(job_id)) {
      records_.jobs[job_id].record.spec =
          draw(2) == 0 ? gang(job_id.get(), 4, 1, 20 + static_cast<double>(draw(60)))
                       : batch(job_id.get(), 8, 1, 20);
      records_.jobs[job_id].record.spec.image_gb = 3;
    }
    erase_slice(key);
    SliceRecord& slice = records_.slices[key].record;
    slice.job_id = job_id;
    slice.tasks.resize(records_.jobs[job_id].record.spec.task_count);
    for (std::size_t i = 0; i < slice.tasks.size(); ++i) {
      TaskRecord& t = slice.tasks[i];
      if (draw(3) == 0) continue;
      t.state = draw(2) == 0 ? TaskState::released : TaskState::bound;
      t.machine_id = MachineId("vm-" + std::to_string(draw(kMachines)));
      t.since = now_;
      if (draw(2) == 0) t.running_since = now_;
      records_.placed[t.machine_id][{job_id, static_cast<std::uint32_t>(i)}] = Attempt(1);
    }
  }

  void erase_slice(const SliceKey& key) {
    occupancy_.mark_slice_dirty(key);
    const auto old = records_.slices.find(key);
    if (old == records_.slices.end()) return;
    for (std::size_t i = 0; i < old->second.record.tasks.size(); ++i) {
      const TaskRecord& t = old->second.record.tasks[i];
      if (!t.placed()) continue;
      records_.placed[t.machine_id].erase({key.job_id, static_cast<std::uint32_t>(i)});
      if (records_.placed[t.machine_id].empty()) records_.placed.erase(t.machine_id);
    }
    records_.slices.erase(old);
  }

  /// Updates the profile, and compares it with one that is built from nothing.
  void expect_equals_rebuilt(const PendingSlices& pending,
                             const std::vector<BootingMachine>& booting, int step) {
    occupancy_.sync(records_, teams_, pending, booting, now_);
    Occupancy fresh;
    fresh.sync(records_, teams_, pending, booting, now_);
    Profile& updated = occupancy_.profile();
    Profile& rebuilt = fresh.profile();
    ASSERT_EQ(updated.count(), rebuilt.count()) << "step " << step;
    for (const PlanMachine& m : rebuilt.machines()) {
      const auto index = updated.find(m.machine_id);
      ASSERT_TRUE(index) << m.machine_id.get();
      ASSERT_EQ(updated.machines()[*index].zone, m.zone);
      const ResourceTimeline& a = updated.timeline(*index);
      const ResourceTimeline& b = rebuilt.timeline(*rebuilt.find(m.machine_id));
      ASSERT_EQ(a.allocations().size(), b.allocations().size())
          << m.machine_id.get() << " step " << step;
      for (int s = 0; s < 200; s += 7) {
        const WallTime from = now_ + Duration{std::int64_t{s} * 1000};
        ASSERT_NEAR(a.free(from, from + Duration{5000}).gpus,
                    b.free(from, from + Duration{5000}).gpus, 1e-6)
            << m.machine_id.get() << " step " << step << " at +" << s;
      }
    }
    for (int s = 0; s < 200; s += 7) {
      const WallTime from = now_ + Duration{std::int64_t{s} * 1000};
      ASSERT_NEAR(updated.team_timeline(TeamId("crew"))->free(from, from + Duration{5000}).gpus,
                  rebuilt.team_timeline(TeamId("crew"))->free(from, from + Duration{5000}).gpus,
                  1e-6);
    }
  }

  /// Begins, replaces or ends the open change of a random slice.
  void change_pending() {
    const JobId job_id("req-" + std::to_string(draw(kJobs)));
    if (draw(3) == 0 || !records_.jobs.contains(job_id)) {
      pending_.erase({job_id, 0});
      return;
    }
    SliceRecord slice;
    slice.job_id = job_id;
    slice.tasks.resize(records_.jobs[job_id].record.spec.task_count);
    for (TaskRecord& task : slice.tasks) {
      if (draw(3) == 0) continue;
      task.state = TaskState::released;
      task.machine_id = MachineId("vm-" + std::to_string(draw(kMachines)));
      task.since = now_;
    }
    pending_[{job_id, 0}] = {std::move(slice), ++last_change_};
  }
  [[nodiscard]] PendingSlices pending_slices() const {
    PendingSlices out;
    for (const auto& [key, open] : pending_)
      out.emplace(key, PendingSlice{&open.first, open.second});
    return out;
  }

  std::mt19937 random_;
  Records records_;
  std::vector<Team> teams_;
  Occupancy occupancy_;
  WallTime now_ = at(100);
  std::map<SliceKey, std::pair<SliceRecord, std::uint64_t>> pending_;
  std::uint64_t last_change_ = 0;
};

TEST_P(OccupancyTest, IncrementalUpdatesEqualARebuild) {
  std::vector<BootingMachine> booting;
  for (int step = 0; step < 60; ++step) {
    for (std::size_t n = draw(6); n > 0; --n) change_machine();
    for (std::size_t n = draw(6); n > 0; --n) change_slice();
    if (draw(8) == 0) {
      booting.push_back({MachineId("new-" + std::to_string(step)), "g8", ZoneId("a"), false,
                         now_ + Duration{30'000}});
    }
    if (draw(8) == 0 && !booting.empty()) booting.erase(booting.begin());
    now_ = now_ + Duration{static_cast<std::int64_t>(draw(9000))};
    expect_equals_rebuilt({}, booting, step);
    if (HasFatalFailure()) return;
  }
}

// An open change that stays the same for many rounds is not read again in each of them.
TEST_P(OccupancyTest, OpenChangesEqualARebuild) {
  for (int step = 0; step < 60; ++step) {
    for (std::size_t n = draw(3); n > 0; --n) change_machine();
    for (std::size_t n = draw(4); n > 0; --n) change_slice();
    for (std::size_t n = draw(4); n > 0; --n) change_pending();
    std::erase_if(pending_, [this](const auto& entry) {
      return !records_.jobs.contains(entry.first.job_id);
    });
    now_ = now_ + Duration{static_cast<std::int64_t>(draw(9000))};
    expect_equals_rebuilt(pending_slices(), {}, step);
    if (HasFatalFailure()) return;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, OccupancyTest, ::testing::Values(1U, 2U, 3U, 4U));

}  // namespace
}  // namespace marblevale
