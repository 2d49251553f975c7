// A worker that follows the published protocol: sessions, leases, orders and heartbeats.
#pragma once

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

  SimulatedWorker(std::string name, std::string zone)
      : name_(std::move(name)), zone_(std::move(zone)) {}

  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  [[nodiscard]] const std::map<std::pair<std::string, std::uint64_t>, Task>& tasks() const {
    return tasks_;
  }
  SteadyTime next_heartbeat;

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

  void on_answer(const HeartbeatReply& answer, SteadyTime now, RandomSource& random) {
    json::Document doc;
    if (answer.status != 200 || !json::parse(doc, answer.body)) return;
    const auto token = json::count(doc, "warrant");
    if (!token || *token < token_) return;
    token_ = *token;
    last_answered_ = now;
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
    if (now - last_answered_ <= lease) return;
    tasks_.clear();
    ++session_;
    last_answered_ = now;
  }

 private:
  void execute(const json::Document& doc, SteadyTime now, RandomSource& random) {
    for (const auto& order : json::list(doc, "orders")->GetArray()) {
      const std::pair id{*json::text(order, "part"), *json::count(order, "try")};
      const std::string verb = *json::text(order, "verb");
      const auto it = tasks_.find(id);
      if (verb == "start" && it == tasks_.end()) {
        tasks_[id] = {false, "", now + random.span(1'000, 5'000)};
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
  std::map<std::pair<std::string, std::uint64_t>, Task> tasks_;
};

}  // namespace marblevale::testing
