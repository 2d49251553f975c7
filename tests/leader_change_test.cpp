// A leader whose term meets another trouble: the state service out, another leader before or after
// it, commits and answers that come late.
#include "blocks/grants.hpp"
#include "leader_fixture.hpp"

namespace marblevale {
namespace {

using testing::ScriptedStore;
using Script = ScriptedStore::Script;

class LeaderChangeTest : public testing::LeaderTest {
 protected:
  /// The state service is out: commits are refused, and open watches wait.
  void outage(Span span) {
    for (std::int64_t at = 0; at < span.ms; at += 10) {
      store_.scripts.assign(100, Script::refuse);
      time_.advance(Span{10});
    }
    store_.scripts.clear();
  }

  void another_leads() {
    store_.put(keys::kLeader, encode(LeaderRecord{NodeId("other"), Nonce(3)}));
    run(Span{20});
    ASSERT_FALSE(election_.in_charge());
  }
  void it_leads_again() {
    Txn txn;
    txn.remove(keys::kLeader);
    store_.commit(Rank::lease, txn, [](const CommitResult&) {});
    run(Span{50});
    ASSERT_TRUE(election_.in_charge());
  }
  /// A term of another between two of this controller's, shorter than a tick of anything.
  void another_leads_for_a_moment() {
    const Stamp before = election_.term();
    another_leads();
    it_leads_again();
    ASSERT_NE(election_.term(), before);
  }

  void machine_in(const std::string& zone, const std::string& host, Wall since) {
    MachineRecord m;
    m.host = HostId(host);
    m.build = "g8";
    m.zone = ZoneId(zone);
    m.since = since;
    store_.put_machine(m);
  }

  void two_zones() {
    settings_.zones = {ZoneId("a"), ZoneId("b")};
    MachineType type;
    type.name = "g8";
    type.room = {96, 8, 768};
    type.boot = Span{30'000};
    type.zones = settings_.zones;
    store_.put(keys::kTypes, encode(std::vector<MachineType>{type}));
  }

  void limit(double gpus) { settings_.teams[0].gpus = settings_.teams[0].gpus_max = gpus; }
};

// `deleting` is committed before the cloud is asked; an outage longer than `cancel_s` would leave a
// cancelled task where it is.
TEST_F(LeaderChangeTest, AnOutageDoesNotKeepACancelledTaskOnItsMachine) {
  machine("vm-1");
  machine("vm-2");
  const JobSpec cancelled = testing::gang("req-1", 1, 1, 600);
  submit(cancelled);
  set_task("req-1", bound("vm-1"));
  submit(testing::gang("req-2", 1, 1, 600));
  set_task("req-2", bound("vm-2"));
  begin();
  store_.put(keys::job(cancelled.uid), encode(JobRecord{cancelled, time_.wall(), time_.wall()}));
  run(Span{1'000});
  cloud_.removes = false;  // the first requests get no answer
  outage(Span{20'000});
  EXPECT_TRUE(cloud_.removed.empty()) << "its holder may still be ending it";
  outage(Span{8'000});
  ASSERT_FALSE(cloud_.removed.empty());
  cloud_.removes = true;
  outage(Span{2'000});
  const std::size_t asked = cloud_.removed.size();
  outage(Span{15'000});
  EXPECT_EQ(cloud_.removed.size(), asked) << "once it was answered, that is enough";
  for (const HostId& host : cloud_.removed) EXPECT_EQ(host, HostId("vm-1"));
  EXPECT_EQ(tasks("req-1").at(0).state, TaskState::bound) << "what is not recorded is no proof";
  EXPECT_EQ(mirror_.records().machines.at(HostId("vm-1")).record.state, MachineState::up);
  run(Span{3'000});
  EXPECT_EQ(mirror_.records().machines.at(HostId("vm-1")).record.state, MachineState::gone);
  EXPECT_GT(cloud_.removed.size(), asked) << "after it was recorded, the deletion is asked again";
  EXPECT_EQ(mirror_.records().machines.at(HostId("vm-2")).record.state, MachineState::up);
}

}  // namespace
}  // namespace marblevale
