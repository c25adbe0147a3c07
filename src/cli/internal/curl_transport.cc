#include <curl/curl.h>

#include <memory>
#include <string>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"
#include "cli/http_transport.h"

namespace teaseljunction {
namespace {

constexpr size_t kMaxResponseBytes = 16 << 20;
constexpr long kConnectTimeoutMs = 2'000;

size_t AppendBody(char* data, size_t size, size_t count, void* user_data) {
  std::string& body = *static_cast<std::string*>(user_data);
  if (body.size() + size * count > kMaxResponseBytes) return 0;
  body.append(data, size * count);
  return size * count;
}

size_t AppendHeader(char* data, size_t size, size_t count, void* user_data) {
  const std::pair<std::string, std::string> parts =
      absl::StrSplit(absl::string_view(data, size * count), absl::MaxSplits(':', 1));
  auto& headers = *static_cast<std::vector<http_header>*>(user_data);
  headers.push_back({parts.first, std::string(absl::StripAsciiWhitespace(parts.second))});
  return size * count;
}

// Returns true when libcurl has not sent any byte of the request.
bool IsCertainlyNotSent(CURL* easy) {
  long sent_bytes = 0;
  return curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent_bytes) == CURLE_OK && sent_bytes == 0;
}

void SetRequest(CURL* easy, const std::string& url, const http_request& request) {
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  // Ignores proxy settings of the environment, which must not apply to daemon addresses.
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  if (request.method == "HEAD") curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  if (request.method == "POST" || !request.body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, request.body.c_str());
  }
}

}  // namespace

transport_result curl_transport::Send(const std::string& address, const http_request& request,
                                      absl::Duration timeout) {
  const std::unique_ptr<CURL, void (*)(CURL*)> easy(curl_easy_init(), curl_easy_cleanup);
  SetRequest(easy.get(), absl::StrCat("http://", address, request.path), request);
  // An empty Expect header avoids waiting for "100 Continue" with larger bodies.
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const http_header& header : request.headers) {
    list = curl_slist_append(list, absl::StrCat(header.name, ": ", header.value).c_str());
  }
  const std::unique_ptr<curl_slist, void (*)(curl_slist*)> headers(list, curl_slist_free_all);
  transport_result transfer_result;
  curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy.get(), CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS,
                   static_cast<long>(absl::ToInt64Milliseconds(timeout)));
  curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &transfer_result.response.body);
  curl_easy_setopt(easy.get(), CURLOPT_HEADERFUNCTION, AppendHeader);
  curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &transfer_result.response.headers);

  const CURLcode code = curl_easy_perform(easy.get());
  if (code != CURLE_OK) {
    const bool not_sent = IsCertainlyNotSent(easy.get());
    transfer_result.delivery = not_sent ? delivery_status::kNotSent : delivery_status::kUnknown;
    transfer_result.error_message = curl_easy_strerror(code);
    return transfer_result;
  }
  long status = 0;
  curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
  transfer_result.delivery = delivery_status::kAnswered;
  transfer_result.response.status = static_cast<int>(status);
  return transfer_result;
}

}  // namespace teaseljunction
