#include "http/internal/server_loop.h"

#include <utility>

#include "common/clock_source.h"

namespace teaseljunction {
namespace {

constexpr size_t kReadBufferBytes = size_t{64} << 10;
/// Interval of the checks for clients that are silent.
constexpr absl::Duration kCheckInterval = absl::Milliseconds(500);
/// Interval in which connections that wait for memory try again. Memory can be released by
/// connections of other loops, which do not know those that wait here.
constexpr absl::Duration kResumeInterval = absl::Milliseconds(10);

}  // namespace

server_loop::server_loop(std::shared_ptr<server_state> server, std::shared_ptr<event_loop> loop)
    : server_(std::move(server)), loop_(std::move(loop)), read_buffer_(kReadBufferBytes) {}

void server_loop::Start(std::function<void()> on_check) {
  on_check_ = std::move(on_check);
  running_ = true;
  CheckTimeouts();
}

void server_loop::AddConnection(int fd) {
  server_connection::callbacks owner = {
      [self = shared_from_this()](server_connection& closed) { self->connections_.erase(&closed); },
      [self = shared_from_this()](server_connection& waiting) { self->AddWaiting(waiting); }};
  auto connection = std::make_shared<server_connection>(
      server_, loop_, fd, absl::MakeSpan(read_buffer_), std::move(owner));
  connections_[connection.get()] = connection;
  connection->Start();
}

void server_loop::ForEach(const std::function<void(server_connection&)>& action) {
  std::vector<std::shared_ptr<server_connection>> all;
  all.reserve(connections_.size());
  for (const auto& [unused, connection] : connections_) all.push_back(connection);
  for (const auto& connection : all) action(*connection);
}

void server_loop::CheckTimeouts() {
  if (!running_) return;
  const absl::Time now = system_clock_source().Now();
  ForEach([now](server_connection& connection) { connection.CheckTimeout(now); });
  on_check_();
  timer_ =
      loop_->RunAt(now + kCheckInterval, [self = shared_from_this()] { self->CheckTimeouts(); });
}

void server_loop::AddWaiting(server_connection& connection) {
  waiting_.push_back(connection.weak_from_this());
  if (resume_timer_ != 0 || !running_) return;
  resume_timer_ = loop_->RunAt(system_clock_source().Now() + kResumeInterval,
                               [self = shared_from_this()] { self->ResumeWaiting(); });
}

void server_loop::ResumeWaiting() {
  resume_timer_ = 0;
  if (!running_) return;
  server_->memory->RelieveLine(system_clock_source().Now());
  for (const auto& waiting : std::exchange(waiting_, {})) {
    if (const auto connection = waiting.lock()) connection->Resume();
  }
}

void server_loop::Stop() {
  loop_->RunAndWait([this] {
    running_ = false;
    loop_->Cancel(timer_);
    if (resume_timer_ != 0) loop_->Cancel(resume_timer_);
    ForEach([](server_connection& connection) { connection.Close(); });
  });
  // Closed connections are destroyed at the end of a turn, which is over when a later task runs.
  bool destroyed = false;
  while (!destroyed) {
    loop_->RunAndWait([&] { destroyed = connections_.empty(); });
  }
}

}  // namespace teaseljunction
