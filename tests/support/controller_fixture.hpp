// Fixture that the tests of the leader and of the shard holder share: the election and the watch
// cache of one controller, with a fake clock and a scripted state service.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "election/election.hpp"
#include "store/watch_cache.hpp"
#include "support/fake_time.hpp"
#include "support/helpers.hpp"
#include "support/scripted_store.hpp"
#include "support/stored_records.hpp"

namespace marblevale::testing {

/// The controller `me` in zone `a`, with incarnation 7. The only machine type is `type`.
class ControllerTest : public ::testing::Test {
 protected:
  ControllerTest(Settings settings, const MachineType& type)
      : settings_(std::move(settings)),
        cache_(loop_, time_, store_, 1),
        election_(loop_, time_, settings_, store_, cache_, ProcessIncarnation(7)) {
    store_.put(keys::kTypes, encode(std::vector<MachineType>{type}));
  }

  static Settings controller_settings() {
    Settings settings;
    settings.node = NodeId("me");
    settings.zone = ZoneId("a");
    settings.zones = {ZoneId("a")};
    settings.workers = {Duration{3000}, Duration{24'000}, Duration{35'000}, Duration{8000},
                        Duration{49'000}};
    return settings;
  }

  static MachineType machine_type() {
    MachineType type;
    type.name = "g8";
    type.resources = {96, 8, 768};
    type.zones = {ZoneId("a")};
    return type;
  }

  /// Advances the clock in steps and delivers watch events after each step, unless
  /// `watch_answers_` is false.
  void run(Duration duration) {
    advance_in_steps(time_, duration, [this] {
      if (watch_answers_) store_.deliver_watch_events();
    });
  }

  /// Advances the clock without delivering watch events.
  void run_without_watch(Duration duration) { time_.advance(duration); }

  /// Stores the leader's record with the given holder, as another controller would.
  void put_leader(const std::string& node, std::uint64_t incarnation) {
    store_.put(keys::kLeader, encode(LeaderRecord{NodeId(node), ProcessIncarnation(incarnation)}));
  }
  void remove_leader() { store_.remove(keys::kLeader); }
  void delete_job(const JobId& job_id) { store_.remove(keys::job(job_id)); }

  /// Stores the shard record of the zone with the given holder; returns the record's revision.
  ModRevision put_shard(const std::string& zone, const std::string& node, std::uint64_t incarnation,
                        std::uint64_t serial = 1) {
    return store_.put(
        keys::shard(ZoneId(zone)),
        encode(ShardRecord{ZoneId(zone), NodeId(node), ProcessIncarnation(incarnation), serial}));
  }

  /// The state in this controller's copy of the machine's record, which must exist.
  [[nodiscard]] MachineState machine_state(const std::string& machine_id = "vm-1") const {
    return cache_.records().machines.at(MachineId(machine_id)).record.state;
  }

  FakeTime time_;
  Loop loop_{&time_};
  Settings settings_;
  ScriptedStore store_;
  WatchCache cache_;
  Election election_;
  bool watch_answers_ = true;
};

}  // namespace marblevale::testing
