#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>

namespace review {
namespace {

namespace fs = std::filesystem;

constexpr char kProgram[] = "target/bin/teaseljunction-node";
// Pause of the platform before it starts an ended process again.
constexpr int64_t kRestartDelayMs = 500;
constexpr int64_t kWatchIntervalMs = 5;
constexpr int kHeartbeatMs = 1500;

const auto kStart = std::chrono::steady_clock::now();
std::mutex record_mutex;
FILE* record_file = nullptr;
deployment* current = nullptr;

sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool IsFree(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Address(ip, port);
  const bool is_free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return is_free;
}

// Returns the highest resident memory of a process so far.
int64_t PeakKb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) == 0) return atoll(line.c_str() + 6);
  }
  return 0;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return tolower(c); });
  return text;
}

// Splits a head into its first line and its headers.
std::string ParseHead(const std::string& head, std::map<std::string, std::string>& headers) {
  size_t line_end = head.find("\r\n");
  const std::string first = head.substr(0, line_end);
  while (line_end != std::string::npos && line_end + 2 < head.size()) {
    const size_t begin = line_end + 2;
    line_end = head.find("\r\n", begin);
    const std::string line = head.substr(begin, line_end - begin);
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    headers[Lower(line.substr(0, colon))] = line.substr(value);
  }
  return first;
}

// Adds what arrives next to `input`. Returns false at the deadline, and at the end of the stream
// with `closed` set.
bool ReadMore(int fd, std::string& input, int64_t deadline, bool& closed) {
  const int64_t left = deadline - Now();
  if (left <= 0) return false;
  pollfd polled = {fd, POLLIN, 0};
  if (poll(&polled, 1, static_cast<int>(left)) <= 0) return false;
  char buffer[65536];
  const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
  if (count <= 0) {
    closed = true;
    return false;
  }
  input.append(buffer, static_cast<size_t>(count));
  return true;
}

bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

}  // namespace

int64_t Now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               kStart)
      .count();
}

void SleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

void Record(const char* format, ...) {
  char text[1024];
  va_list arguments;
  va_start(arguments, format);
  vsnprintf(text, sizeof(text), format, arguments);
  va_end(arguments);
  const std::lock_guard lock(record_mutex);
  for (FILE* out : {record_file, stdout}) {
    if (out == nullptr) continue;
    fprintf(out, "%8.3f s  %s\n", static_cast<double>(Now()) / 1000, text);
    fflush(out);
  }
}

bool HasTrouble() {
  const char* trouble = getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

void BeginCase(const std::string& folder) {
  signal(SIGPIPE, SIG_IGN);
  record_file = fopen((folder + "/record.txt").c_str(), "w");
  Record("TROUBLE=%d", HasTrouble() ? 1 : 0);
  if (access(kProgram, X_OK) != 0) EndCase(kNotRun, std::string(kProgram) + " is not built");
}

void EndCase(verdict result, const std::string& why) {
  const char* words[] = {"the rule held", "the rule was broken", "the case could not run"};
  Record("%s: %s", words[result], why.c_str());
  if (current != nullptr) current->StopAll();
  fflush(nullptr);
  _exit(result);
}

bool connection::Open(const std::string& ip, int port, int timeout_ms) {
  Close();
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = Address(ip, port);
  const int done = connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (done != 0 && errno != EINPROGRESS) return Close(), false;
  pollfd polled = {fd_, POLLOUT, 0};
  int failure = 0;
  socklen_t size = sizeof(failure);
  if (poll(&polled, 1, timeout_ms) <= 0) return Close(), false;
  getsockopt(fd_, SOL_SOCKET, SO_ERROR, &failure, &size);
  if (failure != 0) return Close(), false;
  fcntl(fd_, F_SETFL, 0);
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return true;
}

void connection::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
  input_.clear();
}

bool connection::Send(const std::string& bytes) { return fd_ >= 0 && SendAll(fd_, bytes); }

response connection::Receive(int timeout_ms) {
  response received;
  const int64_t deadline = Now() + timeout_ms;
  size_t head_end = 0;
  while ((head_end = input_.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(fd_, input_, deadline, received.closed)) return received;
  }
  const std::string first = ParseHead(input_.substr(0, head_end), received.headers);
  const auto length = received.headers.find("content-length");
  const size_t body = length == received.headers.end() ? 0 : std::stoull(length->second);
  while (input_.size() < head_end + 4 + body) {
    if (!ReadMore(fd_, input_, deadline, received.closed)) return received;
  }
  received.status = first.size() > 11 ? atoi(first.c_str() + 9) : 0;
  received.body = input_.substr(head_end + 4, body);
  input_.erase(0, head_end + 4 + body);
  return received;
}

std::string RequestText(const std::string& method, const std::string& path,
                        const std::vector<std::pair<std::string, std::string>>& headers,
                        const std::string& body) {
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  if (!body.empty() || method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

response Exchange(const std::string& ip, int port, const std::string& text, int timeout_ms) {
  connection opened;
  if (!opened.Open(ip, port, timeout_ms) || !opened.Send(text)) return {};
  return opened.Receive(timeout_ms);
}

deployment::deployment(const deployment_options& options) : options_(options) {
  char pattern[] = "/tmp/review-XXXXXX";
  folder_ = mkdtemp(pattern);
  const char* zones[] = {"lm-a", "ok-a", "vi-a"};
  for (int i = 0; i < options.cores + options.spare_cores; ++i) {
    auto added = std::make_unique<machine>();
    added->name = "core-" + std::to_string(i + 1);
    added->core = true;
    added->bootstrap = i < options.cores;
    added->memory_mb = 256;
    added->zone = zones[i % 3];
    machines.push_back(std::move(added));
  }
  for (size_t i = 0; i < options.sidecars.size(); ++i) {
    auto added = std::make_unique<machine>();
    added->name = "sidecar-" + std::to_string(i + 1);
    added->bootstrap = true;
    added->zone = zones[i % 3];
    added->service = options.sidecars[i];
    machines.push_back(std::move(added));
  }
  ChooseAddresses(machines.size());
  for (const auto& listed : machines) {
    listed->folder = folder_ + "/" + listed->name;
    fs::create_directories(listed->folder);
    if (listed->core) fs::create_directories(DiskOf(*listed));
    if (listed->core && seeds_.size() < 3 && listed->bootstrap) {
      seeds_.push_back(listed->ip + ":" + std::to_string(control_port));
    }
  }
  current = this;
  watcher_ = std::thread([this] { Watch(); });
}

deployment::~deployment() { StopAll(); }

void deployment::StopAll() {
  if (stopping_.exchange(true)) return;
  current = nullptr;
  watcher_.join();
  for (const auto& listed : machines) Kill(*listed);
  std::error_code ignored;
  // KEEP is set to look at the logs of the processes.
  if (getenv("KEEP") == nullptr) fs::remove_all(folder_, ignored);
}

void deployment::ChooseAddresses(size_t count) {
  std::mt19937 random(std::random_device{}());
  for (int tries = 0; tries < 100; ++tries) {
    const std::string net = "127." + std::to_string(20 + random() % 200) + "." +
                            std::to_string(1 + random() % 250) + ".";
    const int base = 20000 + static_cast<int>(random() % 12000);
    bool all_free = true;
    for (size_t i = 0; i < count && all_free; ++i) {
      machines[i]->ip = net + std::to_string(10 + i);
      for (int port = base; port < base + 24 && all_free; ++port) {
        all_free = IsFree(machines[i]->ip, port);
      }
    }
    if (!all_free) continue;
    control_port = base;
    inbound_port = base + 1;
    outbound_port = base + 2;
    readiness_port = base + 3;
    app_port = base + 4;
    first_internal_port = base + 8;
    return;
  }
  EndCase(kNotRun, "no free ports");
}

void deployment::WriteSettings(const machine& target) {
  const auto at = [&](int port) { return "\"" + target.ip + ":" + std::to_string(port) + "\""; };
  std::string seeds;
  for (const std::string& seed : seeds_) seeds += (seeds.empty() ? "\"" : ",\"") + seed + "\"";
  std::string text =
      "{\"self\":{\"node_name\":\"" + target.name + "\",\"role\":\"" +
      (target.core ? "control" : "traffic") + "\",\"machine_class\":\"" +
      (target.core ? "core" : "sidecar") + "\",\"serves\":[\"" +
      (target.core ? "control_plane" : "sidecar") + "\"],\"ip\":\"" + target.ip + "\",\"zone\":\"" +
      target.zone +
      "\",\"region\":\"lower-mainland\",\"fault_counted\":" + (target.core ? "true" : "false") +
      ",\"bootstrap\":" + (target.bootstrap ? "true" : "false") +
      ",\"data_dir\":" + (target.core ? "\"" + DiskOf(target) + "\"" : "null") +
      ",\"limits\":{\"cpu_share\":0.4,\"cpu_cores\":1,\"memory_mb\":" +
      std::to_string(target.memory_mb) +
      ",\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":" + (target.core ? "256" : "0") + "}";
  if (!target.core) {
    text += ",\"app_addr\":" + at(app_port) + ",\"service\":\"" + target.service + "\"";
  }
  text += "},\"network\":{\"bind_addrs\":{\"control\":" + at(control_port);
  if (!target.core) {
    text += ",\"inbound\":" + at(inbound_port) + ",\"outbound\":" + at(outbound_port) +
            ",\"readiness\":" + at(readiness_port);
  }
  text += "},\"internal_port_range\":[" + std::to_string(first_internal_port) + "," +
          std::to_string(first_internal_port + 15) + "],\"seeds\":[" + seeds +
          "],\"zones\":{\"lm-a\":\"lower-mainland\",\"ok-a\":\"lower-mainland\",\"vi-a\":"
          "\"lower-mainland\"}},\"provider\":{\"discovery\":\"static\",\"entry\":\"static\","
          "\"heartbeat_ms\":" +
          std::to_string(kHeartbeatMs) +
          "},\"terms\":{\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\","
          "\"recover\",\"pressure\",\"tenants\",\"quota\"],\"fault_tolerance\":{\"machines\":" +
          std::to_string(options_.tolerated) +
          ",\"zones\":0,\"regions\":0},\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,"
          "\"settle_window_ms\":3000,\"ack_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,"
          "\"grace_s\":6,\"loss_slack_ms\":200,\"config_ms\":2000,\"rollback_slack_ms\":250,"
          "\"outer_ms\":5000,\"revoke_strict\":true,\"revoke_ms\":5000,\"retry_budget_ratio\":0.2,"
          "\"budget_window_s\":10,\"budget_slack\":49,\"quota_window_s\":5,\"quota_overage\":0.1,"
          "\"quota_slack\":20,\"recovery_s\":15}}}\n";
  std::ofstream(target.folder + "/local.json") << text;
}

void deployment::Start(machine& started) {
  const std::lock_guard lock(mutex_);
  WriteSettings(started);
  const std::string settings = "TEASELJUNCTION_SETTINGS=" + started.folder + "/local.json";
  const std::string path = std::string("PATH=") + (getenv("PATH") ? getenv("PATH") : "/usr/bin");
  const std::string log = started.folder + "/log";
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    const char* arguments[] = {kProgram, nullptr};
    const char* environment[] = {settings.c_str(), path.c_str(), "HOME=/tmp", "LANG=C.UTF-8",
                                 nullptr};
    execve(kProgram, const_cast<char**>(arguments), const_cast<char**>(environment));
    _exit(127);
  }
  started.pid = pid;
  started.started_at = Now();
  started.wanted = true;
  Record("platform: started %s at %s, bootstrap %d", started.name.c_str(), started.ip.c_str(),
         started.bootstrap ? 1 : 0);
}

void deployment::Signal(machine& target, int signal) {
  const std::lock_guard lock(mutex_);
  if (target.pid > 0) kill(target.pid, signal);
}

bool deployment::HasEnded(machine& target) {
  const std::lock_guard lock(mutex_);
  if (target.pid > 0 && waitpid(target.pid, nullptr, WNOHANG) == target.pid) target.pid = 0;
  return target.pid == 0;
}

void deployment::Kill(machine& target) {
  const std::lock_guard lock(mutex_);
  target.wanted = false;
  if (target.pid <= 0) return;
  kill(target.pid, SIGKILL);
  waitpid(target.pid, nullptr, 0);
  target.pid = 0;
}

void deployment::LoseDisk(machine& target) {
  fs::remove_all(DiskOf(target));
  fs::create_directories(DiskOf(target));
}

machine& deployment::Named(const std::string& name) {
  for (const auto& listed : machines) {
    if (listed->name == name) return *listed;
  }
  EndCase(kNotRun, "no machine " + name);
}

std::vector<machine*> deployment::Running(bool core) {
  const std::lock_guard lock(mutex_);
  std::vector<machine*> found;
  for (const auto& listed : machines) {
    if (listed->core == core && listed->pid > 0) found.push_back(listed.get());
  }
  return found;
}

// Kills processes above their memory limit and starts ended processes again, as the platform does.
void deployment::Watch() {
  std::map<machine*, int64_t> ended_at;
  while (!stopping_) {
    SleepMs(kWatchIntervalMs);
    const std::lock_guard lock(mutex_);
    for (const auto& listed : machines) {
      machine& watched = *listed;
      if (!watched.wanted) continue;
      if (watched.pid > 0) {
        const int64_t resident = PeakKb(watched.pid);
        watched.peak_kb = std::max(watched.peak_kb, resident);
        if (options_.limit_memory && resident > watched.memory_mb * int64_t{1024}) {
          ++watched.killed_for_memory;
          Record("platform: %s uses %lld MB of %d MB and is killed", watched.name.c_str(),
                 static_cast<long long>(resident / 1024), watched.memory_mb);
          kill(watched.pid, SIGKILL);
          waitpid(watched.pid, nullptr, 0);
          watched.pid = 0;
          ended_at[&watched] = Now();
        } else if (waitpid(watched.pid, nullptr, WNOHANG) == watched.pid) {
          Record("platform: the process of %s has ended", watched.name.c_str());
          watched.pid = 0;
          ended_at[&watched] = Now();
        }
      } else if (Now() - ended_at[&watched] >= kRestartDelayMs && !stopping_) {
        watched.bootstrap = false;
        Start(watched);
      }
    }
  }
}

namespace {

// Follows up to two redirects. Sets `answered_by` to the address of the last answer.
response FollowRedirects(const std::string& first_ip, int port, const std::string& text,
                         int timeout_ms, std::string& answered_by) {
  std::string ip = first_ip;
  response received;
  for (int hop = 0; hop < 3; ++hop) {
    answered_by = ip;
    received = Exchange(ip, port, text, timeout_ms);
    if (received.status != 307) return received;
    const std::string location = received.headers["location"];
    const size_t host = location.find("//") + 2;
    ip = location.substr(host, location.find(':', host) - host);
  }
  return received;
}

}  // namespace

int PutConfig(deployment& system, uint64_t base, const std::string& config, int64_t timeout_ms,
              std::string* acknowledged_by) {
  const std::string text = RequestText("PUT", "/v1/config",
                                       {{"Host", "control"},
                                        {"Content-Type", "application/json"},
                                        {"If-Match", std::to_string(base)}},
                                       config);
  const int64_t deadline = Now() + timeout_ms;
  int64_t pause = 50;
  for (size_t next = 0; Now() < deadline; ++next) {
    const std::vector<machine*> cores = system.Running(true);
    if (cores.empty()) {
      SleepMs(100);
      continue;
    }
    std::string answered_by;
    // A second without an answer, and more for large bodies.
    const int wait = 1000 + static_cast<int>(config.size() / 1000);
    const response received = FollowRedirects(cores[next % cores.size()]->ip, system.control_port,
                                              text, wait, answered_by);
    const bool final = received.status == 200 || received.status == 400 || received.status == 409 ||
                       received.status == 412 || received.status == 413 || received.status == 422;
    if (final) {
      if (acknowledged_by != nullptr) *acknowledged_by = answered_by;
      return received.status;
    }
    SleepMs(pause);
    pause = std::min<int64_t>(pause * 2, 500);
  }
  return 0;
}

response GetConfig(deployment& system, const machine& at) {
  std::string answered_by;
  return FollowRedirects(at.ip, system.control_port,
                         RequestText("GET", "/v1/config", {{"Host", "control"}}, ""), 1000,
                         answered_by);
}

std::string ConfigText(uint64_t version, const std::vector<std::string>& services,
                       const std::vector<route_spec>& routes, const std::string& key,
                       int64_t max_body_bytes) {
  std::string text = "{\"version\":" + std::to_string(version) + ",\"services\":[";
  for (size_t i = 0; i < services.size(); ++i) {
    text += (i > 0 ? ",{" : "{") + std::string("\"name\":\"") + services[i] +
            "\",\"health_path\":\"/healthz\",\"max_connections\":1138,\"protocol\":\"h1\","
            "\"tls\":false}";
  }
  text += "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" +
          std::to_string(max_body_bytes) +
          ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"" +
          kTenant + "\",\"api_keys\":[\"" + key +
          "\"],\"priority\":1,\"rate_per_s\":0,\"burst\":0}],\"virtual_hosts\":[{\"hostname\":\"" +
          kHost + "\",\"paths\":[";
  for (size_t i = 0; i < routes.size(); ++i) {
    const route_spec& route = routes[i];
    text += (i > 0 ? ",{" : "{") + std::string("\"name\":\"") + route.name +
            "\",\"path_prefix\":\"" + route.prefix + "\",\"kind\":\"" + route.kind +
            "\",\"timeout_ms\":" + std::to_string(route.timeout_ms) +
            ",\"target_latency_ms\":" + std::to_string(route.target_latency_ms) +
            ",\"priority\":" + std::to_string(route.priority) + ",\"service\":\"" + route.service +
            "\",\"attempts\":" + std::to_string(route.attempts) +
            ",\"public\":" + (route.is_public ? "true}" : "false}");
  }
  return text + "]}]}";
}

upstream::upstream(deployment& system, machine& at, int capacity, handler handle)
    : system_(system), at_(at), capacity_(capacity), handle_(std::move(handle)) {
  id_ = "i-" + at.name;
  listen_fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listen_fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Address(at.ip, system.app_port);
  if (bind(listen_fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listen_fd_, 1024) != 0) {
    EndCase(kNotRun, "the upstream's address is in use");
  }
  born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
  std::thread([this] { Accept(); }).detach();
  std::thread([this] { Report(); }).detach();
}

upstream::~upstream() { stopping_ = true; }

void upstream::Accept() {
  while (!stopping_) {
    const int fd = accept4(listen_fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const std::lock_guard lock(connections_mutex_);
    connections_.push_back(fd);
    std::thread([this, fd] { Serve(fd); }).detach();
  }
}

int64_t upstream::Drain() {
  draining_ = true;
  for (int tries = 0; tries < 5; ++tries) {
    if (SendReport() == 200) return Now();
  }
  return -1;
}

void upstream::Exit() {
  stopping_ = true;
  Exchange(at_.ip, system_.control_port,
           RequestText("DELETE", "/v1/instances/" + id_, {{"Host", "control"}}, ""), 1000);
  shutdown(listen_fd_, SHUT_RDWR);
  close(listen_fd_);
  const std::lock_guard lock(connections_mutex_);
  for (const int fd : connections_) shutdown(fd, SHUT_RDWR);
}

void upstream::Serve(int fd) {
  const std::unique_ptr<int, std::function<void(int*)>> closer(&fd, [this](int* served) {
    const std::lock_guard lock(connections_mutex_);
    connections_.erase(std::find(connections_.begin(), connections_.end(), *served));
    close(*served);
  });
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  std::string input;
  bool closed = false;
  while (!stopping_) {
    size_t head_end = 0;
    while ((head_end = input.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadMore(fd, input, Now() + 10000, closed)) return;
    }
    upstream_request request;
    const std::string first = ParseHead(input.substr(0, head_end), request.headers);
    request.method = first.substr(0, first.find(' '));
    request.path = first.substr(first.find(' ') + 1);
    request.path = request.path.substr(0, request.path.find(' '));
    request.id = request.headers["x-request-id"];
    const size_t body = request.headers.count("content-length")
                            ? std::stoull(request.headers["content-length"])
                            : 0;
    while (input.size() < head_end + 4 + body) {
      if (!ReadMore(fd, input, Now() + 30000, closed)) return;
    }
    request.body = input.substr(head_end + 4, body);
    input.erase(0, head_end + 4 + body);
    const int running = ++running_;
    std::string extra;
    upstream_answer answer;
    if (request.path == "/healthz") {
      extra = "X-Instance-Id: " + id_ + "\r\n";
    } else if (request.headers.count("x-target-instance") &&
               request.headers["x-target-instance"] != id_) {
      answer.status = 421;
      extra = "X-Not-Executed: 1\r\n";
    } else {
      answer = handle_(request);
    }
    --running_;
    const std::string text =
        "HTTP/1.1 " + std::to_string(answer.status) + " X\r\n" +
        (request.id.empty() ? "" : "X-Request-Id: " + request.id + "\r\n") +
        "X-Server-Signature: " + id_ + "." + std::to_string(answer.body.size()) + "\r\n" + extra +
        "X-Server-Load: " + std::to_string(running) + ",0," + std::to_string(capacity_) +
        "\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
    if (stopping_ || !SendAll(fd, text)) return;
  }
}

int upstream::SendReport() {
  const std::string body =
      "{\"service\":\"" + at_.service + "\",\"address\":\"" + at_.ip + ":" +
      std::to_string(system_.app_port) + "\",\"zone\":\"" + at_.zone +
      "\",\"version\":\"v1\",\"capacity\":" + std::to_string(capacity_) + ",\"state\":\"" +
      (draining_ ? "draining" : "ready") +
      "\",\"warmup_remaining_ms\":0,\"sequence\":" + std::to_string(++sequence_) +
      ",\"born\":" + std::to_string(born_) + "}";
  return Exchange(at_.ip, system_.control_port,
                  RequestText("PUT", "/v1/instances/" + id_,
                              {{"Host", "control"}, {"Content-Type", "application/json"}}, body),
                  1000)
      .status;
}

void upstream::Report() {
  while (!stopping_) {
    SendReport();
    SleepMs(kHeartbeatMs);
  }
}

}  // namespace review
