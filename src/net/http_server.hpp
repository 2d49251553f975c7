// An HTTP server on evhttp. A handler answers its request through a `Responder`, at once or later.
#pragma once

#include <event2/http.h>

#include <functional>
#include <memory>
#include <optional>
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

/// Answers one request. A responder may outlive the connection. When it is destroyed before a
/// reply, it answers 503.
class Responder {
 public:
  explicit Responder(evhttp_request* request);
  ~Responder();
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;
  /// Only the first call has an effect. A positive `retry_after_s` becomes the Retry-After header.
  void reply(int status, std::string_view body, std::optional<int> retry_after_s = std::nullopt);

 private:
  evhttp_request* request_;  // null after the reply
};

using ResponderPtr = std::shared_ptr<Responder>;

class HttpServer {
 public:
  using Handler = std::function<void(const HttpRequest&, ResponderPtr)>;
  /// Throws std::runtime_error when the address can't be bound.
  HttpServer(Loop& loop, const Address& address, Handler handler);

 private:
  static HttpRequest parse(evhttp_request* request);

  Handler handler_;
  std::unique_ptr<evhttp, decltype(&evhttp_free)> http_;
};

}  // namespace marblevale
