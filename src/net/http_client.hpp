// An HTTP client on evhttp for one server: a few connections with one request on each at a time, a
// deadline for every request, and a bounded queue.
#pragma once

#include <event2/http.h>

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "core/address.hpp"
#include "core/time.hpp"
#include "net/loop.hpp"

namespace marblevale {

/// How a request ended. With `no_answer`, the server may have executed the request or may still
/// execute it. With `never_sent`, the request did not leave this process.
enum class HttpOutcome { answered, no_answer, never_sent };

struct HttpReply {
  HttpOutcome outcome = HttpOutcome::no_answer;
  int status = 0;  // HTTP status code; 0 unless `answered`
  std::string body;

  [[nodiscard]] bool answered() const { return outcome == HttpOutcome::answered; }
  static HttpReply answer(int status, std::string body) {
    return {HttpOutcome::answered, status, std::move(body)};
  }
  static HttpReply no_answer() { return {}; }
  static HttpReply never_sent() { return {HttpOutcome::never_sent, 0, {}}; }
};

using HttpHandler = std::function<void(const HttpReply&)>;

struct HttpCall {
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string path;
  std::string body;
  std::string content_type = "application/json";
  Duration deadline{2000};
};

/// Calls each handler once, with the answer or with the reason why there is none. The deadline of a
/// request counts from `send`. A request that waits in the queue until its deadline ends with
/// `never_sent`. When it gets a connection before, its deadline starts again. When the queue is
/// full, a request ends with `never_sent` at once.
class HttpClient {
 public:
  HttpClient(Loop& loop, Address server, std::size_t connections, std::size_t queue_limit);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void send(HttpCall call, HttpHandler handler);
  /// True when no request is queued or in flight.
  [[nodiscard]] bool idle() const;
  /// The bytes of the bodies of the requests that wait for a connection.
  [[nodiscard]] std::size_t queued_bytes() const;

 private:
  struct Connection;
  struct QueuedRequest {
    HttpCall call;
    HttpHandler handler;
    std::unique_ptr<Timer> deadline;
  };
  enum class RequestEnd { answered, broken, timed_out };

  void send_on(Connection& connection, const HttpCall& call, HttpHandler handler);
  static void finish_response(evhttp_request* request, Connection& connection);
  void finish(Connection& connection, const HttpReply& reply, RequestEnd end);
  void dispatch_queue();

  Loop& loop_;
  Address server_;
  std::size_t queue_limit_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::list<QueuedRequest> queue_;
  Timer dispatch_timer_;
};

}  // namespace marblevale
