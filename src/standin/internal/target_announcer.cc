#include "standin/target_announcer.h"

#include <utility>

#include "common/log.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kAnnounceInterval = absl::Seconds(1);
constexpr absl::Duration kAnnounceTimeout = absl::Milliseconds(900);
constexpr char kTargetAnnouncementPath[] = "/teaseljunction/v1/target";
constexpr int kNoContent = 204;

}  // namespace

target_announcer::target_announcer(std::string daemon_address, announcement_source source)
    : daemon_address_(std::move(daemon_address)), source_(std::move(source)) {
  thread_ = std::thread([this] { Run(); });
}

target_announcer::~target_announcer() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    state_changed_.Signal();
  }
  thread_.join();
}

void target_announcer::StartDraining() {
  absl::MutexLock lock(&mutex_);
  draining_ = true;
  state_changed_.Signal();
}

void target_announcer::Run() {
  while (true) {
    bool draining = false;
    {
      absl::MutexLock lock(&mutex_);
      if (stopping_) return;
      draining = draining_;
    }
    Announce(draining);
    absl::MutexLock lock(&mutex_);
    if (!stopping_ && draining == draining_)
      state_changed_.WaitWithTimeout(&mutex_, kAnnounceInterval);
  }
}

void target_announcer::Announce(bool draining) {
  standin_announcement announcement = source_();
  announcement.draining = draining;
  standin_request request;
  request.method = "POST";
  request.path = kTargetAnnouncementPath;
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = EncodeAnnouncement(announcement);
  client_.Send(daemon_address_, request, kAnnounceTimeout, [this](int status) {
    absl::MutexLock lock(&mutex_);
    if (status == last_status_) return;
    last_status_ = status;
    if (status == kNoContent) {
      LOG(INFO) << "standin: target announced to daemon " << daemon_address_;
    } else {
      LOG(WARNING) << "standin: target announcement to daemon " << daemon_address_
                   << " failed, status " << status;
    }
  });
}

}  // namespace teaseljunction
