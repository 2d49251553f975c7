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
  std::vector<HostId> overdue;
  fleet_.delete_overdue([&overdue] { return overdue; });
  begin();
  store_.put(keys::job(cancelled.uid), encode(JobRecord{cancelled, time_.wall(), time_.wall()}));
  run(Span{1'000});
  cloud_.removes = false;  // the first requests get no answer
  outage(Span{28'000});
  EXPECT_TRUE(cloud_.removed.empty()) << "its holder does not say that the task is there";
  overdue = {HostId("vm-1")};
  outage(Span{2'000});
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

TEST_F(LeaderChangeTest, AnAnswerToAHireThatComesWhileNobodyLeadsIsNotCommitted) {
  settings_.peers = {{NodeId("n1"), ZoneId("b"), {}}, {NodeId("n2"), ZoneId("b"), {}}};
  cloud_.rents = cloud_.hold_hires = true;
  begin();
  run(Span{1'000});
  ASSERT_TRUE(election_.in_charge());
  submit(testing::gang("req-1", 1, 1, 60));
  run(Span{3'000});
  ASSERT_EQ(cloud_.hires.size(), 1U);
  const std::string key = keys::hire(cloud_.hires[0]);
  const auto asked = store_.get(key);
  ASSERT_TRUE(asked);
  Txn txn;
  txn.remove(keys::kLeader);
  store_.commit(Rank::lease, txn, [](const CommitResult&) {});
  run(Span{100});
  ASSERT_FALSE(election_.in_charge()) << "the others may stand first";
  cloud_.answer_hires();
  EXPECT_EQ(store_.get(key)->stamp, asked->stamp);
  cloud_.hold_hires = false;
  run(Span{3'000});
  ASSERT_TRUE(election_.in_charge());
  EXPECT_TRUE(mirror_.records().hires.at(cloud_.hires[0]).record.answered);
  EXPECT_EQ(std::set<std::string>(cloud_.hires.begin(), cloud_.hires.end()).size(), 1U);
}

TEST_F(LeaderChangeTest, AHireThatAnEarlierLeaderHasNotSettledIsAskedForUnderItsName) {
  HireRecord hire;
  hire.name = "h-5-1";
  hire.build = "g8";
  hire.zone = ZoneId("a");
  hire.how_many = 2;
  hire.asked = time_.wall();
  store_.put(keys::hire(hire.name), encode(hire));
  cloud_.rents = true;
  begin();
  run(Span{2'000});
  EXPECT_EQ(cloud_.hires, std::vector<std::string>{"h-5-1"});
  EXPECT_EQ(mirror_.records().hires.at("h-5-1").record.hosts.size(), 2U);
}

// Found by reading: what had been decided under one term was written under the next.
TEST_F(LeaderChangeTest, ADeletionThatAnEarlierTermDecidedIsNotWrittenByALaterOne) {
  machine("vm-1");
  begin();
  run(Span{1'100});
  fleet_.condemn(HostId("vm-1"), "idle");
  store_.hold = true;
  store_.scripts.assign(50, Script::refuse);
  run(Span{1'000});
  ASSERT_FALSE(store_.held.empty()) << "the commit is on its way";
  store_.hold = false;
  store_.scripts.clear();
  another_leads_for_a_moment();
  run(Span{1'500});
  store_.deliver_all();
  run(Span{3'000});
  EXPECT_EQ(mirror_.records().machines.at(HostId("vm-1")).record.state, MachineState::up);
  EXPECT_TRUE(cloud_.removed.empty());
}

TEST_F(LeaderChangeTest, WorkGoesOnWhileLeadersChangeTenTimes) {
  machine("vm-1");
  begin();
  std::vector<std::string> begun;
  for (int i = 0; i < 10; ++i) {
    const std::string uid = "req-" + std::to_string(i);
    submit(testing::gang(uid, 1, 2, 60));  // as much as the team may take
    // The term ends with the release on its way: carried out, or not, or with the service out.
    store_.hold = true;
    if (i % 3 == 1) store_.scripts.assign(20, Script::refuse);
    if (i % 3 == 2) store_.scripts.assign(20, Script::lose_request);
    run(Span{100});
    store_.hold = false;
    store_.scripts.clear();
    if (i % 3 == 2) outage(Span{3'000});
    another_leads_for_a_moment();
    run(Span{100});
    store_.deliver_all();
    run(Span{1'500});
    ASSERT_EQ(tasks(uid).size(), 1U) << uid;
    EXPECT_EQ(tasks(uid)[0].state, TaskState::released) << uid;
    EXPECT_EQ(tasks(uid)[0].attempt, Attempt(1)) << uid << " was released once";
    begun.push_back(uid);
    Txn over;  // it ends
    over.remove(keys::slice(Uid(uid), 0)).remove(keys::job(Uid(uid)));
    store_.commit(Rank::binding, over, [](const CommitResult&) {});
    run(Span{200});
  }
  EXPECT_EQ(begun.size(), 10U);
}

TEST_F(LeaderChangeTest, BlocksDoNotMoveBecauseLeadersChange) {
  settings_.peers = {{NodeId("n2"), ZoneId("a"), {}}};
  store_.put(keys::node(NodeId("n2")), encode(NodeRecord{NodeId("n2"), Nonce(5), Permit(90)}));
  store_.put(keys::block(ZoneId("a")), encode(BlockRecord{ZoneId("a"), NodeId("me"), Nonce(7), 1}));
  BlockGrants blocks(loop_, time_, settings_, mirror_, election_);
  begin();
  blocks.begin();
  for (int i = 0; i < 10; ++i) {
    run(Span{12'000});
    EXPECT_EQ(mirror_.records().blocks.at(ZoneId("a")).record.holder, NodeId("me"));
    another_leads_for_a_moment();
  }
  run(Span{30'000});
  EXPECT_EQ(mirror_.records().blocks.at(ZoneId("a")).record.holder, NodeId("n2"))
      << "a leader that stays has work enough";
}

// Found by reading: a slow answer to its own commit, told after the watch had told the deletion,
// left the record in this copy for good. A job that was over waited there beside free machines.
TEST_F(LeaderChangeTest, ALateAnswerDoesNotBringBackWhatWasDeletedSince) {
  begin();
  const JobSpec spec = testing::gang("req-1", 1, 1, 60);
  store_.hold = true;
  Txn txn;
  txn.guard(keys::job(spec.uid), Stamp{});
  txn.put(keys::job(spec.uid), encode(JobRecord{spec, time_.wall(), std::nullopt}));
  mirror_.commit(Rank::submission, txn, [](const CommitResult&) {});
  store_.hold = false;
  Txn over;
  over.remove(keys::job(spec.uid));
  store_.commit(Rank::binding, over, [](const CommitResult&) {});
  run(Span{50});
  store_.deliver_all();
  EXPECT_FALSE(mirror_.records().jobs.contains(spec.uid));
}

TEST_F(LeaderChangeTest, LateMachineTypesDoNotReplaceNewerOnes) {
  begin();
  std::vector<MachineType> types = mirror_.records().types->record;
  types[0].price = 2;
  cloud_.machine_types = types;
  store_.scripts = {Script::arrive_late};
  run(Span{1'500});
  ASSERT_EQ(store_.late.size(), 1U);
  types[0].price = 3;
  cloud_.machine_types = types;
  run(Span{62'000});
  ASSERT_EQ(mirror_.records().types->record[0].price, 3);
  EXPECT_EQ(store_.arrive().fate, Fate::conflict);
}

TEST_F(LeaderChangeTest, WhatBelongsToAJobThatOnlyThisCopyLacksIsNotSweptUp) {
  begin();
  run(Span{1'000});
  // As while the records are read anew, page by page.
  submit(testing::gang("req-1", 1, 1, 60));
  set_task("req-1", bound("vm-1"));
  const auto slice = store_.get(keys::slice(Uid("req-1"), 0));
  mirror_.apply({slice->key, slice->value, slice->stamp});
  time_.advance(Span{1'000});
  EXPECT_TRUE(store_.get(slice->key));
  run(Span{1'000});
  EXPECT_EQ(tasks("req-1").at(0).state, TaskState::bound);
}

// A late commit can bring back the page of a machine that is long gone; nothing else would ever
// take it out of the plan, and jobs would be released there again and again.
TEST_F(LeaderChangeTest, AMachineOfWhichOnlyTheRecordIsLeftDoesNotStayInThePlan) {
  settings_.list_lag = Span{4'000};
  machine_in("a", "vm-1", time_.wall() - Span{600'000});
  machine_in("a", "vm-2", time_.wall());  // not listed yet
  cloud_.listing.emplace();
  begin();
  run(Span{10'000});
  EXPECT_EQ(cloud_.removed, std::vector<HostId>{HostId("vm-1")});
  EXPECT_EQ(mirror_.records().machines.at(HostId("vm-1")).record.state, MachineState::gone);
}

TEST_F(LeaderChangeTest, AProfileThatDisagreesWithTheRecordsIsMadeAnew) {
  machine("vm-1");
  submit(testing::gang("req-1", 1, 2, 6'000));
  TaskRecord task = bound("vm-1");
  task.running = time_.wall();
  set_task("req-1", task);
  begin();
  submit(testing::gang("req-2", 1, 2, 60));
  run(Span{1'000});
  limit(4);  // the records' view; the profile was made with the earlier limit
  run(Span{20'000});
  EXPECT_TRUE(tasks("req-2").empty());
  run(Span{60'000});
  ASSERT_EQ(tasks("req-2").size(), 1U);
  EXPECT_EQ(tasks("req-2")[0].state, TaskState::released);
}

TEST_F(LeaderChangeTest, AJobWhoseTasksAreAllDoneIsEndedWhateverKeptItsHolderFromIt) {
  submit(testing::gang("req-1", 1, 1, 60));
  TaskRecord done;
  done.state = TaskState::done;
  done.attempt = Attempt(1);
  set_task("req-1", done);
  begin();
  run(Span{25'000});
  EXPECT_FALSE(store_.get(keys::job(Uid("req-1"))));
  EXPECT_TRUE(store_.get(keys::final_job(Uid("req-1"))));
}

TEST_F(LeaderChangeTest, AJobOfSeveralSlicesIsEndedByWhoeverLeadsThen) {
  const auto slice = [&](const std::string& uid, std::uint32_t number, std::uint32_t size) {
    SliceRecord out;
    out.uid = Uid(uid);
    out.number = number;
    out.tasks.resize(size);
    for (TaskRecord& task : out.tasks) {
      task.state = TaskState::done;
      task.attempt = Attempt(1);
    }
    return out;
  };
  submit(testing::batch("req-1", 66, 1, 60));
  submit(testing::gang("req-2", 66, 1, 60));
  SliceRecord last = slice("req-1", 1, 2);
  last.tasks[1] = bound("vm-1");
  // The machines of the gang's second slice were lost after it was done, before anybody saw that.
  SliceRecord lost = slice("req-2", 1, 2);
  lost.tasks[0].state = TaskState::idle;
  lost.tasks[1] = bound("vm-1");
  for (const SliceRecord& s : {slice("req-1", 0, 64), slice("req-2", 0, 64), last, lost}) {
    store_.put(keys::slice(s.uid, s.number), encode(s));
  }
  begin();
  run(Span{12'000});
  EXPECT_TRUE(store_.get(keys::job(Uid("req-1"))));
  EXPECT_TRUE(store_.get(keys::job(Uid("req-2")))) << "one of its tasks may still stand";
  last.tasks[1].state = TaskState::done;
  store_.put(keys::slice(last.uid, 1), encode(last));
  lost.tasks[1].state = TaskState::idle;
  store_.put(keys::slice(lost.uid, 1), encode(lost));
  another_leads_for_a_moment();
  run(Span{12'000});
  EXPECT_TRUE(store_.get(keys::final_job(Uid("req-1"))));
  EXPECT_TRUE(store_.get(keys::final_job(Uid("req-2"))));
}

// Found by reading: the leader's own commit of a cancellation is in its copy at once, before the
// watch tells of a binding that was committed earlier. The job was called over, and its task, no
// longer anybody's to stop, went on outside its team's limit.
TEST_F(LeaderChangeTest, ACancelledJobIsNotOverBeforeAllThatCameBeforeIsKnown) {
  machine("vm-1");
  begin();
  run(Span{100});
  const JobSpec spec = testing::gang("req-1", 1, 1, 60);
  store_.scripts.assign(1, Script::refuse);
  submit(spec);
  run(Span{30});
  const auto job = store_.get(keys::job(spec.uid));
  ASSERT_TRUE(mirror_.records().jobs.contains(spec.uid));
  set_task("req-1", bound("vm-1"));
  Txn cancel;
  cancel.guard(job->key, job->stamp);
  cancel.put(job->key, encode(JobRecord{spec, time_.wall(), time_.wall()}));
  mirror_.commit(Rank::binding, cancel,
                 [](const CommitResult& r) { EXPECT_EQ(r.fate, Fate::done); });
  time_.advance(Span{1'000});
  EXPECT_TRUE(store_.get(job->key)) << "its task is bound, though the watch has not told it yet";
  run(Span{1'000});
  EXPECT_TRUE(store_.get(job->key));
  set_task("req-1", TaskRecord{});
  run(Span{1'000});
  EXPECT_TRUE(store_.get(keys::final_job(spec.uid)));
}

// Team at its limit, a change of leader, a machine that can't be asked, and a cancellation.
TEST_F(LeaderChangeTest, ACancelledTaskCountsAgainstTheLimitUntilProof) {
  machine("vm-1");
  machine("vm-2");
  const JobSpec cancelled = testing::gang("req-1", 1, 2, 600);
  store_.put(keys::job(cancelled.uid), encode(JobRecord{cancelled, time_.wall(), time_.wall()}));
  set_task("req-1", bound("vm-1"));
  begin();
  submit(testing::gang("req-2", 1, 1, 60));
  run(Span{5'000});
  EXPECT_TRUE(tasks("req-2").empty());
  EXPECT_TRUE(store_.get(keys::job(cancelled.uid))) << "nor is it over";
  TaskRecord ended;
  ended.attempt = Attempt(1);
  set_task("req-1", ended);
  run(Span{1'000});
  ASSERT_EQ(tasks("req-2").size(), 1U);
  EXPECT_EQ(tasks("req-2")[0].state, TaskState::released);
}

TEST_F(LeaderChangeTest, AReleaseOfAnEarlierTermFailsByTheTerm) {
  machine("vm-1");
  begin();
  const JobSpec first = testing::gang("req-1", 1, 2, 60);
  submit(first);
  store_.scripts = {Script::arrive_late, Script::refuse, Script::refuse, Script::refuse};
  run(Span{100});
  ASSERT_EQ(store_.late.size(), 1U);
  ASSERT_EQ(store_.late[0].puts.at(0).key, keys::slice(first.uid, 0));
  store_.scripts.clear();
  another_leads();
  // Under the other the team's limit is used by another job.
  submit(testing::gang("req-2", 1, 2, 60));
  set_task("req-2", bound("vm-1"));
  run(Span{20});
  EXPECT_EQ(store_.arrive().fate, Fate::conflict);
  it_leads_again();
  run(Span{2'000});
  EXPECT_TRUE(tasks("req-1").empty());
}

// Tasks that nobody can ask about, on machines that are silent, out of reach or in no record.
TEST_F(LeaderChangeTest, TasksOnMachinesThatCannotBeAskedCountUnderANewLeader) {
  two_zones();
  limit(3);
  machine("vm-1");
  machine_in("b", "vm-2", time_.wall());
  machine("vm-9");
  MachineRecord silent;
  silent.host = HostId("vm-3");
  silent.build = "g8";
  silent.zone = ZoneId("a");
  silent.state = MachineState::silent;
  silent.since = time_.wall();
  store_.put_machine(silent);
  store_.put(keys::block(ZoneId("b")), encode(BlockRecord{ZoneId("b"), NodeId("me"), Nonce(7), 1}));
  int n = 1;
  for (const std::string host : {"vm-2", "vm-3", "vm-lost"}) {
    const std::string uid = "req-" + std::to_string(n++);
    submit(testing::gang(uid, 1, 1, 600));
    TaskRecord task = bound(host);
    if (host == "vm-2") task.zone = ZoneId("b");
    set_task(uid, task);
  }
  begin();
  granting_.out_of_reach(NodeId("me"), {ZoneId("b")});
  submit(testing::gang("req-9", 1, 1, 60));
  run(Span{3'000});
  EXPECT_TRUE(tasks("req-9").empty()) << "the team's three GPUs are taken";
  for (const std::string uid : {"req-1", "req-2", "req-3"}) {
    EXPECT_EQ(tasks(uid).at(0).state, TaskState::bound) << uid;
  }
}

TEST_F(LeaderChangeTest, TogetherAndSpreadCountTasksOnMachinesThatNoRecordKnows) {
  two_zones();
  limit(100);
  machine("vm-1");  // in zone a
  JobSpec together = testing::batch("req-1", 2, 1, 60);
  together.together = true;
  JobSpec spread = testing::batch("req-2", 2, 1, 60);
  spread.spread = true;
  int n = 1;
  for (const std::string zone : {"b", "a"}) {
    SliceRecord slice;
    slice.uid = Uid("req-" + std::to_string(n++));
    slice.tasks = {bound("vm-lost-" + zone), TaskRecord{}};
    slice.tasks[0].zone = ZoneId(zone);
    store_.put(keys::slice(slice.uid, 0), encode(slice));
  }
  submit(together);
  submit(spread);
  begin();
  run(Span{3'000});
  EXPECT_EQ(tasks("req-1").at(1).state, TaskState::idle) << "its other task is in zone b";
  EXPECT_EQ(tasks("req-2").at(1).state, TaskState::idle) << "zone a has its half";
  machine_in("b", "vm-2", time_.wall());
  run(Span{3'000});
  EXPECT_EQ(tasks("req-1").at(1).zone, ZoneId("b"));
  EXPECT_EQ(tasks("req-2").at(1).zone, ZoneId("b"));
}

TEST_F(LeaderChangeTest, MachinesAreHiredInTheZoneToWhichAJobIsBound) {
  two_zones();
  limit(100);
  machine("vm-1");
  JobSpec district = testing::gang("req-1", 4, 4, 60);
  district.district = ZoneId("b");
  submit(district);
  // An array whose other task still stands in zone b, as far as is known.
  JobSpec together = testing::batch("req-2", 2, 8, 60);
  together.together = true;
  submit(together);
  SliceRecord slice;
  slice.uid = together.uid;
  slice.tasks = {bound("vm-lost"), TaskRecord{}};
  slice.tasks[0].zone = ZoneId("b");
  store_.put(keys::slice(slice.uid, 0), encode(slice));
  cloud_.rents = true;
  begin();
  run(Span{5'000});
  ASSERT_FALSE(cloud_.hired_in.empty());
  for (const ZoneId& zone : cloud_.hired_in) EXPECT_EQ(zone, ZoneId("b"));
  std::size_t hosts = 0;
  for (const auto& [name, rented] : cloud_.rented) hosts += rented.size();
  EXPECT_GE(hosts, 3U) << "two for the gang, one for the array";
}

}  // namespace
}  // namespace marblevale
