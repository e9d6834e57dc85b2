/// \file
/// Implements CurlExchange.
#include "edge/CurlExchange.h"

#include "edge/HttpClient.h"

#include <algorithm>
#include <cctype>

namespace banyanworks {

namespace {

constexpr long ConnectTimeoutMs = 1000;
constexpr long MaxConnectionsPerHandle = 8;

std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *Target) {
  static_cast<std::string *>(Target)->append(Data, Size * Count);
  return Size * Count;
}

/// Adds a header line "Name: value" to the answer's headers.
std::size_t addHeader(char *Data, std::size_t Size, std::size_t Count,
                      void *Target) {
  std::string Line(Data, Size * Count);
  std::size_t Colon = Line.find(':');
  if (Colon == std::string::npos)
    return Size * Count;
  std::string Name = Line.substr(0, Colon);
  std::transform(Name.begin(), Name.end(), Name.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  std::size_t First = Line.find_first_not_of(" \t", Colon + 1);
  std::size_t Last = Line.find_last_not_of(" \t\r\n");
  if (First != std::string::npos && Last >= First)
    (*static_cast<HttpHeaders *>(Target))[Name] =
        Line.substr(First, Last - First + 1);
  return Size * Count;
}

/// Without a length, an answer that ends with its connection cannot be
/// distinguished from a truncated one.
bool hasKnownLength(const HttpCallResult &Answer) {
  return Answer.Headers.contains("content-length") ||
         Answer.Headers.contains("transfer-encoding") || Answer.Status == 204;
}

curl_slist *headerList(const HttpCall &Call) {
  // Without this header libcurl waits for "100 Continue" before large bodies.
  curl_slist *List = curl_slist_append(nullptr, "Expect:");
  if (!Call.Headers.contains("content-type"))
    List = curl_slist_append(List, "Content-Type: application/json");
  for (const auto &[Name, Value] : Call.Headers) {
    std::string Line = Name;
    Line += ": ";
    Line += Value;
    List = curl_slist_append(List, Line.c_str());
  }
  return List;
}

} // namespace

CurlExchange::CurlExchange(CURL *Handle, const HttpCall &Call)
    : Handle(Handle), SendOnce(Call.SendOnce), Headers(headerList(Call)) {
  std::string Url = "http://" + Call.Address + Call.Path;
  long TimeoutMs = std::max<long>(1, Call.Timeout.count() / 1000);
  curl_easy_setopt(Handle, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Call.Verb.c_str());
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Headers);
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(Handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS, TimeoutMs);
  curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS,
                   std::min(TimeoutMs, ConnectTimeoutMs));
  curl_easy_setopt(Handle, CURLOPT_MAXCONNECTS, MaxConnectionsPerHandle);
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &appendBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Answer.Body);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, &addHeader);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, &Answer.Headers);
  curl_easy_setopt(Handle, CURLOPT_PREREQFUNCTION, &onSend);
  curl_easy_setopt(Handle, CURLOPT_PREREQDATA, this);
  if (!Call.Repeatable)
    curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, 1L);
  if (Call.Verb == "GET" && Call.Body.empty())
    return;
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(Call.Body.size()));
  curl_easy_setopt(Handle, CURLOPT_COPYPOSTFIELDS, Call.Body.data());
}

int CurlExchange::onSend(void *Context, char *, char *, int, int) {
  auto *Self = static_cast<CurlExchange *>(Context);
  bool Resend = Self->SendCount++ > 0;
  return Resend && Self->SendOnce ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

CurlExchange::~CurlExchange() { curl_slist_free_all(Headers); }

HttpCallResult CurlExchange::takeResult(CURLcode Code) {
  long RequestBytes = 0;
  long HeaderBytes = 0;
  long Status = 0;
  curl_off_t Uploaded = 0;
  curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &RequestBytes);
  curl_easy_getinfo(Handle, CURLINFO_HEADER_SIZE, &HeaderBytes);
  curl_easy_getinfo(Handle, CURLINFO_SIZE_UPLOAD_T, &Uploaded);
  curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
  BytesSent = static_cast<std::uint64_t>(RequestBytes + Uploaded);
  BytesReceived = static_cast<std::uint64_t>(HeaderBytes) + Answer.Body.size();
  Answer.Status = static_cast<int>(Status);
  if (Code == CURLE_OK && hasKnownLength(Answer)) {
    Answer.Progress = CallProgress::CompleteAnswer;
    return std::move(Answer);
  }
  Answer.Progress = RequestBytes == 0 ? CallProgress::NotSent
                                      : CallProgress::IncompleteAnswer;
  Answer.Fault = Code == CURLE_OK ? "the answer does not declare its length"
                                  : curl_easy_strerror(Code);
  Answer.Status = 0;
  Answer.Body.clear();
  return std::move(Answer);
}

} // namespace banyanworks
