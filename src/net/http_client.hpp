// HTTP client on evhttp: a few connections per endpoint, one request on each at a time, a deadline
// for every request and a bounded queue. A request that got no answer is reported with status 0:
// whether it was carried out is then unknown.
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

struct HttpReply {
  int status = 0;           // 0: no answer
  bool never_sent = false;  // the request did not leave this process
  std::string body;
};

using HttpHandler = std::function<void(const HttpReply&)>;

struct HttpCall {
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string path;
  std::string body;
  std::string content_type = "application/json";
  Duration deadline{2000};
};

class HttpClient {
 public:
  HttpClient(Loop& loop, Address to, std::size_t connections, std::size_t queue_limit);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void send(HttpCall call, HttpHandler handler);
  [[nodiscard]] bool idle() const;

 private:
  struct Connection;
  struct Waiting {
    HttpCall call;
    HttpHandler handler;
    std::unique_ptr<Timer> expiry;
  };
  enum class Ending { answered, broken, timed_out };

  void begin(Connection& connection, Waiting next);
  void finish(Connection& connection, HttpReply reply, Ending ending);
  void pump();

  Loop& loop_;
  Address to_;
  std::size_t queue_limit_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::list<Waiting> queue_;
  Timer pump_later_;
};

}  // namespace marblevale
