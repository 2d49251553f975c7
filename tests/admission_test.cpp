// The users' interface against a scripted state service.
#include "admission/admission.hpp"

#include "helpers.hpp"
#include "scripted_store.hpp"

namespace marblevale {
namespace {

using testing::FakeTime;
using testing::ScriptedStore;
using Script = ScriptedStore::Script;

const char* const kJob =
    R"({"uid":"req-000412","workclass":"train","crew":"vision","shape":"ensemble",
        "urgency":"urgent","parts":2,"cpus":8.0,"accelerators":1.0,"memory_gb":64.0,
        "bundle":"img-07","image_gb":6.2,"builds":["g8"],"district":null,"together":true,
        "spread":false,"loaners":true,"expect_s":240.0,"snapshot_s":30.0,"stash_s":4.0,
        "due_s":900.0,"unheard_of":[1,{}]})";

std::string changed(const std::string& from, const std::string& to) {
  std::string text = kJob;
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

class AdmissionTest : public ::testing::Test {
 protected:
  AdmissionTest() : mirror_(loop_, clock_, store_, 1), cancellations_(clock_, mirror_) {
    Team team;
    team.name = TeamId("vision");
    team.gpus_max = 4;
    settings_.teams.push_back(team);
    MachineType type;
    type.name = "g8";
    type.room = {96, 8, 768};
    type.zones = {ZoneId("a")};
    store_.put(keys::kTypes, encode(std::vector<MachineType>{type}));
    mirror_.begin();
    admission_ = std::make_unique<Admission>(clock_, settings_, store_, mirror_, cancellations_);
  }

  UserAnswer submit(const std::string& body) {
    UserAnswer out;
    out.status = 0;
    admission_->submit(body, [&out](const UserAnswer& a) { out = a; });
    settle(out);
    return out;
  }
  UserAnswer query(const std::string& uid) {
    UserAnswer out;
    out.status = 0;
    admission_->query(uid, [&out](const UserAnswer& a) { out = a; });
    settle(out);
    return out;
  }
  UserAnswer abort(const std::string& uid) {
    UserAnswer out;
    out.status = 0;
    admission_->abort(uid, [&out](const UserAnswer& a) { out = a; });
    settle(out);
    return out;
  }
  /// Time passes, and the watch tells what there is, until the answer has come.
  void settle(const UserAnswer& out) {
    for (int i = 0; i < 20 && out.status == 0; ++i) {
      clock_.advance(Span{50});
      store_.tell_watch();
    }
  }
  void finish(FinalState state) {
    FinalRecord record;
    record.uid = Uid("req-000412");
    record.state = state;
    record.parts = 2;
    Txn txn;
    txn.put(keys::final_job(record.uid), encode(record)).remove(keys::job(record.uid));
    store_.commit(Rank::binding, txn, [](const CommitResult&) {});
  }

  FakeTime clock_;
  Loop loop_{&clock_};
  Settings settings_;
  ScriptedStore store_;
  Mirror mirror_;
  Cancellations cancellations_;
  std::unique_ptr<Admission> admission_;
};

TEST_F(AdmissionTest, AnswersOnlyAfterTheCommit) {
  store_.hold = true;
  int status = 0;
  admission_->submit(kJob, [&](const UserAnswer& a) { status = a.status; });
  EXPECT_EQ(status, 0);
  store_.deliver_all();
  EXPECT_EQ(status, 201);
  EXPECT_TRUE(store_.get(keys::job(Uid("req-000412"))));
}

TEST_F(AdmissionTest, ARefusedCommitIs503WithATimeToComeBack) {
  store_.scripts = {Script::refuse};
  const auto answer = submit(kJob);
  EXPECT_EQ(answer.status, 503);
  EXPECT_GT(answer.retry_after_s, 0);
  EXPECT_FALSE(store_.get(keys::job(Uid("req-000412"))));
}

TEST_F(AdmissionTest, AnUnknownCommitIsSettledByRepeatingIt) {
  store_.scripts = {Script::lose_answer};
  EXPECT_EQ(submit(kJob).status, 200);  // the repetition finds what the first one did
  store_.scripts = {};
  finish(FinalState::done);
  store_.scripts = {Script::lose_request};
  EXPECT_EQ(submit(kJob).status, 200);  // long over, still known
}

TEST_F(AdmissionTest, ALateSubmissionCannotBringBackAFinishedJob) {
  store_.scripts = {Script::arrive_late};
  EXPECT_EQ(submit(kJob).status, 201);  // the repetition was accepted
  finish(FinalState::done);
  EXPECT_EQ(store_.arrive().fate, Fate::conflict);
  EXPECT_FALSE(store_.get(keys::job(Uid("req-000412"))));
}

TEST_F(AdmissionTest, AKnownJobGets200BeforeItsBodyIsJudged) {
  EXPECT_EQ(submit(kJob).status, 201);
  EXPECT_EQ(submit(changed("\"parts\":2", "\"parts\":0")).status, 200);
  EXPECT_EQ(submit(changed("\"vision\"", "\"nobody\"")).status, 200);
  finish(FinalState::cancelled);
  const auto answer = submit(changed("\"parts\":2", "\"parts\":0"));
  EXPECT_EQ(answer.status, 200);
  EXPECT_NE(answer.body.find("cancelled"), std::string::npos);
}

TEST_F(AdmissionTest, BadBodiesAre400) {
  for (const std::string& body :
       {std::string("nonsense"), std::string("[1]"), std::string("{}"),
        changed("req-000412", "job-000412"), changed("\"parts\":2", "\"parts\":0"),
        changed("\"parts\":2", "\"parts\":100001"), changed("\"parts\":2", "\"parts\":2.5"),
        changed("\"cpus\":8.0", "\"cpus\":-1"), changed("\"cpus\":8.0", "\"cpus\":1e300"),
        changed("\"cpus\":8.0", "\"cpus\":\"8\""), changed("\"cpus\":8.0", "\"cpus\":1e999"),
        changed("ensemble", "herd"), changed("\"urgent\"", "\"yesterday\""),
        changed("\"expect_s\":240.0,", ""), changed("\"together\":true", "\"together\":1"),
        changed("[\"g8\"]", "[8]"), std::string(70'000, ' ')}) {
    EXPECT_EQ(submit(body).status, 400) << body.substr(0, 120);
  }
  EXPECT_TRUE(mirror_.records().jobs.empty());
}

TEST_F(AdmissionTest, WhatCanNeverRunIs422) {
  EXPECT_EQ(submit(changed("\"vision\"", "\"nobody\"")).status, 422);
  EXPECT_EQ(submit(changed("\"accelerators\":1.0", "\"accelerators\":3.0")).status, 422);
  EXPECT_EQ(submit(changed("\"cpus\":8.0", "\"cpus\":97.0")).status, 422);
  EXPECT_EQ(submit(changed("[\"g8\"]", "[\"g9\"]")).status, 422);
  EXPECT_EQ(submit(changed("\"district\":null", "\"district\":\"b\"")).status, 422);
  // An array needs room in the limit for one task only.
  std::string array = changed("ensemble", "batch");
  array.replace(array.find("\"accelerators\":1.0"), 18, "\"accelerators\":3.0");
  EXPECT_EQ(submit(array).status, 201);
}

TEST_F(AdmissionTest, UnknownJobsGet404OnlyAfterASuccessfulRead) {
  EXPECT_EQ(query("req-1").status, 404);
  store_.down = true;
  EXPECT_EQ(query("req-1").status, 503);
  EXPECT_EQ(query("nonsense").status, 404);
}

// Found by a day with delayed packets: a question that joined a read sent before it was answered
// with a state older than the one that another controller had told its user meanwhile.
TEST_F(AdmissionTest, AQuestionIsNeverAnsweredByAReadThatWasSentBeforeIt) {
  json::Document doc;
  std::string why;
  ASSERT_TRUE(json::parse(doc, kJob));
  // Accepted by another controller a moment ago: this one's copy does not have it yet.
  store_.put(keys::job(Uid("req-000412")),
             encode(JobRecord{*parse_job(doc, why), clock_.wall(), std::nullopt}));
  store_.hold = true;
  std::string first;
  std::string second;
  admission_->query("req-000412", [&](const UserAnswer& a) { first = a.body; });
  store_.hold = false;
  finish(FinalState::done);
  admission_->query("req-000412", [&](const UserAnswer& a) { second = a.body; });
  EXPECT_EQ(second, "");
  store_.deliver_all();
  EXPECT_NE(first.find("queued"), std::string::npos);
  EXPECT_NE(second.find("done"), std::string::npos);
}

TEST_F(AdmissionTest, AQuestionWaitsForAWatchThatWasOpenedAfterIt) {
  EXPECT_EQ(submit(kJob).status, 201);
  clock_.advance(Span{10});
  UserAnswer out;
  out.status = 0;
  admission_->query("req-000412", [&](const UserAnswer& a) { out = a; });
  store_.tell_watch();  // opened before the question: what it does not tell may have happened since
  EXPECT_EQ(out.status, 0);
  finish(FinalState::done);
  settle(out);
  EXPECT_NE(out.body.find("done"), std::string::npos);
  // No question waits for ever: a watch that does not answer costs a 503.
  UserAnswer late;
  late.status = 0;
  EXPECT_EQ(submit(changed("req-000412", "req-000413")).status, 201);
  admission_->query("req-000413", [&](const UserAnswer& a) { late = a; });
  clock_.advance(Span{2000});
  EXPECT_EQ(late.status, 503);
  EXPECT_GT(late.retry_after_s, 0);
}

TEST_F(AdmissionTest, CancelIsToldOnlyOnceCommittedAndStays) {
  EXPECT_EQ(abort("req-000412").status, 404);
  submit(kJob);
  store_.scripts = {Script::refuse};
  EXPECT_EQ(abort("req-000412").status, 503);
  store_.scripts = {Script::lose_answer};
  const auto answer = abort("req-000412");  // unknown, then read back
  EXPECT_EQ(answer.status, 200);
  EXPECT_NE(answer.body.find("cancelled"), std::string::npos);
  EXPECT_NE(query("req-000412").body.find("cancelled"), std::string::npos);
}

TEST_F(AdmissionTest, CancellingADoneJobTellsDone) {
  submit(kJob);
  finish(FinalState::done);
  EXPECT_NE(abort("req-000412").body.find("done"), std::string::npos);
}

TEST_F(AdmissionTest, WhyTellsTheGuaranteeAndItsHistory) {
  submit(kJob);
  GrantRecord grant;
  grant.uid = Uid("req-000412");
  grant.guarantees = {{0, clock_.wall() + Span{5000}, clock_.wall() + Span{9000}, {}}};
  grant.note(clock_.wall(), "displaced for req-7 (urgent)");
  store_.put(keys::grant(grant.uid), encode(grant));
  store_.tell_watch();
  UserAnswer out;
  out.status = 0;
  admission_->why("req-000412", [&](const UserAnswer& a) { out = a; });
  settle(out);
  EXPECT_EQ(out.status, 200);
  EXPECT_NE(out.body.find("\"granted_start_s\":5.0"), std::string::npos) << out.body;
  EXPECT_NE(out.body.find("displaced for req-7"), std::string::npos);
  admission_->why("req-2", [&](const UserAnswer& a) { out = a; });
  EXPECT_EQ(out.status, 404);
}

// Whatever happened before: once the state service is back, every accepted job is answered for, and
// no bound on questions leaves one of them out when it is asked again.
TEST_F(AdmissionTest, AfterAnOutageEveryAcceptedJobIsAnsweredFor) {
  constexpr int kJobs = 500;
  json::Document doc;
  std::string why;
  for (int i = 0; i < 2 * kJobs; ++i) {
    const std::string uid = "req-" + std::to_string(i);
    ASSERT_TRUE(json::parse(doc, changed("req-000412", uid)));
    if (i < kJobs) {
      store_.put(keys::job(Uid(uid)),
                 encode(JobRecord{*parse_job(doc, why), clock_.wall(), std::nullopt}));
    } else {
      FinalRecord record;
      record.uid = Uid(uid);
      store_.put(keys::final_job(record.uid), encode(record));
    }
  }
  for (int i = 0; i < 10; ++i) {
    clock_.advance(Span{50});
    store_.tell_watch();
  }
  store_.down = true;
  store_.hold = true;
  std::vector<int> status(2 * kJobs, 0);
  const auto ask = [&](int i) {
    admission_->query("req-" + std::to_string(i), [&status, i](const UserAnswer& a) {
      status[static_cast<std::size_t>(i)] = a.status;
    });
  };
  for (int i = 0; i < 2 * kJobs; ++i) ask(i);
  store_.deliver_all();
  clock_.advance(Span{5000});
  for (const int s : status) EXPECT_EQ(s, 503);
  store_.down = store_.hold = false;
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 2 * kJobs; ++i) {
      if (status[static_cast<std::size_t>(i)] != 200) ask(i);
    }
    for (int i = 0; i < 10; ++i) {
      clock_.advance(Span{100});
      store_.tell_watch();
    }
  }
  EXPECT_EQ(std::count(status.begin(), status.end(), 200), 2 * kJobs);
}

}  // namespace
}  // namespace marblevale
