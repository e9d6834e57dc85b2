/// \file
/// Defines CurlExchange, one HTTP call on a libcurl handle: sets up the handle
/// and derives from its result how far the call got.
#ifndef BANYANWORKS_EDGE_CURLEXCHANGE_H
#define BANYANWORKS_EDGE_CURLEXCHANGE_H

#include "edge/Http.h"

#include <cstdint>
#include <string>

#include <curl/curl.h>

namespace banyanworks {

struct HttpCall;

/// Must outlive the transfer on the handle.
class CurlExchange {
public:
  CurlExchange(CURL *Handle, const HttpCall &Call);
  ~CurlExchange();
  CurlExchange(const CurlExchange &) = delete;
  CurlExchange &operator=(const CurlExchange &) = delete;

  /// The result of a call that ended with \p Code. Call once.
  HttpCallResult takeResult(CURLcode Code);
  /// Including headers; valid after takeResult().
  std::uint64_t bytesSent() const { return BytesSent; }
  std::uint64_t bytesReceived() const { return BytesReceived; }

private:
  static int onSend(void *Context, char *, char *, int, int);

  CURL *Handle;
  bool SendOnce;
  std::uint32_t SendCount = 0;
  curl_slist *Headers;
  HttpCallResult Answer;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
};

} // namespace banyanworks

#endif
