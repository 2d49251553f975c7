#include "app/command_line.hpp"

#include <CLI/CLI.hpp>
#include <cstdint>

namespace marblevale {

namespace {

/// The targets of the tuning options. The parser reads durations as numbers of milliseconds.
struct TuningOptions {
  Tuning tuning;
  std::int64_t round_budget_ms = tuning.round_budget.count();
  std::int64_t shard_lease_ms = tuning.shard_lease.count();
  std::int64_t session_lease_ms = tuning.session_lease.count();
  std::int64_t idle_return_ms = tuning.idle_return.count();

  [[nodiscard]] Tuning result() const {
    Tuning parsed = tuning;
    parsed.round_budget = Duration{round_budget_ms};
    parsed.shard_lease = Duration{shard_lease_ms};
    parsed.session_lease = Duration{session_lease_ms};
    parsed.idle_return = Duration{idle_return_ms};
    return parsed;
  }
};

void add_tuning_options(CLI::App& app, TuningOptions& options) {
  app.add_option("--round-budget-ms", options.round_budget_ms,
                 "time limit of one round of decisions")
      ->envname("MARBLEVALE_ROUND_BUDGET_MS")
      ->check(CLI::Range(1, 10'000));
  app.add_option("--block-lease-ms", options.shard_lease_ms, "lease of shards (blocks of machines)")
      ->envname("MARBLEVALE_BLOCK_LEASE_MS")
      ->check(CLI::Range(1'000, 600'000));
  app.add_option("--session-lease-ms", options.session_lease_ms, "lease of liveness and leadership")
      ->envname("MARBLEVALE_SESSION_LEASE_MS")
      ->check(CLI::Range(1'000, 600'000));
  app.add_option("--idle-return-ms", options.idle_return_ms,
                 "idle time after which a machine is returned to the cloud")
      ->envname("MARBLEVALE_IDLE_RETURN_MS")
      ->check(CLI::Range(1'000, 86'400'000));
  app.add_option("--max-open-jobs", options.tuning.max_open_jobs,
                 "unfinished jobs at which no further job is accepted")
      ->envname("MARBLEVALE_MAX_OPEN_JOBS")
      ->check(CLI::Range(1, 1'000'000));
}

CLI::App* add_explain_command(CLI::App& app, ExplainJobCommand& command) {
  command.controller_address = "127.0.0.1:8080";
  auto* subcommand = app.add_subcommand("why", "explain why a job waits, waited or was moved");
  subcommand->add_option("id", command.job_id, "the job")->required();
  subcommand->add_option("--at", command.controller_address, "a controller's address for users")
      ->envname("MARBLEVALE_AT");
  return subcommand;
}

}  // namespace

Command parse_command_line(int argc, const char* const* argv, const std::string& version) {
  CLI::App app{"marblevale: a cluster scheduler that grants every job a start"};
  app.set_version_flag("--version", "marblevale " + version);
  std::string settings_path;
  bool check_only = false;
  TuningOptions tuning;
  ExplainJobCommand explain;
  app.add_option("--config", settings_path, "settings file (TOML)")->envname("MARBLEVALE_CONFIG");
  app.add_flag("--check", check_only, "check the settings and exit");
  add_tuning_options(app, tuning);
  const CLI::App* explain_command = add_explain_command(app, explain);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return ExitCommand{app.exit(error) == 0 ? 0 : kInvalidSettingsExit};
  }
  if (explain_command->parsed()) return explain;
  if (check_only) return CheckSettingsCommand{settings_path};
  return ServeCommand{settings_path, tuning.result()};
}

}  // namespace marblevale
