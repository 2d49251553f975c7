// The validation of a job's description reports the first field that is missing or invalid, and
// which of the two faults it has.
#include "protocol/job_spec.hpp"

#include <gtest/gtest.h>

namespace marblevale {
namespace {

JobSpecError error_in(const char* text) {
  json::Document document;
  EXPECT_TRUE(json::parse(document, text));
  const auto parsed = parse_job(document);
  EXPECT_TRUE(std::holds_alternative<JobSpecError>(parsed)) << text;
  return std::holds_alternative<JobSpecError>(parsed) ? std::get<JobSpecError>(parsed)
                                                      : JobSpecError{};
}

TEST(JobSpecValidation, DistinguishesAMissingFieldFromAnInvalidOne) {
  const JobSpecError missing = error_in(R"({"uid":"req-1","workclass":null})");
  EXPECT_STREQ(missing.field, "workclass");
  EXPECT_EQ(missing.fault, JobSpecError::Fault::missing);
  EXPECT_EQ(missing.message(), "workclass: missing or invalid");

  const JobSpecError invalid = error_in(R"({"uid":"req-1","workclass":"c","crew":7})");
  EXPECT_STREQ(invalid.field, "crew");
  EXPECT_EQ(invalid.fault, JobSpecError::Fault::invalid);
  EXPECT_EQ(invalid.message(), "crew: missing or invalid");
}

TEST(JobSpecValidation, NamesTheFirstOfSeveralFaults) {
  const JobSpecError error = error_in(R"({"crew":"a","uid":"req-","shape":"circle"})");
  EXPECT_STREQ(error.field, "uid");
  EXPECT_EQ(error.fault, JobSpecError::Fault::invalid);
}

}  // namespace
}  // namespace marblevale
