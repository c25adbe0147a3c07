#pragma once

// A small deployment of teaseljunction-node processes on loopback addresses, with stand-ins for the
// platform, the operator, clients and application upstreams.

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Exit codes of a case.
enum verdict { kHeld = 0, kBroken = 1, kNotRun = 2 };

/// Milliseconds since the case began.
int64_t Now();
void SleepMs(int64_t ms);
/// Adds a line with its time to record.txt and to the output.
void Record(const char* format, ...) __attribute__((format(printf, 1, 2)));
/// Opens record.txt in the folder of the case. Reads TROUBLE.
void BeginCase(const std::string& folder);
bool HasTrouble();
/// Ends all processes and the case.
[[noreturn]] void EndCase(verdict result, const std::string& why);

struct response {
  /// 0 when there was no complete answer.
  int status = 0;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  /// True when the connection ended, by an end of stream or a reset, before the answer was
  /// complete.
  bool closed = false;
};

/// A client's connection.
class connection {
 public:
  connection() = default;
  connection(const connection&) = delete;
  ~connection() { Close(); }
  bool Open(const std::string& ip, int port, int timeout_ms = 1000);
  bool Send(const std::string& bytes);
  /// Reads one answer.
  response Receive(int timeout_ms);
  void Close();
  int fd() const { return fd_; }

 private:
  int fd_ = -1;
  std::string input_;
};

std::string RequestText(const std::string& method, const std::string& path,
                        const std::vector<std::pair<std::string, std::string>>& headers,
                        const std::string& body);
/// Sends one request on a connection of its own.
response Exchange(const std::string& ip, int port, const std::string& text, int timeout_ms);

struct machine {
  std::string name;
  std::string ip;
  std::string zone;
  bool core = false;
  bool bootstrap = false;
  std::string service;  // of the upstream on the machine
  std::string folder;   // settings, log and disk of the machine
  int memory_mb = 260;
  pid_t pid = 0;
  int64_t started_at = 0;
  int64_t peak_kb = 0;
  int killed_for_memory = 0;
  /// False while the platform does not start the process again.
  bool wanted = false;
};

struct deployment_options {
  int cores = 0;
  /// Services of the upstreams on the sidecar machines, one machine each.
  std::vector<std::string> sidecars;
  int tolerated = 0;
  int spare_cores = 0;
  /// Enforce memory_mb, as the platform does.
  bool limit_memory = false;
};

/// Machines, ports and processes. Ports are the same on all machines.
class deployment {
 public:
  explicit deployment(const deployment_options& options);
  ~deployment();

  /// Ends all processes and removes the temporary folder.
  void StopAll();
  void Start(machine& started);
  void Signal(machine& target, int signal);
  /// Returns true when the process has ended. Must not be used on a machine that the platform
  /// restarts.
  bool HasEnded(machine& target);
  void Kill(machine& target);
  void LoseDisk(machine& target);
  std::string DiskOf(const machine& target) const { return target.folder + "/disk"; }
  machine& Named(const std::string& name);
  std::vector<machine*> Running(bool core);

  std::vector<std::unique_ptr<machine>> machines;
  int control_port = 0, inbound_port = 0, readiness_port = 0, outbound_port = 0, app_port = 0;
  int first_internal_port = 0;

 private:
  void ChooseAddresses(size_t count);
  void WriteSettings(const machine& target);
  void Watch();

  deployment_options options_;
  std::string folder_;
  std::vector<std::string> seeds_;
  std::recursive_mutex mutex_;
  std::atomic<bool> stopping_{false};
  std::thread watcher_;
};

/// Operator: sends an order to one machine after the other, as the platform's pages describe, until
/// it has a final answer. Returns the status, 0 without an answer in time.
int PutConfig(deployment& system, uint64_t base, const std::string& config, int64_t timeout_ms,
              std::string* acknowledged_by = nullptr);
/// One read of the configuration at a machine, with up to two redirects.
response GetConfig(deployment& system, const machine& at);

struct route_spec {
  std::string name, prefix, service, kind = "safe";
  int timeout_ms = 5000, target_latency_ms = 1500, priority = 1, attempts = 2;
  bool is_public = false;
};
std::string ConfigText(uint64_t version, const std::vector<std::string>& services,
                       const std::vector<route_spec>& routes, const std::string& key,
                       int64_t max_body_bytes = 67108864);
constexpr char kHost[] = "review.example";
constexpr char kKey[] = "6wsjnbanfqasnmgkcuyj";
constexpr char kTenant[] = "pulo780";

struct upstream_request {
  std::string method, path, id, body;
  std::map<std::string, std::string> headers;
};
struct upstream_answer {
  int status = 200;
  std::string body;
};

/// Application upstream beside a sidecar machine. Reports its status, answers its health path, and
/// passes other requests to the handler, which may wait.
class upstream {
 public:
  using handler = std::function<upstream_answer(const upstream_request&)>;
  upstream(deployment& system, machine& at, int capacity, handler handle);
  ~upstream();
  const std::string& id() const { return id_; }
  /// Reports that the upstream drains until a machine acknowledges it. Returns the time of the
  /// acknowledgement, -1 if there is none.
  int64_t Drain();
  /// Withdraws and ends: closes the listening socket and all connections.
  void Exit();

 private:
  void Accept();
  void Serve(int fd);
  void Report();
  int SendReport();

  deployment& system_;
  machine& at_;
  const int capacity_;
  handler handle_;
  std::string id_;
  int listen_fd_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<int> running_{0};
  std::atomic<bool> draining_{false};
  std::atomic<int> sequence_{0};
  int64_t born_ = 0;
  std::mutex connections_mutex_;
  std::vector<int> connections_;
};

}  // namespace review
