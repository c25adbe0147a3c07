#include "daemon/daemon.h"

#include <algorithm>
#include <atomic>
#include <ctime>
#include <thread>
#include <utility>
#include <vector>

#include "common/clock_source.h"
#include "common/log.h"
#include "common/sockets.h"
#include "control/control_member.h"
#include "daemon/daemon_node.h"
#include "daemon/leader_client.h"
#include "daemon/leader_service.h"
#include "daemon/operator_handler.h"
#include "daemon/sync_loop.h"
#include "daemon/target_probe.h"
#include "gateway/entry_request_handler.h"
#include "http/curl_client.h"
#include "http/http_server.h"
#include "rpc/rpc_peer_client.h"
#include "rpc/rpc_server.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kBusyLogInterval = absl::Seconds(1);
constexpr double kLoggedBusyShare = 0.5;
constexpr absl::Duration kIdleCheckInterval = absl::Milliseconds(20);
constexpr absl::Duration kReplacementCheckInterval = absl::Milliseconds(100);
constexpr absl::Duration kOtherListenersDrainTimeout = absl::Milliseconds(200);
// Child calls that arrive after the drain delay end this long before the drain timeout, so that
// their targets' responses can still be sent.
constexpr absl::Duration kChildCallMargin = absl::Milliseconds(200);
// Limit of connections for each listener added with `AddListener`.
constexpr unsigned kMaxAdditionalListenerConnections = 256;

constexpr size_t kMinMessageBytes = size_t{16} << 20;
// Memory of the head and the other fields of a call.
constexpr size_t kBytesBesidesBody = size_t{1} << 20;
constexpr size_t kMinReceivingBytes = size_t{64} << 20;

// Largest message between daemons: a call with the largest body, its head and its other fields.
// Messages that are not calls are below the minimum.
size_t MaxMessageBytes(const daemon_settings& settings) {
  return std::max(kMinMessageBytes, settings.max_body_bytes + kBytesBesidesBody);
}

// Memory of messages that have arrived in part: at least one of the largest.
size_t MaxReceivingBytes(const daemon_settings& settings) {
  return std::max(kMinReceivingBytes, MaxMessageBytes(settings));
}

// Sends Raft messages over the existing connections to the other daemons.
class peer_raft_transport : public raft_transport {
 public:
  explicit peer_raft_transport(peer_client& peers) : peers_(peers) {}

  void Send(absl::string_view address, std::string message) override {
    peers_.SendRaftMessage(address, std::move(message));
  }

 private:
  peer_client& peers_;
};

// Incarnations must increase with each restart, so they are taken from the wall clock.
uint64_t NewIncarnation() { return static_cast<uint64_t>(absl::ToUnixMicros(absl::Now())); }

// Passes events of the control member on to the leader service.
class leader_observer : public control_observer {
 public:
  explicit leader_observer(event_loop& loop) : loop_(loop) {}

  void SetLeader(leader_service* leader) { leader_service_ = leader; }

  void OnLeadershipChange(bool, absl::Time) override {}
  void OnHeartbeat() override { PostToLeader(&leader_service::PlanMembers); }
  void OnManifestApplied(std::shared_ptr<const manifest_record>) override {
    PostToLeader(&leader_service::RequestSyncs);
  }

 private:
  // Runs on the event loop, because the control thread must not wait for locks of the leader
  // service.
  void PostToLeader(void (leader_service::*method)()) {
    loop_.Post([this, method] {
      leader_service* leader = leader_service_;
      if (leader != nullptr) (leader->*method)();
    });
  }

  event_loop& loop_;
  std::atomic<leader_service*> leader_service_ = nullptr;
};

class daemon_process_impl : public daemon_process {
 public:
  daemon_process_impl(daemon_settings settings, resolver_settings resolver,
                      manifest_decoder decode);
  ~daemon_process_impl() override;

  result<void> Build();
  void RequestStop() override;
  daemon_components Components() override;
  result<void> AddListener(absl::string_view address, http_handler& handler) override;
  void Start() override;
  bool Run() override;

 private:
  result<void> StartControl();
  result<void> StartServers();
  event_loop* LoopFor(unsigned threads) { return threads == 0 ? &loop_ : nullptr; }
  void WaitForStop();
  bool Drain();
  bool WaitUntilIdle(absl::Time deadline);
  // Waits until another member has taken the place of this one in the control group. Without a
  // successor the member leaves at once, since the group then loses it in any case.
  void WaitUntilReplaced(absl::Time deadline);
  // True while the group counts this member and has another one that could take its place.
  bool IsBeingReplaced() const;
  // Drains all listeners except that for callers at the same time, because each may wait for
  // clients that do not read.
  void DrainOtherListeners();
  // Logs once a second how busy the event loop was, if it was busy for most of the second.
  void LogBusyPeriod();
  // Logs how far the planned shutdown has come and which calls it still waits for.
  void LogDrainStep(absl::string_view step);

  const daemon_settings settings_;
  const resolver_settings resolver_;
  const manifest_decoder decode_;
  system_clock_source clock_;
  system_random_source random_;
  call_metrics metrics_;
  pending_work_counter pending_work_;
  active_manifest config_;
  quarantine_registry quarantine_;
  call_context_table contexts_{random_};
  call_graph call_graph_;
  event_loop loop_{clock_};
  // Shared by all HTTP servers.
  const std::shared_ptr<request_memory> request_memory_;
  std::unique_ptr<rpc_peer_client> peers_;
  std::unique_ptr<curl_client> client_;
  leader_locator locator_;
  target_selector targets_;
  std::unique_ptr<sync_loop> sync_;
  account_rate_limiter accounts_;
  std::unique_ptr<leader_client> leader_client_;
  std::unique_ptr<target_executor> executor_;
  std::unique_ptr<target_probe> probe_;
  std::unique_ptr<peer_raft_transport> raft_transport_;
  leader_observer leader_observer_{loop_};
  std::unique_ptr<control_member> member_;
  std::unique_ptr<leader_service> leader_service_;
  std::unique_ptr<daemon_node> node_;
  std::unique_ptr<entry_call_dependencies> entry_dependencies_;
  std::unique_ptr<target_announcement_handler> announcement_handler_;
  std::unique_ptr<entry_request_handler> entry_;
  std::unique_ptr<operator_handler> operator_handler_;
  std::unique_ptr<rpc_server> rpc_server_;
  std::unique_ptr<http_server> entry_server_;
  std::unique_ptr<http_server> operators_server_;
  std::vector<std::unique_ptr<http_server>> additional_servers_;

  // Used only on the thread that calls `Run`.
  absl::Time drain_started_at_;

  absl::Mutex stop_mutex_;
  bool stop_requested_ ABSL_GUARDED_BY(stop_mutex_) = false;
};

daemon_process_impl::daemon_process_impl(daemon_settings settings, resolver_settings resolver,
                                         manifest_decoder decode)
    : settings_(std::move(settings)),
      resolver_(std::move(resolver)),
      decode_(std::move(decode)),
      request_memory_(std::make_shared<request_memory>(settings_.max_request_memory)),
      peers_(rpc_peer_client_builder()
                 .Threads(settings_.rpc_threads)
                 .Loop(LoopFor(settings_.rpc_threads))
                 .MaxMessageBytes(MaxMessageBytes(settings_))
                 .Build()),
      client_(curl_client_builder()
                  .Threads(settings_.client_threads)
                  .Loop(LoopFor(settings_.client_threads))
                  .MaxBufferedBytes(settings_.max_answer_memory)
                  .MaxIdle(settings_.target_idle_timeout, settings_.at_most_once_idle_timeout)
                  .Build()),
      locator_(settings_.control_peers),
      targets_(settings_.daemon_id, settings_.data_centre, random_),
      accounts_(clock_, loop_, settings_.token_wait, [this] { sync_->RequestSync(); }) {
  leader_client_ = std::make_unique<leader_client>(clock_, loop_, *peers_, locator_);
  executor_ = std::make_unique<target_executor>(
      target_executor_dependencies{clock_, loop_, contexts_, *client_, quarantine_,
                                   resolver_.headers, call_graph_, &loop_},
      settings_.daemon_id,
      admission_controller_builder().SetFixedLimit(settings_.fixed_concurrency_limit).Build(),
      settings_.target_lease, settings_.target_drain_time);
  sync_ = std::make_unique<sync_loop>(
      sync_dependencies{clock_, loop_, *peers_, locator_, config_, accounts_, targets_, *executor_,
                        quarantine_, decode_},
      settings_, NewIncarnation());
  probe_ = std::make_unique<target_probe>(
      probe_dependencies{clock_, loop_, *client_, *executor_, resolver_.headers},
      settings_.local_target, [this] { sync_->RequestSync(); });
  if (!settings_.local_target.address.empty()) {
    executor_->RequireConfirmation([this] { probe_->Resume(); });
  }
  sync_->SetManifestCallback([this](const manifest_index& manifest) {
    const service* local_service = manifest.FindService(settings_.local_target.service);
    if (local_service != nullptr) probe_->Start(local_service->health_path);
    const auto target = executor_->CurrentTarget();
    const service* target_service = target ? manifest.FindService(target->service) : nullptr;
    executor_->SetMaxConcurrency(target_service == nullptr ? 0 : target_service->max_concurrency);
    const overload_control_mode mode = manifest.Manifest().overload_control;
    executor_->SetOverloadControl(mode);
    call_graph_.SetOverloadControl(mode);
    targets_.SetOverloadControl(mode);
  });
  entry_dependencies_ = std::make_unique<entry_call_dependencies>(
      entry_call_dependencies{clock_, random_, loop_, accounts_, targets_, *leader_client_, *peers_,
                              quarantine_, metrics_, pending_work_, resolver_, call_graph_});
  metrics_.AddSource([this] { return targets_.FormatPrometheus(); });
  metrics_.AddSource([this] { return executor_->FormatPrometheus(); });
  metrics_.AddSource([this] { return call_graph_.FormatPrometheus(clock_.Now()); });
  metrics_.AddSource([this] { return request_memory_->FormatPrometheus(); });
  metrics_.AddSource([this] { return loop_.FormatPrometheus(); });
  announcement_handler_ = std::make_unique<target_announcement_handler>(*executor_);
  entry_ = std::make_unique<entry_request_handler>(*entry_dependencies_, config_, contexts_,
                                                   *announcement_handler_,
                                                   std::string(IpOf(settings_.listen)));
}

daemon_process_impl::~daemon_process_impl() {
  sync_->Stop();
  additional_servers_.clear();
  entry_server_.reset();
  operators_server_.reset();
  rpc_server_.reset();
  loop_.RunAndWait([this] { leader_observer_.SetLeader(nullptr); });
  member_.reset();
  peers_.reset();
  client_.reset();
  loop_.Stop();
}

result<void> daemon_process_impl::StartControl() {
  if (!settings_.control) return {};
  raft_transport_ = std::make_unique<peer_raft_transport>(*peers_);
  control_member_settings settings;
  settings.address = settings_.rpc_listen;
  settings.data_centre = settings_.data_centre;
  if (settings_.allow_bootstrap) settings.initial_voter_addresses = settings_.control_peers;
  settings.min_durable_copies = settings_.durable_copies;
  settings.timing = settings_.control_timing;
  settings.data_directory = settings_.data_dir;
  BOOST_LEAF_ASSIGN(member_, control_member_builder()
                                 .WithSettings(std::move(settings))
                                 .WithClock(clock_)
                                 .WithRandom(random_)
                                 .WithTransport(*raft_transport_)
                                 .WithObserver(leader_observer_)
                                 .Build());
  leader_service_ = std::make_unique<leader_service>(
      clock_, *member_, *peers_, decode_,
      membership_planner_settings{
          .desired_voters = settings_.control_voters,
          .replacement_timeout = settings_.control_replacement_timeout,
          .silence_timeout = settings_.control_timing.election_timeout_min,
          .max_spare_learners = std::max<size_t>(settings_.control_voters / 2, 1)},
      settings_.tolerance);
  leader_observer_.SetLeader(leader_service_.get());
  sync_->SetControlMember(member_->Status().member_id);
  return {};
}

result<void> daemon_process_impl::StartServers() {
  rpc_server_ = rpc_server_builder()
                    .Address(settings_.rpc_listen)
                    .Threads(settings_.rpc_threads)
                    .Loop(LoopFor(settings_.rpc_threads))
                    .MaxMessageBytes(MaxMessageBytes(settings_))
                    .MaxReceivingBytes(MaxReceivingBytes(settings_))
                    .Service(node_.get())
                    .Build();
  BOOST_LEAF_CHECK(rpc_server_->Start());
  entry_server_ = http_server_builder()
                      .Address(settings_.listen)
                      .Threads(settings_.http_threads)
                      .Loop(LoopFor(settings_.http_threads))
                      .MaxBodyBytes(settings_.max_body_bytes)
                      .Memory(request_memory_)
                      .DrainLinger(settings_.idle_connection_linger)
                      .Handler(entry_.get())
                      .Build();
  BOOST_LEAF_CHECK(entry_server_->Start());
  operators_server_ = http_server_builder()
                          .Address(settings_.operators_listen)
                          .Threads(1)
                          .Loop(LoopFor(settings_.http_threads))
                          .MaxConnections(64)
                          .Memory(request_memory_)
                          .Handler(operator_handler_.get())
                          .Build();
  BOOST_LEAF_CHECK(operators_server_->Start());
  return {};
}

result<void> daemon_process_impl::Build() {
  BOOST_LEAF_CHECK(StartControl());
  node_ = std::make_unique<daemon_node>(clock_, *executor_, config_, *sync_, member_.get(),
                                        leader_service_.get());
  operator_handler_ = std::make_unique<operator_handler>(clock_, *node_, *leader_client_, metrics_,
                                                         [this] { RequestStop(); });
  BOOST_LEAF_CHECK(StartServers());
  return {};
}

daemon_components daemon_process_impl::Components() {
  return {clock_, loop_, *node_, *leader_client_, config_, *executor_, *sync_, locator_};
}

result<void> daemon_process_impl::AddListener(absl::string_view address, http_handler& handler) {
  auto server = http_server_builder()
                    .Address(address)
                    .Threads(1)
                    .Loop(LoopFor(settings_.http_threads))
                    .MaxBodyBytes(settings_.max_body_bytes)
                    .MaxConnections(kMaxAdditionalListenerConnections)
                    .Memory(request_memory_)
                    .Handler(&handler)
                    .Build();
  BOOST_LEAF_CHECK(server->Start());
  additional_servers_.push_back(std::move(server));
  return {};
}

void daemon_process_impl::Start() {
  loop_.Run([this] { sync_->Start(); });
  loop_.RunAt(clock_.Now() + kBusyLogInterval, [this] { LogBusyPeriod(); });
  LOG(INFO) << "daemon: " << settings_.daemon_id << " serves callers at " << settings_.listen
            << ", daemons at " << settings_.rpc_listen << " and operators at "
            << settings_.operators_listen << ".";
}

void daemon_process_impl::RequestStop() {
  absl::MutexLock lock(&stop_mutex_);
  stop_requested_ = true;
}

void daemon_process_impl::WaitForStop() {
  absl::MutexLock lock(&stop_mutex_);
  stop_mutex_.Await(absl::Condition(&stop_requested_));
}

bool daemon_process_impl::Run() {
  WaitForStop();
  drain_started_at_ = clock_.Now();
  LogDrainStep("planned shutdown started");
  const bool finished = Drain();
  LogDrainStep(finished ? "planned shutdown is complete" : "planned shutdown ran out of time");
  return finished;
}

void daemon_process_impl::LogDrainStep(absl::string_view step) {
  const target_executor_status executor = executor_->Status();
  LOG(INFO) << "daemon: " << step << " after "
            << absl::ToInt64Milliseconds(clock_.Now() - drain_started_at_)
            << " ms; target calls: " << executor.running << " running, " << executor.queued
            << " queued; pending outcomes: " << pending_work_.Count() << ".";
}

void daemon_process_impl::LogBusyPeriod() {
  const busy_period_report period = loop_.TakeBusyPeriod();
  if (period.busy_share >= kLoggedBusyShare) {
    const target_executor_status executor = executor_->Status();
    LOG(INFO) << "daemon: the event loop was busy for " << period.busy_share
              << " of the last second, for " << absl::ToInt64Milliseconds(period.longest_run)
              << " ms at a stretch, and waited " << period.waits
              << " times; target calls: " << executor.running << " running, " << executor.queued
              << " queued, " << executor.concurrency_limit << " at once.";
  }
  loop_.RunAt(clock_.Now() + kBusyLogInterval, [this] { LogBusyPeriod(); });
}

bool daemon_process_impl::WaitUntilIdle(absl::Time deadline) {
  while (clock_.Now() < deadline) {
    const target_executor_status executor = executor_->Status();
    if (executor.running == 0 && executor.queued == 0) return true;
    absl::SleepFor(kIdleCheckInterval);
  }
  return false;
}

bool daemon_process_impl::IsBeingReplaced() const {
  // A member that has been removed from the group receives no more records, so it learns of its
  // removal from the leader's response to a sync.
  if (locator_.IsFormerMember(settings_.rpc_listen)) return false;
  const control_status status = member_->Status();
  // A leader that removes itself is needed until the change is committed.
  if (!status.members_committed) return true;
  size_t voters = 0;
  bool is_voter = false;
  for (const control_member_info& member : status.members) {
    if (!member.voter) continue;
    ++voters;
    if (member.member_id == status.member_id) is_voter = true;
  }
  const bool learner_waits = voters < status.members.size();
  return is_voter && (learner_waits || voters > settings_.control_voters);
}

void daemon_process_impl::WaitUntilReplaced(absl::Time deadline) {
  if (member_ == nullptr || settings_.control_voters == 0) return;
  while (clock_.Now() < deadline && IsBeingReplaced()) {
    sync_->RequestSync();
    absl::SleepFor(kReplacementCheckInterval);
  }
  LogDrainStep(IsBeingReplaced() ? "control group still needs this member"
                                 : "control group does not need this member");
}

void daemon_process_impl::DrainOtherListeners() {
  std::vector<std::thread> drains;
  const auto drain = [&drains](http_server& server) {
    drains.emplace_back([&server] { server.Drain(kOtherListenersDrainTimeout); });
  };
  drain(*operators_server_);
  for (const auto& server : additional_servers_) drain(*server);
  for (std::thread& thread : drains) thread.join();
}

bool daemon_process_impl::Drain() {
  const absl::Time accept_until = drain_started_at_ + settings_.drain_delay;
  const absl::Time deadline = accept_until + settings_.drain_timeout;
  sync_->BeginDrain();
  entry_->BeginDrain(accept_until, deadline - kChildCallMargin);
  entry_server_->DisableKeepAlive();
  // Callers and other daemons learn of the shutdown within the delay. Until then, they still send
  // calls here.
  absl::SleepFor(accept_until - clock_.Now());
  entry_->StopAcceptingCallers(deadline - kChildCallMargin);
  executor_->StopAccepting();
  LogDrainStep("drain delay is over");
  // The HTTP listener stays open until the target has no running call, because the target sends its
  // child calls to it.
  bool finished = WaitUntilIdle(deadline);
  LogDrainStep(finished ? "target is idle" : "target is still busy");
  entry_->StopAccepting();
  finished = entry_server_->Drain(deadline - clock_.Now()) && finished;
  LogDrainStep("server for callers stopped");
  finished = pending_work_.WaitUntilIdle(deadline - clock_.Now()) && finished;
  WaitUntilReplaced(deadline);
  finished = rpc_server_->Drain(deadline - clock_.Now()) && finished;
  LogDrainStep("server for daemons stopped");
  DrainOtherListeners();
  return finished;
}

}  // namespace

daemon_builder& daemon_builder::WithSettings(daemon_settings settings) {
  settings_ = std::move(settings);
  return *this;
}

daemon_builder& daemon_builder::WithResolver(resolver_settings resolver) {
  resolver_ = std::move(resolver);
  return *this;
}

daemon_builder& daemon_builder::WithDecoder(manifest_decoder decode) {
  decode_ = std::move(decode);
  return *this;
}

result<std::unique_ptr<daemon_process>> daemon_builder::Build() {
  auto built = std::make_unique<daemon_process_impl>(settings_, resolver_, decode_);
  BOOST_LEAF_CHECK(built->Build());
  return std::unique_ptr<daemon_process>(std::move(built));
}

}  // namespace teaseljunction
