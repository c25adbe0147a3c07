#include "http/internal/curl_transfer.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "common/clock_source.h"
#include "http/internal/headers.h"

namespace teaseljunction {
namespace {

// Successful responses have a status in [kMinSuccessStatus, kMinRedirectStatus).
constexpr int kMinSuccessStatus = 200;
constexpr int kMinRedirectStatus = 300;
constexpr int kMinInterimStatus = 100;
constexpr int kSwitchingProtocolsStatus = 101;
constexpr size_t kStatusDigits = 3;
constexpr size_t kMaxResponseHeaderBytes = size_t{64} << 10;
/// Memory that a header takes in addition to its line, which counts towards the limit.
constexpr size_t kHeaderOverheadBytes = 64;
/// Largest part of a body for which memory is reserved before it arrives.
constexpr size_t kMaxReservedBytes = size_t{16} << 10;

// No request asks for another protocol, so 101 answers none of them.
bool IsInterimStatus(int status) {
  return status >= kMinInterimStatus && status < kMinSuccessStatus &&
         status != kSwitchingProtocolsStatus;
}

// Returns the three digits after the version, or nothing if the line has another form.
absl::optional<int> ParseStatusLine(absl::string_view line) {
  line = absl::StripTrailingAsciiWhitespace(line);
  const bool known_version =
      absl::ConsumePrefix(&line, "HTTP/1.1 ") || absl::ConsumePrefix(&line, "HTTP/1.0 ");
  const absl::string_view digits = line.substr(0, line.find(' '));
  int status = 0;
  const bool usable = known_version && digits.size() == kStatusDigits &&
                      std::all_of(digits.begin(), digits.end(), absl::ascii_isdigit) &&
                      absl::SimpleAtoi(digits, &status);
  return usable ? absl::make_optional(status) : absl::nullopt;
}

bool IsToken(absl::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_isalnum(c) || absl::StrContains("!#$%&'*+-.^_`|~", c);
  });
}

bool MethodSendsBody(absl::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

long ToCurlMilliseconds(absl::Duration duration) {
  const int64_t milliseconds =
      absl::ToInt64Milliseconds(absl::Ceil(duration, absl::Milliseconds(1)));
  return static_cast<long>(std::clamp<int64_t>(milliseconds, 1, int64_t{1} << 30));
}

}  // namespace

curl_transfer::curl_transfer(uint64_t id, absl::string_view address, http_request request,
                             bool at_most_once, absl::Time deadline, completion done)
    : id_(id),
      address_(address),
      at_most_once_(at_most_once),
      deadline_(deadline),
      request_(std::move(request)),
      done_(std::move(done)) {}

curl_transfer::~curl_transfer() {
  if (memory_ == nullptr) return;
  memory_->Change(held_bytes_, 0);
  memory_->RemoveResponse();
}

bool curl_transfer::UpdateHeldBytes() {
  // libcurl keeps a copy of each header line.
  const size_t bytes = 2 * header_bytes_ + response_.body.capacity();
  memory_->Change(held_bytes_, bytes);
  held_bytes_ = bytes;
  response_too_large_ = response_too_large_ || memory_->IsShareExceeded(bytes);
  return !response_too_large_;
}

bool curl_transfer::IsWellFormed() const {
  const std::string& path = request_.path;
  if (!IsToken(request_.method) || path.empty() || path[0] != '/') return false;
  if (!IsHeaderText(path) || absl::StrContains(path, ' ')) return false;
  return std::all_of(
      request_.headers.begin(), request_.headers.end(),
      [](const http_header& header) { return IsToken(header.name) && IsHeaderText(header.value); });
}

void curl_transfer::Prepare(curl_easy_handle easy, const curl_client_settings& settings,
                            connection_sockets& sockets, response_memory& memory) {
  easy_ = std::move(easy);
  sockets_ = &sockets;
  // A restarted transfer is counted already.
  if (std::exchange(memory_, &memory) == nullptr) memory.AddResponse();
  curl_easy_reset(easy_.get());
  SetRequest();
  SetHeaders();
  SetLimits(settings);
}

void curl_transfer::SetRequest() {
  CURL* easy = easy_.get();
  const std::string url = absl::StrCat("http://", address_, "/");
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request_.path.c_str());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
  if (!request_.body.empty() || MethodSendsBody(request_.method)) {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request_.body.size()));
    // libcurl does not copy the body, which lives as long as the transfer.
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request_.body.c_str());
  }
  if (request_.method == "HEAD") curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &curl_transfer::OnSocket);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, this);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &curl_transfer::OnBeforeSend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
}

void curl_transfer::SetHeaders() {
  curl_slist* list = nullptr;
  for (const http_header& header : request_.headers) {
    if (IsTransferHeader(header.name)) continue;
    // For libcurl, "Name:" removes a header and "Name;" sends one with an empty value.
    const std::string line = header.value.empty() ? absl::StrCat(header.name, ";")
                                                  : absl::StrCat(header.name, ": ", header.value);
    list = curl_slist_append(list, line.c_str());
  }
  for (const char* name : {"Accept", "Content-Type"}) {
    if (!FindHeader(request_.headers, name)) {
      list = curl_slist_append(list, absl::StrCat(name, ":").c_str());
    }
  }
  list = curl_slist_append(list, "Expect:");
  headers_.reset(list);
  curl_easy_setopt(easy_.get(), CURLOPT_HTTPHEADER, list);
}

void curl_transfer::SetLimits(const curl_client_settings& settings) {
  CURL* easy = easy_.get();
  max_response_bytes_ = settings.max_response_bytes;
  const absl::Duration remaining = deadline_ - system_clock_source().Now();
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ToCurlMilliseconds(remaining));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, ToCurlMilliseconds(settings.connect_timeout));
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  const absl::Duration max_idle_time =
      at_most_once_ ? settings.max_idle_time_at_most_once : settings.max_idle_time;
  const long idle_seconds = absl::ToInt64Seconds(max_idle_time);
  const bool fresh = request_.own_connection || needs_new_connection_ || idle_seconds == 0;
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, fresh ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, request_.own_connection ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, idle_seconds);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &curl_transfer::OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &curl_transfer::OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  SetEchoMatched(false);
}

void curl_transfer::SetEchoMatched(bool matched) {
  echo_matched_ = matched;
  if (request_.own_connection || request_.expected.echoed.name.empty()) return;
  // After a response without the id, the one to this request may still follow on the connection.
  curl_easy_setopt(easy_.get(), CURLOPT_FORBID_REUSE, matched ? 0L : 1L);
}

int curl_transfer::OnSocket(void* self, curl_socket_t socket, curlsocktype) {
  static_cast<curl_transfer*>(self)->new_socket_ = socket;
  return CURL_SOCKOPT_OK;
}

int curl_transfer::OnBeforeSend(void* self, char*, char*, int, int local_port) {
  auto* transfer = static_cast<curl_transfer*>(self);
  // libcurl sends a request again if a reused connection closes without a response. The server may
  // have executed the first one, and the caller does not expect a second attempt.
  if (transfer->send_count_ > 0) return CURL_PREREQFUNC_ABORT;
  if (!transfer->CheckConnection(local_port)) return CURL_PREREQFUNC_ABORT;
  const http_request& request = transfer->request_;
  if (request.before_send) transfer->send_refusal_ = request.before_send();
  if (transfer->send_refusal_) return CURL_PREREQFUNC_ABORT;
  ++transfer->send_count_;
  return CURL_PREREQFUNC_OK;
}

bool curl_transfer::CheckConnection(int local_port) {
  if (IsConnectionNew()) {
    sockets_->Add(address_, local_port, new_socket_);
    return true;
  }
  // libcurl reuses a connection with unread bytes, and takes them as the response.
  needs_new_connection_ = sockets_->HasInput(address_, local_port);
  restart_ = needs_new_connection_;
  return !needs_new_connection_;
}

size_t curl_transfer::OnHeader(char* data, size_t size, size_t count, void* self) {
  auto* transfer = static_cast<curl_transfer*>(self);
  return transfer->ReadHeader(absl::string_view(data, size * count)) ? size * count : 0;
}

bool curl_transfer::ReadHeader(absl::string_view line) {
  header_bytes_ += line.size() + kHeaderOverheadBytes;
  if (header_bytes_ > kMaxResponseHeaderBytes) {
    response_too_large_ = true;
    return false;
  }
  if (!UpdateHeldBytes()) return false;
  if (expects_status_line_) return ReadStatusLine(line);
  if (line == "\r\n" || line == "\n") {
    head_complete_ = true;
    expects_status_line_ = response_.status < kMinSuccessStatus;
    return true;
  }
  const size_t colon = line.find(':');
  if (colon == absl::string_view::npos) return true;
  const absl::string_view name = line.substr(0, colon);
  const absl::string_view value = absl::StripAsciiWhitespace(line.substr(colon + 1));
  if (absl::EqualsIgnoreCase(name, "Content-Length")) {
    uint64_t length = 0;
    // libcurl reads the number at the start of the value, and ignores one that is out of range.
    length_usable_ = absl::SimpleAtoi(value, &length) && (!length_ || *length_ == length);
    if (!length_usable_) return false;
    length_ = length;
    framing_known_ = true;
    if (request_.method != "HEAD") {
      response_too_large_ = length > max_response_bytes_;
      if (response_too_large_) return false;
      // A length that is only announced must not take much memory.
      response_.body.reserve(std::min<uint64_t>(length, kMaxReservedBytes));
      if (!UpdateHeldBytes()) return false;
    }
  }
  if (absl::EqualsIgnoreCase(name, "Transfer-Encoding") &&
      absl::EndsWithIgnoreCase(value, "chunked")) {
    framing_known_ = true;
  }
  const http_header& echo = request_.expected.echoed;
  if (!echo.name.empty() && absl::EqualsIgnoreCase(name, echo.name)) {
    echo_mismatch_ = value != echo.value;
    // Requests and responses on the connection are out of sync; the error makes libcurl close it.
    if (echo_mismatch_) return false;
    SetEchoMatched(true);
  }
  const bool keep = request_.method == "HEAD" && absl::EqualsIgnoreCase(name, "Content-Length");
  if (keep || !IsTransferHeader(name)) {
    response_.headers.push_back(
        {std::string(name.data(), name.size()), std::string(value.data(), value.size())});
  }
  return true;
}

bool curl_transfer::ReadStatusLine(absl::string_view line) {
  const absl::optional<int> status = ParseStatusLine(line);
  // libcurl takes up to three digits from any place near the start of the line.
  status_usable_ = status && (IsFinalStatus(*status) || IsInterimStatus(*status));
  if (!status_usable_) return false;
  expects_status_line_ = false;
  response_.status = *status;
  // Discard the headers of an interim response.
  response_.headers.clear();
  framing_known_ = false;
  SetEchoMatched(false);
  head_complete_ = false;
  length_ = absl::nullopt;
  return true;
}

size_t curl_transfer::OnBody(char* data, size_t size, size_t count, void* self) {
  auto* transfer = static_cast<curl_transfer*>(self);
  const size_t bytes = size * count;
  if (bytes > transfer->max_response_bytes_ - transfer->response_.body.size()) {
    transfer->response_too_large_ = true;
    return 0;
  }
  transfer->response_.body.append(data, bytes);
  return transfer->UpdateHeldBytes() ? bytes : 0;
}

absl::string_view curl_transfer::MismatchDetail() const {
  const expected_answer& expected = request_.expected;
  if (!expected.echoed.name.empty() && !echo_matched_ &&
      !(expected.echo_optional && IsConnectionNew())) {
    return "the response does not name its request";
  }
  const bool success =
      response_.status >= kMinSuccessStatus && response_.status < kMinRedirectStatus;
  if (success && !expected.present.empty() && !FindHeader(response_.headers, expected.present)) {
    return "the response has no mark of its server";
  }
  return "";
}

bool curl_transfer::IsConnectionNew() const {
  long connection_count = 0;
  curl_easy_getinfo(easy_.get(), CURLINFO_NUM_CONNECTS, &connection_count);
  return connection_count > 0;
}

bool curl_transfer::IsBodyEndKnown() const {
  return framing_known_ || request_.expected.may_end_with_connection || request_.method == "HEAD" ||
         response_.status == 204 || response_.status == 304;
}

void curl_transfer::Finish(CURLcode code) {
  if (code != CURLE_OK) {
    done_(ErrorFor(code));
    return;
  }
  // libcurl reports success if the connection ends within the head.
  if (!head_complete_ || response_.status < kMinSuccessStatus) {
    Fail(error_kind::kTargetFailed, "the response ended within its head");
    return;
  }
  if (!IsBodyEndKnown()) {
    Fail(error_kind::kTargetFailed, "the response does not say where it ends");
    return;
  }
  const absl::string_view mismatch = MismatchDetail();
  if (!mismatch.empty()) {
    Fail(error_kind::kTargetFailed, std::string(mismatch));
    return;
  }
  done_(std::move(response_));
}

void curl_transfer::Fail(error_kind kind, std::string detail) {
  done_(error{kind, std::move(detail)});
}

error curl_transfer::ErrorFor(CURLcode code) const {
  const char* detail = curl_easy_strerror(code);
  if (send_refusal_) return *send_refusal_;
  if (response_too_large_) return {error_kind::kAnswerTooLarge, ""};
  if (send_count_ == 0) return {error_kind::kTargetUnreachable, detail};
  if (code == CURLE_OPERATION_TIMEDOUT) return {error_kind::kDeadlineExceeded, ""};
  if (!status_usable_) detail = "the status of the response is not usable";
  if (!length_usable_) detail = "the length of the response is not usable";
  if (echo_mismatch_) detail = "the response belongs to another request";
  if (code == CURLE_ABORTED_BY_CALLBACK) detail = "a kept connection ended without a response";
  return {error_kind::kTargetFailed, detail};
}

}  // namespace teaseljunction
