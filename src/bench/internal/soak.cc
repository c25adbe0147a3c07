#include "bench/soak.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "absl/types/span.h"
#include "common/digest.h"
#include "common/sockets.h"
#include "common/types.h"
#include "http/curl_client.h"

namespace teaseljunction {
namespace {

using nlohmann::json;

constexpr timeval kAnswerTimeout = {.tv_sec = 20, .tv_usec = 0};
constexpr int kResetWaitMs = 500;
constexpr absl::Duration kReconnectInterval = absl::Milliseconds(20);
constexpr uint64_t kMaxThinkTimeMs = 80;
// Time after which a refused request that still runs would have been counted by its target.
constexpr absl::Duration kSettleTime = absl::Seconds(3);
constexpr absl::Duration kStatsTimeout = absl::Seconds(10);
constexpr size_t kMaxStatsBytes = size_t{256} << 20;
constexpr size_t kMaxDetails = 50;
constexpr int kConflict = 409;
constexpr int kRateExceeded = 429;
constexpr int kUnavailable = 503;
constexpr int kTimedOut = 504;
// Offset of the status in a status line.
constexpr int kStatusOffset = 9;

enum property : uint8_t {
  kAnswerOfRequest,
  kAnswerWhole,
  kAnswerOfTarget,
  kReadAndAnswered,
  kExpectedRefusal,
  kUnreadNeverRuns,
  kRefusedNeverRuns,
  kOrderRunsOnce,
  kPropertyCount
};

constexpr std::array<absl::string_view, kPropertyCount> kPropertyNames = {
    "answers that belong to another request or to none",
    "answers that are not complete",
    "answers of a daemon in place of the target's",
    "connections closed after the request was read",
    "refusals other than 429 and 503",
    "requests that ran though their connection was closed unread",
    "requests that ran though they were refused as not run",
    "orders that ran twice"};

// A request and what the daemons have said about it so far.
struct sent_request {
  std::string method;
  std::string path;
  std::string identity;
  std::string body;
  int unread = 0;
  int refused = 0;
  int attempts = 0;
};

enum class answer_end : uint8_t { kComplete, kUnread, kClosed, kIncomplete, kTimeout };

struct received_answer {
  answer_end end = answer_end::kComplete;
  int status = 0;
  std::vector<http_header> headers;
  std::string body;
};

// A connection that is used until the daemon closes it.
class soak_connection {
 public:
  soak_connection(std::string name, const socket_address& address)
      : name_(std::move(name)), address_(address) {}
  soak_connection(const soak_connection&) = delete;
  soak_connection& operator=(const soak_connection&) = delete;
  ~soak_connection() { Close(); }

  const std::string& Name() const { return name_; }
  bool IsOpen() const { return fd_ >= 0; }

  bool Open() {
    fd_ = socket(address_.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &kAnswerTimeout, sizeof(kAnswerTimeout));
    if (connect(fd_, address_.get(), address_.length) != 0) Close();
    return IsOpen();
  }

  void Close() {
    if (fd_ >= 0) close(std::exchange(fd_, -1));
    received_.clear();
  }

  // Returns true when the daemon has sent bytes for which no request was waiting. Notices when it
  // has closed the connection.
  bool HasUnexpectedInput() {
    if (!received_.empty()) return true;
    char byte = 0;
    const ssize_t size = recv(fd_, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
    if (size == 0 || (size < 0 && errno != EAGAIN)) Close();
    return size > 0;
  }

  // Sends `count` requests at once and returns the answer to each of them.
  std::vector<received_answer> Send(absl::string_view messages, size_t count) {
    while (!messages.empty()) {
      const ssize_t sent = send(fd_, messages.data(), messages.size(), MSG_NOSIGNAL);
      if (sent <= 0) break;
      messages.remove_prefix(static_cast<size_t>(sent));
    }
    std::vector<received_answer> answers;
    bool is_last = false;
    while (answers.size() < count) {
      answers.push_back(Receive());
      const auto connection = FindHeader(answers.back().headers, "Connection");
      is_last =
          answers.back().end != answer_end::kComplete || (connection && *connection == "close");
    }
    if (is_last) Close();
    return answers;
  }

 private:
  received_answer Receive() {
    std::string& data = received_;
    std::array<char, 16384> part = {};
    // Bytes behind the previous answer come first.
    for (bool reads = data.empty();; reads = true) {
      if (reads) {
        const ssize_t size = recv(fd_, part.data(), part.size(), 0);
        if (size <= 0) return {.end = EndOf(data.empty(), size < 0 ? errno : 0)};
        data.append(part.data(), static_cast<size_t>(size));
      }
      const size_t head_end = data.find("\r\n\r\n");
      if (head_end == std::string::npos) continue;
      received_answer answer = ParseHead(absl::string_view(data).substr(0, head_end));
      size_t length = 0;
      if (!absl::SimpleAtoi(FindHeader(answer.headers, "Content-Length").value_or(""), &length)) {
        return {.end = answer_end::kIncomplete};
      }
      if (data.size() < head_end + 4 + length) continue;
      answer.body = data.substr(head_end + 4, length);
      data.erase(0, head_end + 4 + length);
      return answer;
    }
  }

  static received_answer ParseHead(absl::string_view head) {
    received_answer answer;
    std::vector<absl::string_view> lines = absl::StrSplit(head, "\r\n");
    if (!absl::SimpleAtoi(lines[0].substr(kStatusOffset, 3), &answer.status)) answer.status = 0;
    for (const absl::string_view line : lines) {
      const std::pair<absl::string_view, absl::string_view> field =
          absl::StrSplit(line, absl::MaxSplits(": ", 1));
      answer.headers.push_back({std::string(field.first), std::string(field.second)});
    }
    return answer;
  }

  // A reset means that the daemon closed the connection without reading the request, as a request
  // that is in transit while the connection is closed.
  answer_end EndOf(bool empty, int failure) const {
    if (failure == EAGAIN) return answer_end::kTimeout;
    if (!empty) return answer_end::kIncomplete;
    if (failure != 0) return answer_end::kUnread;
    pollfd polled = {.fd = fd_, .events = 0, .revents = 0};
    poll(&polled, 1, kResetWaitMs);
    return (polled.revents & POLLERR) != 0 ? answer_end::kUnread : answer_end::kClosed;
  }

  const std::string name_;
  const socket_address address_;
  int fd_ = -1;
  // Received bytes that belong to no answer returned so far.
  std::string received_;
};

class soak_run {
 public:
  explicit soak_run(const soak_settings& settings) : settings_(settings) {}

  result<soak_report> Run() {
    std::vector<socket_address> entries;
    for (const std::string& entry : settings_.entries) {
      BOOST_LEAF_AUTO(address, ParseSocketAddress(entry));
      entries.push_back(address);
    }
    if (entries.empty()) return Fail(error_kind::kSettingInvalid, "no address of an entry");
    const absl::Time end = absl::Now() + settings_.duration;
    std::vector<std::thread> threads;
    for (size_t i = 0; i < static_cast<size_t>(settings_.connections); ++i) {
      threads.emplace_back([this, i, &entries, end] {
        const size_t entry = i % entries.size();
        soak_connection connection(settings_.entries[entry], entries[entry]);
        Use(connection, i, end);
      });
    }
    for (std::thread& thread : threads) thread.join();
    absl::SleepFor(kSettleTime);
    BOOST_LEAF_CHECK(CompareWithTargets());
    absl::MutexLock lock(&mutex_);
    for (int i = 0; i < kPropertyCount; ++i) {
      report_.checks.push_back({std::string(kPropertyNames[i]), violations_[i]});
    }
    return report_;
  }

 private:
  void Use(soak_connection& connection, size_t number, absl::Time end) {
    std::mt19937_64 random(settings_.seed * 1000 + number);
    for (uint64_t i = 0; absl::Now() < end; ++i) {
      const std::string identity = absl::StrCat("soak-", settings_.seed, "-", number, "-", i);
      const bool is_order = random() % 3 == 0;
      const sent_request request = {
          .method = is_order ? "POST" : "GET",
          .path = is_order ? "/orders" : absl::StrCat("/stock/", identity),
          .identity = identity,
          .body = is_order ? absl::StrCat("order ", identity) : ""};
      std::vector<sent_request> requests = {request};
      // Some callers send the next request before they have the answer to the previous one.
      if (random() % 4 == 0) {
        requests.push_back({.method = "GET",
                            .path = absl::StrCat("/stock/", identity, "-next"),
                            .identity = absl::StrCat(identity, "-next")});
      }
      const bool answered = Attempt(connection, absl::MakeSpan(requests), end);
      // Callers repeat an order whose outcome they do not know, and some do so needlessly.
      if (is_order && (!answered || random() % 10 == 0)) {
        Attempt(connection, absl::MakeSpan(requests).first(1), end);
      }
      {
        absl::MutexLock lock(&mutex_);
        for (sent_request& sent : requests) sent_.push_back(std::move(sent));
      }
      absl::SleepFor(absl::Milliseconds(random() % kMaxThinkTimeMs));
    }
  }

  // Sends the requests at once. Returns true when the first one got the answer of a target.
  bool Attempt(soak_connection& connection, absl::Span<sent_request> requests, absl::Time end) {
    if (connection.IsOpen() && connection.HasUnexpectedInput()) {
      Violate(kAnswerOfRequest, requests[0], "bytes before the request");
    }
    while (!connection.IsOpen() && !connection.Open()) {
      if (absl::Now() > end) return false;
      absl::SleepFor(kReconnectInterval);
    }
    const absl::Time sent_at = absl::Now();
    std::string messages;
    for (const sent_request& request : requests) {
      absl::StrAppend(&messages, request.method, " ", request.path,
                      " HTTP/1.1\r\nHost: soak\r\nAuthorization: Bearer ", settings_.key,
                      "\r\nIdempotency-Key: ", request.identity,
                      "\r\nContent-Length: ", request.body.size(), "\r\n\r\n", request.body);
    }
    const std::vector<received_answer> answers = connection.Send(messages, requests.size());
    bool first_answered = false;
    for (size_t i = 0; i < requests.size(); ++i) {
      ++requests[i].attempts;
      const bool answered =
          Judge(requests[i], answers[i],
                absl::StrCat("sent ", absl::FormatTime("%H:%M:%E3S", sent_at, absl::UTCTimeZone()),
                             " to ", connection.Name(), ", ended after ",
                             absl::FormatDuration(absl::Now() - sent_at)));
      if (i == 0) first_answered = answered;
    }
    return first_answered;
  }

  bool Judge(sent_request& request, const received_answer& answer, const std::string& when) {
    {
      absl::MutexLock lock(&mutex_);
      ++report_.requests;
    }
    switch (answer.end) {
      case answer_end::kComplete:
        break;
      case answer_end::kUnread: {
        ++request.unread;
        absl::MutexLock lock(&mutex_);
        ++report_.unread;
        return false;
      }
      case answer_end::kClosed:
        Violate(kReadAndAnswered, request, when);
        return false;
      case answer_end::kIncomplete:
      case answer_end::kTimeout:
        Violate(kAnswerWhole, request, when);
        return false;
    }
    const auto outcome = FindHeader(answer.headers, "Teaseljunction-Outcome");
    if (!outcome) return JudgeAnswerOfTarget(request, answer, when);
    const std::string detail = absl::StrCat(when, " ", answer.status, " ", answer.body);
    if (*outcome != "not-run") {
      // An earlier attempt with this key still runs or has an unknown outcome.
      const bool is_repeated = answer.status == kConflict;
      const bool is_timed_out = answer.status == kTimedOut;
      if (!is_repeated && !is_timed_out) Violate(kAnswerOfTarget, request, detail);
      absl::MutexLock lock(&mutex_);
      if (is_timed_out) ++report_.timed_out;
      return false;
    }
    if (answer.status != kRateExceeded && answer.status != kUnavailable)
      Violate(kExpectedRefusal, request, detail);
    ++request.refused;
    absl::MutexLock lock(&mutex_);
    ++report_.refused;
    return false;
  }

  bool JudgeAnswerOfTarget(const sent_request& request, const received_answer& answer,
                           const std::string& when) {
    const json body = json::parse(answer.body, nullptr, false);
    const bool matches = body.is_object() && body.value("method", "") == request.method &&
                         body.value("path", "") == request.path &&
                         body.value("idempotencyKey", "") == request.identity &&
                         body.value("bodyDigest", "") == Sha256Hex(request.body);
    if (!matches) {
      Violate(kAnswerOfRequest, request, absl::StrCat(when, " ", answer.status, " ", answer.body));
    }
    absl::MutexLock lock(&mutex_);
    ++report_.answered;
    return true;
  }

  result<std::map<std::string, uint64_t>> RunsPerIdentity() const {
    const auto client = curl_client_builder().Threads(1).MaxResponseBytes(kMaxStatsBytes).Build();
    std::map<std::string, uint64_t> runs;
    for (const std::string& target : settings_.targets) {
      absl::Notification done;
      outcome<http_response> response = error{};
      client->Send(target, {"GET", "/standin/stats", {}, ""}, false, kStatsTimeout,
                   [&](outcome<http_response> received) {
                     response = std::move(received);
                     done.Notify();
                   });
      done.WaitForNotification();
      const auto* received = std::get_if<http_response>(&response);
      const json stats = received == nullptr ? json() : json::parse(received->body, nullptr, false);
      if (!stats.is_object() || stats.value("uncounted", 1.0) != 0) {
        return Fail(error_kind::kTargetUnreachable, absl::StrCat("no full counters of ", target));
      }
      for (const json& entry : stats.value("idempotencyKeys", json::array())) {
        runs[entry.value("value", "")] += entry.value("count", uint64_t{0});
      }
    }
    return runs;
  }

  result<void> CompareWithTargets() {
    BOOST_LEAF_AUTO(runs, RunsPerIdentity());
    std::vector<sent_request> sent;
    {
      absl::MutexLock lock(&mutex_);
      sent.swap(sent_);
    }
    for (const sent_request& request : sent) {
      const auto found = runs.find(request.identity);
      const uint64_t times = found == runs.end() ? 0 : found->second;
      const std::string detail = absl::StrCat("ran ", times, " times");
      if (request.method == "POST" && times > 1) Violate(kOrderRunsOnce, request, detail);
      if (times == 0 || request.refused + request.unread < request.attempts) continue;
      Violate(request.refused == 0 ? kUnreadNeverRuns : kRefusedNeverRuns, request, detail);
    }
    return {};
  }

  void Violate(property violated, const sent_request& request, const std::string& detail) {
    absl::MutexLock lock(&mutex_);
    ++violations_[violated];
    if (report_.details.size() >= kMaxDetails) return;
    report_.details.push_back(absl::StrCat(kPropertyNames[violated], ": ", request.method, " ",
                                           request.identity, " ", detail));
  }

  const soak_settings& settings_;
  absl::Mutex mutex_;
  soak_report report_ ABSL_GUARDED_BY(mutex_);
  std::array<uint64_t, kPropertyCount> violations_ ABSL_GUARDED_BY(mutex_) = {};
  std::vector<sent_request> sent_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace

result<soak_report> RunSoak(const soak_settings& settings) { return soak_run(settings).Run(); }

}  // namespace teaseljunction
