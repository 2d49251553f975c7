// The profile that is kept up from change to change, against one made anew from all records.
#include "planner/occupancy.hpp"

#include <random>

#include "helpers.hpp"

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
    type.room = {64, 8, 512};
    type.cache_gb = 20;
    type.pull_gb_per_s = 0.5;
    type.zones = {ZoneId("a"), ZoneId("b")};
    records_.types = Stored<std::vector<MachineType>>{{type}, Stamp(1)};
    Team team;
    team.name = TeamId("crew");
    team.gpus_max = 200;
    teams_ = {team};
  }

  std::size_t draw(std::size_t below) { return random_() % below; }

  void change_machine() {
    const HostId host("vm-" + std::to_string(draw(kMachines)));
    occupancy_.touch_machine(host);
    if (draw(5) == 0) {
      records_.machines.erase(host);
      return;
    }
    MachineRecord& m = records_.machines[host].record;
    m.host = host;
    m.build = "g8";
    // A machine does not move: its zone follows from its name.
    m.zone = ZoneId(std::hash<HostId>{}(host) % 2 == 0 ? "a" : "b");
    m.state = draw(4) == 0 ? MachineState::silent : MachineState::up;
    m.since = at(1);
  }

  void change_slice() {
    const Uid uid("req-" + std::to_string(draw(kJobs)));
    const SliceKey key{uid, 0};
    if (draw(6) == 0) {
      forget(key);
      records_.jobs.erase(uid);
      return;
    }
    if (!records_.jobs.contains(uid)) {
      records_.jobs[uid].record.spec =
          draw(2) == 0 ? gang(uid.get(), 4, 1, 20 + static_cast<double>(draw(60)))
                       : batch(uid.get(), 8, 1, 20);
      records_.jobs[uid].record.spec.image_gb = 3;
    }
    forget(key);
    SliceRecord& slice = records_.slices[key].record;
    slice.uid = uid;
    slice.tasks.resize(records_.jobs[uid].record.spec.parts);
    for (std::size_t i = 0; i < slice.tasks.size(); ++i) {
      TaskRecord& t = slice.tasks[i];
      if (draw(3) == 0) continue;
      t.state = draw(2) == 0 ? TaskState::released : TaskState::bound;
      t.host = HostId("vm-" + std::to_string(draw(kMachines)));
      t.since = now_;
      if (draw(2) == 0) t.running = now_;
      records_.placed[t.host][{uid, static_cast<std::uint32_t>(i)}] = Attempt(1);
    }
  }

  void forget(const SliceKey& key) {
    occupancy_.touch_slice(key);
    const auto old = records_.slices.find(key);
    if (old == records_.slices.end()) return;
    for (std::size_t i = 0; i < old->second.record.tasks.size(); ++i) {
      const TaskRecord& t = old->second.record.tasks[i];
      if (!t.placed()) continue;
      records_.placed[t.host].erase({key.first, static_cast<std::uint32_t>(i)});
      if (records_.placed[t.host].empty()) records_.placed.erase(t.host);
    }
    records_.slices.erase(old);
  }

  std::mt19937 random_;
  Records records_;
  std::vector<Team> teams_;
  Occupancy occupancy_;
  Wall now_ = at(100);
};

TEST_P(OccupancyTest, IsWhatOneMadeAnewWouldBe) {
  std::vector<Booting> booting;
  for (int step = 0; step < 60; ++step) {
    for (std::size_t n = draw(6); n > 0; --n) change_machine();
    for (std::size_t n = draw(6); n > 0; --n) change_slice();
    if (draw(8) == 0) {
      booting.push_back(
          {HostId("new-" + std::to_string(step)), "g8", ZoneId("a"), false, now_ + Span{30'000}});
    }
    if (draw(8) == 0 && !booting.empty()) booting.erase(booting.begin());
    now_ = now_ + Span{static_cast<std::int64_t>(draw(9000))};
    occupancy_.sync(records_, teams_, {}, booting, now_);
    Occupancy fresh;
    fresh.sync(records_, teams_, {}, booting, now_);
    Profile& kept = occupancy_.profile();
    Profile& anew = fresh.profile();
    ASSERT_EQ(kept.count(), anew.count()) << "step " << step;
    for (const PlanMachine& m : anew.machines()) {
      const auto there = kept.find(m.host);
      ASSERT_TRUE(there) << m.host.get();
      ASSERT_EQ(kept.machines()[*there].zone, m.zone);
      const Lane& a = kept.lane(*there);
      const Lane& b = anew.lane(*anew.find(m.host));
      ASSERT_EQ(a.taken().size(), b.taken().size()) << m.host.get() << " step " << step;
      for (int s = 0; s < 200; s += 7) {
        const Wall from = now_ + Span{s * 1000};
        ASSERT_NEAR(a.free(from, from + Span{5000}).gpus, b.free(from, from + Span{5000}).gpus,
                    1e-6)
            << m.host.get() << " step " << step << " at +" << s;
      }
    }
    for (int s = 0; s < 200; s += 7) {
      const Wall from = now_ + Span{s * 1000};
      ASSERT_NEAR(kept.team(TeamId("crew"))->free(from, from + Span{5000}).gpus,
                  anew.team(TeamId("crew"))->free(from, from + Span{5000}).gpus, 1e-6);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, OccupancyTest, ::testing::Values(1U, 2U, 3U, 4U));

}  // namespace
}  // namespace marblevale
