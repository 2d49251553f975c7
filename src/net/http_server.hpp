// HTTP server on evhttp. Handlers answer now or later through a Responder; a Responder outlives the
// connection safely, and one that is dropped without an answer answers 503.
#pragma once

#include <event2/http.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/http_client.hpp"
#include "net/loop.hpp"

namespace marblevale {

struct HttpRequest {
  evhttp_cmd_type method;
  std::string path;  // without the query
  std::string body;
};

class Responder {
 public:
  explicit Responder(evhttp_request* request);
  ~Responder();
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;
  void reply(int status, std::string_view body, int retry_after_s = 0);

 private:
  evhttp_request* request_;
};

using ResponderPtr = std::shared_ptr<Responder>;

class HttpServer {
 public:
  using Handler = std::function<void(const HttpRequest&, ResponderPtr)>;
  /// Throws when the address can't be bound.
  HttpServer(Loop& loop, const Address& at, Handler handler);

 private:
  Handler handler_;
  std::unique_ptr<evhttp, decltype(&evhttp_free)> http_;
};

}  // namespace marblevale
