// A worker that follows the published protocol: sessions, leases, orders and heartbeats.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "protocol/json.hpp"
#include "shards/shard_holder.hpp"
#include "support/event_queue.hpp"

namespace marblevale::testing {

/// The worker of one machine. It executes its holder's orders and rejects orders with an old
/// fencing token or for another session. When its lease expires, it drops all tasks and begins a
/// new session.
class SimulatedWorker {
 public:
  struct Task {
    bool ended = false;
    std::string cause;
    SteadyTime until;  // planned end while the task runs, actual end afterwards
  };

  /// Answers to heartbeats are dropped after this time.
  static constexpr Duration kAnswerTimeout{4'000};

  SimulatedWorker(std::string name, std::string zone)
      : name_(std::move(name)), zone_(std::move(zone)) {}

  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  [[nodiscard]] const std::map<std::pair<std::string, std::uint64_t>, Task>& tasks() const {
    return tasks_;
  }
  SteadyTime next_heartbeat;
  Duration min_run{1'000};
  Duration max_run{5'000};
  /// Called when the worker executes a start that it does not know, with the task and its attempt.
  std::function<void(const std::string& task_id, std::uint64_t attempt)> on_start;

  [[nodiscard]] std::uint64_t session() const { return session_; }
  /// The machine hangs until then: it sends no heartbeats, and orders to it wait.
  void hang(SteadyTime until) { hangs_until_ = until; }
  [[nodiscard]] bool hangs(SteadyTime now) const { return now < hangs_until_; }
  [[nodiscard]] SteadyTime hangs_until() const { return hangs_until_; }
  /// The machine is back after it lost its tasks.
  void begin_session(SteadyTime now) {
    tasks_.clear();
    ++session_;
    last_answered_ = now;
  }

  std::string heartbeat() {
    json::Writer out;
    out.open()
        .put("host", name_)
        .put("address", name_)
        .put("build", "g8")
        .put("district", zone_)
        .put("loaners", false)
        .put("tenure", session_)
        .put("tally", ++sequence_)
        .put("warrant", token_);
    out.key("parts").open_list();
    for (const auto& [id, task] : tasks_) {
      out.open().put("part", id.first).put("try", id.second);
      out.put("status", task.ended ? "ended" : "running");
      if (task.ended) out.put("cause", task.cause);
      out.close();
    }
    out.close_list();
    out.close();
    return out.str();
  }

  /// The time and session in which a heartbeat was sent.
  struct SentHeartbeat {
    SteadyTime at;
    std::uint64_t session = 0;
  };
  [[nodiscard]] SentHeartbeat sent_at(SteadyTime now) const { return {now, session_}; }

  /// Handles the answer to the heartbeat that was sent last. The worker waits for it for
  /// `kAnswerTimeout`, and does not send another heartbeat meanwhile.
  void on_answer(const HeartbeatReply& answer, const SentHeartbeat& sent, SteadyTime now,
                 RandomSource& random) {
    if (sent.session != session_ || now - sent.at > kAnswerTimeout) return;
    json::Document doc;
    if (answer.status != 200 || !json::parse(doc, answer.body)) return;
    const auto token = json::count(doc, "warrant");
    if (!token || *token < token_) return;
    token_ = *token;
    last_answered_ = std::max(last_answered_, sent.at);
    execute(doc, now, random);
  }

  /// Executes a direct order; returns the HTTP status of the answer.
  int on_order(const std::string& body, SteadyTime now, RandomSource& random) {
    json::Document doc;
    if (!json::parse(doc, body)) return 400;
    if (*json::count(doc, "warrant") < token_ || *json::count(doc, "tenure") != session_) {
      return 409;
    }
    token_ = *json::count(doc, "warrant");
    execute(doc, now, random);
    return 200;
  }

  void step(SteadyTime now, Duration lease) {
    for (auto& [id, task] : tasks_) {
      if (!task.ended && now >= task.until) task = {true, "done", now};
    }
    if (last_answered_ == SteadyTime{}) last_answered_ = now;
    if (now - last_answered_ > lease) begin_session(now);
  }

 private:
  void execute(const json::Document& doc, SteadyTime now, RandomSource& random) {
    for (const auto& order : json::list(doc, "orders")->GetArray()) {
      const std::pair id{*json::text(order, "part"), *json::count(order, "try")};
      const std::string verb = *json::text(order, "verb");
      const auto it = tasks_.find(id);
      if (verb == "start" && it == tasks_.end()) {
        tasks_[id] = {false, "", now + random.span(min_run.count(), max_run.count())};
        if (on_start) on_start(id.first, id.second);
      } else if (verb == "kill" && it != tasks_.end() && !it->second.ended) {
        it->second = {true, "halted", now};
      } else if (verb == "clear" && it != tasks_.end() && it->second.ended) {
        tasks_.erase(it);
      }
    }
  }

  std::string name_;
  std::string zone_;
  std::uint64_t session_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t token_ = 0;
  SteadyTime last_answered_{};
  SteadyTime hangs_until_{};
  std::map<std::pair<std::string, std::uint64_t>, Task> tasks_;
};

}  // namespace marblevale::testing
