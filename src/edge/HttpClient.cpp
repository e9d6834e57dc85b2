/// \file
/// Implements HttpClient on libcurl. The client of ulfius is based on libcurl
/// too, but hides how far a call got and opens a connection for each call.
#include "edge/HttpClient.h"

#include "edge/CurlExchange.h"

#include <atomic>
#include <mutex>
#include <vector>

#include <curl/curl.h>

namespace banyanworks {

namespace {

constexpr std::size_t MaxIdleHandles = 64;

/// Progress callback, which libcurl calls at least once a second; a non-zero
/// result aborts the call.
int isAborted(void *Aborted, curl_off_t, curl_off_t, curl_off_t, curl_off_t) {
  return static_cast<std::atomic<bool> *>(Aborted)->load() ? 1 : 0;
}

} // namespace

struct HttpClient::Impl {
  std::mutex Lock;
  std::vector<CURL *> IdleHandles;
  std::atomic<bool> Aborted = false;
  std::atomic<std::uint64_t> BytesSent = 0;
  std::atomic<std::uint64_t> BytesReceived = 0;

  CURL *acquireHandle();
  void releaseHandle(CURL *Handle);
};

CURL *HttpClient::Impl::acquireHandle() {
  std::lock_guard Guard(Lock);
  if (IdleHandles.empty())
    return curl_easy_init();
  CURL *Handle = IdleHandles.back();
  IdleHandles.pop_back();
  return Handle;
}

void HttpClient::Impl::releaseHandle(CURL *Handle) {
  curl_easy_reset(Handle);
  {
    std::lock_guard Guard(Lock);
    if (IdleHandles.size() < MaxIdleHandles) {
      IdleHandles.push_back(Handle);
      return;
    }
  }
  curl_easy_cleanup(Handle);
}

HttpClient::HttpClient() : Self(std::make_unique<Impl>()) {
  static const CURLcode Initialized = curl_global_init(CURL_GLOBAL_ALL);
  static_cast<void>(Initialized);
}

HttpClient::~HttpClient() {
  for (CURL *Handle : Self->IdleHandles)
    curl_easy_cleanup(Handle);
}

HttpCallResult HttpClient::call(const HttpCall &Call) {
  CURL *Handle = Self->acquireHandle();
  HttpCallResult Answer;
  {
    CurlExchange Exchange(Handle, Call);
    curl_easy_setopt(Handle, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(Handle, CURLOPT_XFERINFOFUNCTION, &isAborted);
    curl_easy_setopt(Handle, CURLOPT_XFERINFODATA, &Self->Aborted);
    Answer = Exchange.takeResult(curl_easy_perform(Handle));
    Self->BytesSent += Exchange.bytesSent();
    Self->BytesReceived += Exchange.bytesReceived();
  }
  Self->releaseHandle(Handle);
  return Answer;
}

void HttpClient::abort() { Self->Aborted = true; }

std::uint64_t HttpClient::bytesSent() const { return Self->BytesSent; }
std::uint64_t HttpClient::bytesReceived() const { return Self->BytesReceived; }

} // namespace banyanworks
