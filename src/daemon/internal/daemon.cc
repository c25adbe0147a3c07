#include "daemon/daemon.h"

#include <atomic>
#include <ctime>
#include <utility>

#include "common/clock_source.h"
#include "common/log.h"
#include "common/sockets.h"
#include "control/control_member.h"
#include "daemon/leader_client.h"
#include "daemon/leader_service.h"
#include "daemon/node.h"
#include "daemon/operator_handler.h"
#include "daemon/sync_loop.h"
#include "daemon/target_probe.h"
#include "gateway/entry_service.h"
#include "http/curl_client.h"
#include "http/http_server.h"
#include "rpc/rpc_peer_client.h"
#include "rpc/rpc_server.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kIdleCheckInterval = absl::Milliseconds(20);
constexpr absl::Duration kOperatorsDrainTimeout = absl::Milliseconds(200);
// Connections of a listener that is neither for callers nor for operators.
constexpr unsigned kFurtherConnections = 256;

// Sends Raft messages through the connections that are kept to the other daemons.
class peer_raft_transport : public raft_transport {
 public:
  explicit peer_raft_transport(peer_client& peers) : peers_(peers) {}

  void Send(absl::string_view address, std::string message) override {
    peers_.Raft(address, std::move(message));
  }

 private:
  peer_client& peers_;
};

// Incarnations have to grow over restarts, so they come from the wall clock.
uint64_t NewIncarnation() { return static_cast<uint64_t>(absl::ToUnixMicros(absl::Now())); }

// Tells all daemons of a new manifest as soon as it is in force at the leader.
class manifest_announcer : public control_observer {
 public:
  explicit manifest_announcer(event_loop& loop) : loop_(loop) {}

  void SetLeader(leader_service* leader) { leader_ = leader; }

  void OnLeadership(bool, absl::Time) override {}
  void OnManifest(std::shared_ptr<const manifest_record>) override {
    // Not done on the control thread, which must not wait for locks of the leader's parts.
    loop_.Post([this] {
      leader_service* leader = leader_;
      if (leader != nullptr) leader->AnnounceManifest();
    });
  }

 private:
  event_loop& loop_;
  std::atomic<leader_service*> leader_ = nullptr;
};

class daemon_process_impl : public daemon_process {
 public:
  daemon_process_impl(daemon_settings settings, resolver_settings resolver,
                      manifest_decoder decode);
  ~daemon_process_impl() override;

  result<void> Build();
  void RequestStop() override;
  daemon_parts Parts() override;
  result<void> Listen(absl::string_view address, http_handler& handler) override;
  void Start() override;
  bool Run() override;

 private:
  result<void> StartControl();
  result<void> StartServers();
  event_loop* LoopFor(unsigned threads) { return threads == 0 ? &loop_ : nullptr; }
  void WaitForStop();
  bool Drain();
  bool WaitUntilIdle(absl::Time deadline);

  const daemon_settings settings_;
  const resolver_settings resolver_;
  const manifest_decoder decode_;
  system_clock_source clock_;
  system_random_source random_;
  call_metrics metrics_;
  pending_work pending_;
  configuration config_;
  quarantine_registry quarantine_;
  call_context_table contexts_{random_};
  call_graph graph_;
  event_loop loop_{clock_};
  std::unique_ptr<rpc_peer_client> peers_;
  std::unique_ptr<curl_client> client_;
  leader_locator locator_;
  target_selector targets_;
  std::unique_ptr<sync_loop> sync_;
  account_limiter accounts_;
  std::unique_ptr<leader_client> control_;
  std::unique_ptr<target_executor> executor_;
  std::unique_ptr<target_probe> probe_;
  std::unique_ptr<peer_raft_transport> raft_;
  manifest_announcer announcer_{loop_};
  std::unique_ptr<control_member> member_;
  std::unique_ptr<leader_service> leader_;
  std::unique_ptr<node> node_;
  std::unique_ptr<entry_ports> entry_ports_;
  std::unique_ptr<target_endpoint> target_endpoint_;
  std::unique_ptr<entry_service> entry_;
  std::unique_ptr<operator_handler> operators_;
  std::unique_ptr<rpc_server> rpc_server_;
  std::unique_ptr<http_server> entry_server_;
  std::unique_ptr<http_server> operators_server_;
  std::vector<std::unique_ptr<http_server>> further_servers_;

  absl::Mutex stop_mutex_;
  bool stop_requested_ ABSL_GUARDED_BY(stop_mutex_) = false;
};

daemon_process_impl::daemon_process_impl(daemon_settings settings, resolver_settings resolver,
                                         manifest_decoder decode)
    : settings_(std::move(settings)),
      resolver_(std::move(resolver)),
      decode_(std::move(decode)),
      peers_(rpc_peer_client_builder()
                 .Threads(settings_.rpc_threads)
                 .Loop(LoopFor(settings_.rpc_threads))
                 .Build()),
      client_(curl_client_builder()
                  .Threads(settings_.client_threads)
                  .Loop(LoopFor(settings_.client_threads))
                  .MaxIdle(settings_.target_idle, settings_.target_idle_at_most_once)
                  .Build()),
      locator_(settings_.control_peers),
      targets_(settings_.daemon_id, settings_.data_centre, random_),
      accounts_(clock_, loop_, settings_.token_wait, [this] { sync_->RequestSync(); }) {
  control_ = std::make_unique<leader_client>(clock_, loop_, *peers_, locator_);
  executor_ = std::make_unique<target_executor>(
      executor_ports{clock_, loop_, contexts_, *client_, quarantine_, resolver_.headers, graph_},
      settings_.daemon_id,
      admission_controller_builder().SetFixedLimit(settings_.fixed_concurrency).Build(),
      settings_.target_lease);
  sync_ =
      std::make_unique<sync_loop>(sync_ports{clock_, loop_, *peers_, locator_, config_, accounts_,
                                             targets_, *executor_, quarantine_, decode_},
                                  settings_, NewIncarnation());
  probe_ = std::make_unique<target_probe>(
      probe_ports{clock_, loop_, *client_, *executor_, resolver_.headers}, settings_.local_target,
      [this] { sync_->RequestSync(); });
  sync_->OnManifest([this](const manifest_index& manifest) {
    const service* beside = manifest.FindService(settings_.local_target.service);
    if (beside != nullptr) probe_->Start(beside->health_path);
    const auto target = executor_->Target();
    const service* own = target ? manifest.FindService(target->service) : nullptr;
    executor_->SetMaxConcurrency(own == nullptr ? 0 : own->max_concurrency);
  });
  entry_ports_ = std::make_unique<entry_ports>(
      entry_ports{clock_, random_, loop_, accounts_, targets_, *control_, *peers_, quarantine_,
                  metrics_, pending_, resolver_, graph_});
  target_endpoint_ = std::make_unique<target_endpoint>(*executor_);
  entry_ = std::make_unique<entry_service>(*entry_ports_, config_, contexts_, *target_endpoint_,
                                           std::string(IpOf(settings_.listen)));
}

daemon_process_impl::~daemon_process_impl() {
  sync_->Stop();
  further_servers_.clear();
  entry_server_.reset();
  operators_server_.reset();
  rpc_server_.reset();
  loop_.RunAndWait([this] { announcer_.SetLeader(nullptr); });
  member_.reset();
  peers_.reset();
  client_.reset();
  loop_.Stop();
}

result<void> daemon_process_impl::StartControl() {
  if (!settings_.control) return {};
  raft_ = std::make_unique<peer_raft_transport>(*peers_);
  control_member_settings settings;
  settings.address = settings_.rpc_listen;
  settings.data_centre = settings_.data_centre;
  if (settings_.may_bootstrap) settings.initial_peers = settings_.control_peers;
  settings.min_copies = settings_.durable_copies;
  settings.times = settings_.control_times;
  settings.data_folder = settings_.data_dir;
  BOOST_LEAF_ASSIGN(member_, control_member_builder()
                                 .WithSettings(std::move(settings))
                                 .WithClock(clock_)
                                 .WithRandom(random_)
                                 .WithTransport(*raft_)
                                 .WithObserver(announcer_)
                                 .Build());
  leader_ = std::make_unique<leader_service>(
      clock_, *member_, *peers_, decode_,
      membership_planner_settings{.voters = settings_.control_voters}, settings_.tolerance);
  announcer_.SetLeader(leader_.get());
  sync_->SetControlMember(member_->Status().member_id);
  return {};
}

result<void> daemon_process_impl::StartServers() {
  rpc_server_ = rpc_server_builder()
                    .Address(settings_.rpc_listen)
                    .Threads(settings_.rpc_threads)
                    .Loop(LoopFor(settings_.rpc_threads))
                    .Service(node_.get())
                    .Build();
  BOOST_LEAF_CHECK(rpc_server_->Start());
  entry_server_ = http_server_builder()
                      .Address(settings_.listen)
                      .Threads(settings_.http_threads)
                      .Loop(LoopFor(settings_.http_threads))
                      .MaxBodyBytes(settings_.max_body_bytes)
                      .DrainLinger(settings_.drain_linger)
                      .Handler(entry_.get())
                      .Build();
  BOOST_LEAF_CHECK(entry_server_->Start());
  operators_server_ = http_server_builder()
                          .Address(settings_.operators_listen)
                          .Threads(1)
                          .Loop(LoopFor(settings_.http_threads))
                          .MaxConnections(64)
                          .Handler(operators_.get())
                          .Build();
  BOOST_LEAF_CHECK(operators_server_->Start());
  return {};
}

result<void> daemon_process_impl::Build() {
  BOOST_LEAF_CHECK(StartControl());
  node_ = std::make_unique<node>(clock_, *executor_, config_, *sync_, member_.get(), leader_.get());
  operators_ = std::make_unique<operator_handler>(clock_, *node_, *control_, metrics_,
                                                  [this] { RequestStop(); });
  BOOST_LEAF_CHECK(StartServers());
  return {};
}

daemon_parts daemon_process_impl::Parts() {
  return {clock_, loop_, *node_, *control_, config_, *executor_, *sync_, locator_};
}

result<void> daemon_process_impl::Listen(absl::string_view address, http_handler& handler) {
  auto server = http_server_builder()
                    .Address(address)
                    .Threads(1)
                    .Loop(LoopFor(settings_.http_threads))
                    .MaxBodyBytes(settings_.max_body_bytes)
                    .MaxConnections(kFurtherConnections)
                    .Handler(&handler)
                    .Build();
  BOOST_LEAF_CHECK(server->Start());
  further_servers_.push_back(std::move(server));
  return {};
}

void daemon_process_impl::Start() {
  loop_.Run([this] { sync_->Start(); });
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
  LOG(INFO) << "daemon: planned shutdown begins.";
  const bool finished = Drain();
  LOG(INFO) << "daemon: planned shutdown is complete.";
  return finished;
}

bool daemon_process_impl::WaitUntilIdle(absl::Time deadline) {
  while (clock_.Now() < deadline) {
    const executor_status executor = executor_->Status();
    if (executor.running == 0 && executor.queued == 0) return true;
    absl::SleepFor(kIdleCheckInterval);
  }
  return false;
}

bool daemon_process_impl::Drain() {
  const absl::Time deadline = clock_.Now() + settings_.drain_delay + settings_.drain_timeout;
  sync_->BeginDrain();
  // Other daemons learn of the shutdown with their next sync; until then calls still arrive.
  absl::SleepFor(settings_.drain_delay);
  // The HTTP listener stays open until the target has no call, because its child calls come here.
  bool finished = WaitUntilIdle(deadline);
  finished = entry_server_->Drain(deadline - clock_.Now()) && finished;
  finished = pending_.WaitUntilIdle(deadline - clock_.Now()) && finished;
  finished = rpc_server_->Drain(deadline - clock_.Now()) && finished;
  operators_server_->Drain(kOperatorsDrainTimeout);
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
