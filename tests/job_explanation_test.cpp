// The explanation of a job (`why`): its guarantee, its notes and repeated failures.
#include "api/job_explanation.hpp"

#include "support/job_api_fixture.hpp"

namespace marblevale {
namespace {

using testing::kJobBody;
using testing::UserRequest;

class JobExplanationTest : public testing::JobApiTest {};

TEST_F(JobExplanationTest, WhyReportsAJobThatFailsOnEveryMachine) {
  submit(kJobBody);
  SliceRecord slice;
  slice.job_id = JobId("req-000412");
  slice.tasks.resize(2);
  for (TaskRecord& task : slice.tasks) {
    task.failure_count = 2;
    task.since = clock_.wall();
  }
  slice.tasks[0].failed_on = MachineId("vm-1");
  slice.tasks[1].failed_on = MachineId("vm-2");
  store_.put(keys::slice(slice.job_id, 0), encode(slice));
  step();
  const UserAnswer failing = send(UserRequest::explain, "req-000412");
  EXPECT_NE(failing.body.find("\"faults\":4"), std::string::npos) << failing.body;
  EXPECT_NE(failing.body.find("\"failed_machines\":2"), std::string::npos);
  json::Document doc;
  ASSERT_TRUE(json::parse(doc, failing.body));
  EXPECT_NEAR(json::number(doc, "retry_in_s").value_or(0), 4.0, 0.5) << "after the second failure";
  EXPECT_NE(format_explanation(failing.body)
                .find("failed 4 times, on at least 2 machines, and none has "
                      "worked: probably a mistake in the job; tried again in"),
            std::string::npos)
      << format_explanation(failing.body);
  // If any task has made progress, the failures do not suggest a mistake in the job.
  slice.tasks[0].progress = Duration{10'000};
  store_.put(keys::slice(slice.job_id, 0), encode(slice));
  step();
  EXPECT_EQ(send(UserRequest::explain, "req-000412").body.find("mistake"), std::string::npos);
}

TEST_F(JobExplanationTest, WhyReportsTheGuaranteeAndItsHistory) {
  submit(kJobBody);
  GuaranteeRecord guarantee_record;
  guarantee_record.job_id = JobId("req-000412");
  guarantee_record.guarantees = {
      {0, clock_.wall() + Duration{5000}, clock_.wall() + Duration{9000}, {}}};
  guarantee_record.note(clock_.wall(), "displaced for req-7 (urgent)");
  store_.put(keys::guarantee_record(guarantee_record.job_id),
             encode(guarantee_record, testing::kValueBytes));
  store_.deliver_watch_events();
  UserAnswer out = unanswered();
  api_->explain("req-000412", [&](const UserAnswer& a) { out = a; });
  wait_for_answer(out);
  EXPECT_EQ(out.status, 200);
  EXPECT_NE(out.body.find("\"granted_start_s\":5.0"), std::string::npos) << out.body;
  EXPECT_NE(out.body.find("displaced for req-7"), std::string::npos);
  api_->explain("req-2", [&](const UserAnswer& a) { out = a; });
  EXPECT_EQ(out.status, 404);
}

}  // namespace
}  // namespace marblevale
