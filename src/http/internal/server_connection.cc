#include "http/internal/server_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "absl/strings/str_cat.h"
#include "common/clock_source.h"
#include "common/sockets.h"
#include "http/internal/allocated_bytes.h"
#include "http/internal/response_text.h"
#include "http/internal/server_exchange.h"
#include "http/problem.h"

namespace teaseljunction {
namespace {

/// Maximum number of reads of one connection before the loop handles other events.
constexpr int kMaxReadsPerTurn = 4;
constexpr size_t kMaxBuffersPerWrite = 16;
/// Maximum number of bytes of one element that the parser asks for again, such as a chunk header.
constexpr size_t kMaxUnparsedBytes = size_t{128} << 10;
/// Maximum number of bytes that are read and discarded so that a client can read its last answer.
constexpr size_t kMaxDiscardedBytes = size_t{16} << 20;
/// Time for which the end of a client's input is awaited after the last answer.
constexpr absl::Duration kLingerTimeout = absl::Seconds(1);
/// Number of bytes that are read of a head while too much memory is held.
constexpr size_t kMinReadBytes = size_t{2} << 10;
constexpr absl::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

void CountIf(bool counts, bool& counted, std::atomic<int64_t>& counter) {
  if (counts == counted) return;
  counted = counts;
  counter += counts ? 1 : -1;
}

}  // namespace

server_connection::server_connection(std::shared_ptr<server_state> server,
                                     std::shared_ptr<event_loop> loop, int fd,
                                     absl::Span<char> read_buffer, callbacks owner)
    : server_(std::move(server)),
      loop_(std::move(loop)),
      fd_(fd),
      remote_ip_(RemoteIp(fd)),
      read_buffer_(read_buffer),
      owner_(std::move(owner)),
      reader_(server_->settings.max_header_bytes, server_->settings.max_body_bytes),
      row_({server_->settings.max_overlapping_requests_per_connection,
            server_->settings.max_overlapping_bytes_per_connection},
           server_->usage),
      buffer_memory_(server_->memory),
      last_activity_(system_clock_source().Now()) {
  ++server_->connections;
}

server_connection::~server_connection() {
  watch_.reset();
  close(fd_);
}

void server_connection::AttachMemory() {
  memory_.emplace(server_->memory, [weak = weak_from_this(), loop = loop_] {
    loop->Post([weak] {
      if (const auto self = weak.lock()) self->GiveUpBody();
    });
  });
}

void server_connection::Start() {
  AttachMemory();
  const int enabled = 1;
  // Answers are written as a whole, so there is nothing to wait for.
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  watch_ = loop_->WatchDescriptor(
      fd_,
      [this] {
        if (!read_scheduled_) ReadInput();
      },
      [this] {
        if (!closed_) Flush();
      });
  ReadInput();
}

bool server_connection::HasPeerClosed() const {
  pollfd polled = {fd_, POLLRDHUP, 0};
  return poll(&polled, 1, 0) == 1;
}

void server_connection::ReadInput() {
  for (int reads = 0; !closed_ && reads < kMaxReadsPerTurn; ++reads) {
    if (!IsReading() || waits_for_memory_) {
      if (HasPeerClosed()) Close();
      return;
    }
    const size_t readable = ReadableBytes();
    if (readable == 0) {
      WaitForMemory();
      continue;
    }
    const ssize_t count = recv(fd_, read_buffer_.data(), readable, 0);
    if (count > 0) {
      OnInput({read_buffer_.data(), static_cast<size_t>(count)});
      continue;
    }
    if (count < 0 && errno == EINTR) continue;
    if (count < 0 && errno == EAGAIN) return;
    // A client that shuts down only its sending side counts as disconnected as well.
    return Close();
  }
  if (!closed_) ScheduleRead();
}

size_t server_connection::ReadableBytes() {
  if (input_ended_) return read_buffer_.size();
  const size_t needed = reader_.NeededBodyBytes(read_buffer_.size());
  if (needed <= request_memory::kSmallBodyBytes) {
    if (server_->memory->HasRoom(read_buffer_.size())) return read_buffer_.size();
    if (server_->memory->HasReserve()) return request_memory::kSmallBodyBytes;
    return needed == 0 ? kMinReadBytes : 0;
  }
  const uint64_t charged = memory_->body_bytes();
  if (needed <= charged || memory_->Admit(needed - charged, last_activity_)) {
    return read_buffer_.size();
  }
  return 0;
}

void server_connection::WaitForMemory() {
  if (!std::exchange(waits_for_memory_, true)) owner_.on_waiting(*this);
}

void server_connection::Resume() {
  if (closed_) return;
  waits_for_memory_ = false;
  // The time in line does not count as silence of the client.
  last_activity_ = system_clock_source().Now();
  if (!row_.IsEmpty()) Parse("");
  ReadInput();
}

void server_connection::GiveUpBody() {
  if (closed_ || input_ended_ || !reader_.IsReceiving()) return;
  server_->LogLimited(absl::StrCat("request body given up after ", reader_.BodyBytes(),
                                   " bytes: other requests need its memory"));
  Refuse({error_kind::kOverloaded, "The body arrived too slowly while memory was short."});
  UpdateMemory();
  UpdateCounters();
}

void server_connection::UpdateMemory() {
  const size_t body_bytes = reader_.BodyBytes();
  const bool receives = reader_.IsReceiving() && !input_ended_;
  // A body that was admitted keeps the charge for what it still needs.
  const uint64_t charged = receives ? std::max<uint64_t>(memory_->body_bytes(), body_bytes) : 0;
  memory_->SetBody(charged, last_activity_);
  buffer_memory_.Set(AllocatedBytes(input_) + output_bytes_);
}

void server_connection::ScheduleRead() {
  // One task at a time: if each notification of input added another one, a client that sends
  // without a pause would get an ever larger share of each turn.
  if (std::exchange(read_scheduled_, true)) return;
  loop_->Post([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->read_scheduled_ = false;
    self->ReadInput();
  });
}

void server_connection::OnInput(absl::string_view data) {
  last_activity_ = system_clock_source().Now();
  if (!input_ended_) return Parse(data);
  discarded_bytes_ += data.size();
  if (discarded_bytes_ > kMaxDiscardedBytes) Close();
}

void server_connection::Parse(absl::string_view data) {
  const bool buffered = !input_.empty();
  if (buffered) {
    input_.append(data.data(), data.size());
    data = input_;
  }
  size_t used = 0;
  while (!input_ended_ && row_.HasRoom()) {
    used += reader_.Read(data.substr(used));
    if (reader_.Refusal()) {
      Refuse(*reader_.Refusal());
      break;
    }
    absl::optional<received_request> request = reader_.TakeRequest();
    if (!request) break;
    AddRequest(*std::move(request));
  }
  if (buffered) {
    input_.erase(0, used);
  } else {
    input_.assign(data.data() + used, data.size() - used);
  }
  if (!input_ended_ && reader_.IsReceiving() && input_.size() > kMaxUnparsedBytes) {
    Refuse({error_kind::kMalformedRequest, "an element of the request is too long"});
  }
  if (input_ended_ || input_.empty()) input_ = std::string();
  UpdateMemory();
  HandleRequests();
  if (ConfirmBody()) ScheduleOutput();
  UpdateCounters();
}

bool server_connection::ConfirmBody() {
  if (!row_.IsEmpty() || input_ended_ || !reader_.TakeContinueRequest()) return false;
  output_.emplace_back(kContinue);
  return true;
}

void server_connection::AddRequest(received_request request) {
  ++requests_;
  http_request& message = request.message;
  message.remote_ip = remote_ip_;
  message.received_at = last_activity_;
  if (!request.keep_alive) input_ended_ = true;
  const bool may_overlap = server_->handler->MayOverlap(message);
  row_entry& added = row_.Add(std::move(request), may_overlap);
  added.received_at = last_activity_;
  const size_t body_bytes = AllocatedBytes(added.request.message.body);
  if (body_bytes > 0) added.body_memory = memory_hold(server_->memory, body_bytes);
  const uint64_t number = added.number;
  if (!server_->stopping) return;
  server_->LogLimited("request refused: draining");
  row_.SetAnswer(number, ProblemResponse({error_kind::kDraining, ""}, ""));
  ScheduleOutput();
}

void server_connection::Refuse(const error& failure) {
  server_->LogLimited(absl::StrCat("request refused: ", AnswerFor(failure.kind).name));
  ++requests_;
  input_ended_ = true;
  reader_.GiveUp(failure);
  received_request refused;
  refused.keep_alive = false;
  row_.SetAnswer(row_.Add(std::move(refused), false).number, ProblemResponse(failure, ""));
  ScheduleOutput();
}

void server_connection::HandleRequests() {
  while (row_entry* next = row_.PeekNext()) {
    auto copies = memory_->ReserveCopies(next->request.message.body.size(), last_activity_);
    if (!copies) return WaitForMemory();
    row_.NextToHandle();
    next->exchange = std::make_shared<exchange_state>();
    auto exchange = MakeExchange(next->exchange, weak_from_this(), next->number, loop_,
                                 {std::move(next->body_memory), *std::move(copies)});
    server_->handler->Handle(std::move(next->request.message), std::move(exchange));
  }
}

void server_connection::OnAnswer(uint64_t number, http_response response) {
  if (closed_) return;
  row_.SetAnswer(number, std::move(response));
  ScheduleOutput();
}

void server_connection::ScheduleOutput() {
  if (std::exchange(output_scheduled_, true)) return;
  loop_->RunAtTurnEnd([self = shared_from_this()] {
    self->output_scheduled_ = false;
    self->WriteAnswers();
  });
}

void server_connection::WriteAnswers() {
  if (closed_) return;
  const bool was_reading = IsReading();
  while (!closing_) {
    absl::optional<row_entry> entry = row_.TakeAnswered();
    if (!entry) break;
    // Requests that have waited for this answer.
    HandleRequests();
    if (!server_->keep_alive && row_.IsEmpty() && !input_ended_) {
      // The client may have sent further requests, which are answered before the connection closes.
      ReadInput();
      if (closed_) return;
    }
    AppendAnswer(*std::move(entry));
  }
  if (!closing_ && !was_reading && IsReading()) {
    Parse("");
    ReadInput();
  }
  if (closed_) return;
  ConfirmBody();
  Flush();
}

void server_connection::AppendAnswer(row_entry entry) {
  http_response response = *std::move(entry.answer);
  if (!IsFinalStatus(response.status)) {
    response = ProblemResponse({error_kind::kInternal, "status out of range"}, "");
  }
  const bool ends_here = input_ended_ || (!server_->keep_alive && !IsReceiving());
  closing_ = !entry.request.keep_alive || (row_.IsEmpty() && ends_here);
  if (closing_) input_ended_ = true;
  output_.push_back(ResponseHead(response, entry.request.head, closing_, absl::Now()));
  if (!entry.request.head && HasBody(response.status) && !response.body.empty()) {
    output_.push_back(std::move(response.body));
    output_bytes_ += output_.back().size();
  }
}

void server_connection::Flush() {
  while (!output_.empty()) {
    std::array<iovec, kMaxBuffersPerWrite> buffers;
    size_t count = 0;
    for (std::string& part : output_) {
      if (count == buffers.size()) break;
      const size_t skipped = count == 0 ? sent_ : 0;
      buffers[count++] = {part.data() + skipped, part.size() - skipped};
    }
    msghdr message = {};
    message.msg_iov = buffers.data();
    message.msg_iovlen = count;
    const ssize_t written = sendmsg(fd_, &message, MSG_NOSIGNAL);
    if (written < 0 && errno == EINTR) continue;
    if (written < 0 && errno == EAGAIN) {
      watch_->AwaitOutput();
      break;
    }
    if (written < 0) return Close();
    last_activity_ = system_clock_source().Now();
    sent_ += static_cast<size_t>(written);
    while (!output_.empty() && sent_ >= output_.front().size()) {
      sent_ -= output_.front().size();
      output_.pop_front();
    }
  }
  if (output_.empty()) output_bytes_ = 0;
  UpdateMemory();
  UpdateCounters();
  if (output_.empty() && closing_ && !std::exchange(lingering_, true)) FinishOutput();
}

void server_connection::FinishOutput() {
  shutdown(fd_, SHUT_WR);
  ReadInput();
}

void server_connection::StopReceiving() {
  ReadInput();
  if (closed_) return;
  input_ended_ = true;
  input_.clear();
  UpdateCounters();
  if (row_.IsEmpty() && output_.empty()) Close();
}

void server_connection::AnswerPending(abandoned_requests& abandoned) {
  if (closed_) return;
  input_ended_ = true;
  input_.clear();
  for (row_entry& entry : row_.Entries()) {
    if (entry.answer) continue;
    // False if a response is on its way to this thread.
    if (entry.exchange != nullptr && !entry.exchange->AcceptResponse()) continue;
    if (entry.handled) {
      ++abandoned.count;
      abandoned.first_received_at = std::min(abandoned.first_received_at, entry.received_at);
      abandoned.last_received_at = std::max(abandoned.last_received_at, entry.received_at);
    }
    const error reason = entry.handled ? error{error_kind::kOutcomeUnknown, "the daemon stopped"}
                                       : error{error_kind::kDraining, ""};
    row_.SetAnswer(entry.number, ProblemResponse(reason, ""));
  }
  WriteAnswers();
}

void server_connection::CheckTimeout(absl::Time now) {
  if (closed_ || waits_for_memory_ || (!row_.IsEmpty() && output_.empty())) return;
  absl::Duration limit = lingering_ ? kLingerTimeout : server_->settings.idle_timeout;
  if (memory_->body_bytes() > 0) limit = std::min(limit, server_->settings.body_timeout);
  if (now - last_activity_ > limit) Close();
}

void server_connection::Close() {
  if (std::exchange(closed_, true)) return;
  if (requests_ == 0) server_->LogLimited("connection closed without a request");
  std::deque<row_entry> unanswered = row_.TakeAll();
  if (!unanswered.empty() || !output_.empty()) {
    server_->LogLimited("connection closed before the response was sent");
  }
  input_ = std::string();
  output_.clear();
  reader_.GiveUp({error_kind::kCancelled, ""});
  memory_.reset();
  buffer_memory_.Set(0);
  CountIf(false, counted_as_receiving_, server_->receiving_connections);
  CountIf(false, counted_as_answering_, server_->answering_connections);
  --server_->connections;
  // The watch must not be destroyed by its own callback.
  loop_->RunAtTurnEnd([self = shared_from_this()] { self->owner_.on_closed(*self); });
  for (const row_entry& entry : unanswered) {
    if (entry.exchange != nullptr) entry.exchange->NotifyDisconnect();
  }
}

void server_connection::UpdateCounters() {
  if (closed_) return;
  CountIf(IsReceiving() && !input_ended_, counted_as_receiving_, server_->receiving_connections);
  CountIf(!row_.IsEmpty() || !output_.empty(), counted_as_answering_,
          server_->answering_connections);
}

}  // namespace teaseljunction
