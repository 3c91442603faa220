// Stand-ins of the platform, its replicas and its clients for the review cases: a store, an HTTP
// listener, an HTTP client and a runner of the project's own processes. One thread per connection.
#ifndef REVIEW_STANDINS_H_
#define REVIEW_STANDINS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const clock::time_point kStart = clock::now();
inline double Now() { return std::chrono::duration<double>(clock::now() - kStart).count(); }
inline void SleepMs(double ms) {
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
  }
}

/// Lines of record.txt, each with the time since the start of the script.
class record {
 public:
  explicit record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::fprintf(file_, "%9.3f ", Now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  std::mutex mutex_;
};

inline std::string Lower(std::string text) {
  for (char& each : text) {
    each = static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
  }
  return text;
}

struct message {
  std::string start;  ///< The request or status line.
  std::string method, target;
  int status = 0;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
  bool complete = false;  ///< The body has its whole length, or its last chunk.

  [[nodiscard]] std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

/// A connected socket with what was read ahead.
class connection {
 public:
  explicit connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~connection() { Close(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  [[nodiscard]] int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }
  /// Closes with a reset.
  void Reset() {
    if (fd_ >= 0) {
      const linger now{1, 0};
      setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      Close();
    }
  }
  bool Send(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t sent = send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(sent);
    }
    return true;
  }
  /// \returns false at the end of the connection or after the time.
  bool Fill(double timeout_ms) {
    pollfd waiting{fd_, POLLIN, 0};
    if (poll(&waiting, 1, timeout_ms < 0 ? -1 : static_cast<int>(timeout_ms)) <= 0) {
      timed_out_ = true;
      return false;
    }
    char bytes[65536];
    const ssize_t length = recv(fd_, bytes, sizeof(bytes), 0);
    if (length <= 0) {
      ended_ = true;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(length));
    return true;
  }
  bool ReadHead(message& into, double timeout_ms) {
    std::size_t end;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(timeout_ms)) {
        return false;
      }
    }
    std::istringstream head(buffer_.substr(0, end + 2));
    buffer_.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    into = {};
    into.start = line.substr(0, line.size() - 1);
    std::istringstream first(into.start);
    if (into.start.starts_with("HTTP/")) {
      std::string version;
      first >> version >> into.status;
    } else {
      first >> into.method >> into.target;
    }
    while (std::getline(head, line) && line.size() > 1) {
      line.pop_back();
      const std::size_t colon = line.find(':');
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      into.headers[Lower(line.substr(0, colon))] = line.substr(value);
    }
    return true;
  }
  bool ReadBody(message& into, double timeout_ms) {
    if (Lower(into.Header("transfer-encoding")) == "chunked") {
      while (true) {
        std::size_t end;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
          if (!Fill(timeout_ms)) {
            return false;
          }
        }
        const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
        while (buffer_.size() < end + 2 + size + 2) {
          if (!Fill(timeout_ms)) {
            return false;
          }
        }
        into.body += buffer_.substr(end + 2, size);
        buffer_.erase(0, end + 2 + size + 2);
        if (size == 0) {
          into.complete = true;
          return true;
        }
      }
    }
    const std::size_t length = std::strtoul(into.Header("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
      if (!Fill(timeout_ms)) {
        return false;
      }
    }
    into.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    into.complete = true;
    return true;
  }
  bool Read(message& into, double timeout_ms) {
    return ReadHead(into, timeout_ms) && ReadBody(into, timeout_ms);
  }
  [[nodiscard]] bool ended() const { return ended_; }
  [[nodiscard]] bool timed_out() const { return timed_out_; }

 private:
  int fd_;
  std::string buffer_;
  bool ended_ = false;
  bool timed_out_ = false;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

/// \returns A connected socket, or -1.
inline int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/// Ports that were free a moment ago, each a different one.
inline std::vector<int> FreePorts(int count) {
  std::vector<int> sockets, ports;
  for (int i = 0; i < count; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(0);
    socklen_t length = sizeof(address);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), length) != 0) {
      std::exit(2);
    }
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    sockets.push_back(fd);
    ports.push_back(ntohs(address.sin_port));
  }
  for (const int fd : sockets) {
    close(fd);
  }
  return ports;
}

/// Accepts connections on a port of its own; each is served by a thread.
class listener {
 public:
  using handler = std::function<void(connection&)>;
  explicit listener(handler serve, int port = 0) : serve_(std::move(serve)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = Loopback(port);
    socklen_t length = sizeof(address);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), length) != 0 || listen(fd_, 512) != 0) {
      std::fprintf(stderr, "cannot listen\n");
      std::exit(2);
    }
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
    std::thread([this] {
      while (true) {
        const int accepted = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
          return;
        }
        std::thread([this, accepted] {
          connection served(accepted);
          serve_(served);
        }).detach();
      }
    }).detach();
  }
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  handler serve_;
  int fd_ = -1;
  int port_ = 0;
};

inline std::string Base64(const std::string& bytes) {
  constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j > bytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63U];
    }
  }
  return text;
}

inline std::string Reply(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store: range reads and watches.
class store {
 public:
  store() : listener_([this](connection& from) { Serve(from); }) {}
  [[nodiscard]] std::string address() const { return listener_.address(); }
  std::uint64_t Put(const std::string& key, const std::string& value) {
    return Change(key, value, false);
  }
  std::uint64_t Remove(const std::string& key) { return Change(key, "", true); }

 private:
  struct change {
    std::string key, value;
    std::uint64_t revision;
    bool removed;
  };
  std::uint64_t Change(const std::string& key, const std::string& value, bool removed) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const change made{key, value, ++revision_, removed};
    history_.push_back(made);
    if (removed) {
      items_.erase(key);
    } else {
      items_[key] = made;
    }
    changed_.notify_all();
    return made.revision;
  }
  static std::string Text(const change& each) {
    const std::string rev = std::to_string(each.revision);
    return each.removed ? R"({"key":")" + each.key + R"(","rev":)" + rev + R"(,"tombstone":true})"
                        : R"({"key":")" + each.key + R"(","value":")" + Base64(each.value) +
                              R"(","rev":)" + rev + R"(,"createRev":)" + rev + R"(,"lease":0})";
  }
  static std::string Parameter(const std::string& target, const std::string& name) {
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos
               ? ""
               : target.substr(at + name.size() + 1,
                               target.find('&', at) == std::string::npos
                                   ? std::string::npos
                                   : target.find('&', at) - at - name.size() - 1);
  }
  std::string Answer(const std::string& target) {
    std::unique_lock<std::mutex> lock(mutex_);
    const std::string prefix = Parameter(target, "prefix");
    std::string list;
    const auto append = [&](const change& each) { list += (list.empty() ? "" : ",") + Text(each); };
    if (target.starts_with("/v1/kv-range")) {
      for (const auto& [key, each] : items_) {
        if (key.starts_with(prefix)) {
          append(each);
        }
      }
      return R"({"items":[)" + list + R"(],"truncated":false,"storeRevision":)" +
             std::to_string(revision_) + "}";
    }
    const std::uint64_t after = std::strtoull(Parameter(target, "after").c_str(), nullptr, 10);
    const auto until =
        clock::now() + milliseconds(std::strtol(Parameter(target, "waitMs").c_str(), nullptr, 10));
    while (true) {
      for (const change& each : history_) {
        if (each.revision > after && each.key.starts_with(prefix)) {
          append(each);
        }
      }
      if (!list.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) {
        return R"({"events":[)" + list + R"(],"storeRevision":)" + std::to_string(revision_) + "}";
      }
    }
  }
  void Serve(connection& from) {
    message call;
    while (from.Read(call, -1)) {
      SleepMs(4);
      if (!from.Send(Reply(200, "Content-Type: application/json\r\n", Answer(call.target)))) {
        return;
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, change> items_;
  std::vector<change> history_;
  std::uint64_t revision_ = 0;
  listener listener_;
};

/// A process of the project, started with the deploy file's command on settings of its own.
class process {
 public:
  process(std::vector<std::string> command, std::string log)
      : command_(std::move(command)), log_(std::move(log)) {}
  ~process() { Kill(); }
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  void Start() {
    pid_ = fork();
    if (pid_ == 0) {
      // No process is left if the script is ended from outside.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int output = open(log_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      dup2(output, STDOUT_FILENO);
      dup2(output, STDERR_FILENO);
      std::vector<char*> words;
      for (std::string& word : command_) {
        words.push_back(word.data());
      }
      words.push_back(nullptr);
      execv(words[0], words.data());
      _exit(127);
    }
  }
  void Signal(int number) const {
    if (pid_ > 0) {
      kill(pid_, number);
    }
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  /// \returns How the process ended, if it has; it is then no longer known.
  std::optional<std::string> Ended() {
    int status = 0;
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) {
      return std::nullopt;
    }
    pid_ = -1;
    return WIFSIGNALED(status) ? "ended by signal " + std::to_string(WTERMSIG(status))
                               : "exited with " + std::to_string(WEXITSTATUS(status));
  }
  [[nodiscard]] bool running() const { return pid_ > 0; }
  [[nodiscard]] int pid() const { return pid_; }

 private:
  std::vector<std::string> command_;
  std::string log_;
  pid_t pid_ = -1;
};

inline void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

/// \returns The last lines of a file, for the record.
inline std::string Tail(const std::string& path, std::size_t bytes) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  const std::string all = text.str();
  return all.substr(all.size() - std::min(bytes, all.size()));
}

/// A new folder for settings and logs, removed with its files at the end.
class temporary_folder {
 public:
  temporary_folder() {
    const char* base = std::getenv("TMPDIR");
    std::string name = std::string(base != nullptr ? base : "/tmp") + "/review-XXXXXX";
    path_ = mkdtemp(name.data()) != nullptr ? name : "";
    if (path_.empty()) {
      std::exit(2);
    }
  }
  ~temporary_folder() {
    for (const std::string& each : files_) {
      unlink(each.c_str());
    }
    rmdir(path_.c_str());
  }
  std::string File(const std::string& name) {
    files_.push_back(path_ + "/" + name);
    return files_.back();
  }

 private:
  std::string path_;
  std::vector<std::string> files_;
};

/// One gateway with the settings that deploy/gateway.json.tmpl gives it.
struct gateway_ports {
  int front = 0, ready = 0, control = 0, metrics = 0;
};

inline std::string GatewaySettings(const std::string& name, const gateway_ports& ports,
                                   const std::vector<gateway_ports>& all,
                                   const std::string& store_address) {
  const auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
  std::string peers;
  for (const gateway_ports& each : all) {
    peers += (peers.empty() ? "" : ",") + at(each.control);
  }
  return "{\"name\":\"" + name + "\",\"data_centre\":\"z-a\",\"listen\":" + at(ports.front) +
         ",\"peers\":[" + peers + "],\"gateway\":{\"ready_listen\":" + at(ports.ready) +
         ",\"snapshot_listen\":" + at(ports.control) + ",\"metrics_listen\":" + at(ports.metrics) +
         ",\"publisher\":\"" + store_address +
         "\",\"repeat_ratio\":0.2,\"repeat_window_s\":10,\"repeat_extra\":52,"
         "\"stop_grace_s\":8,\"change_bound_ms\":2000}}\n";
}

inline std::vector<gateway_ports> NewGatewayPorts(int count) {
  const std::vector<int> ports = FreePorts(4 * count);
  std::vector<gateway_ports> all;
  for (int i = 0; i < count; ++i) {
    const auto at = static_cast<std::size_t>(4 * i);
    all.push_back({ports[at], ports[at + 1], ports[at + 2], ports[at + 3]});
  }
  return all;
}

/// \returns false when the gateway did not become ready in time.
inline bool WaitUntilReady(int ready_port, double seconds) {
  const double until = Now() + seconds;
  while (Now() < until) {
    const int fd = Connect(ready_port);
    if (fd >= 0) {
      connection to(fd);
      message answer;
      if (to.Send("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n") && to.Read(answer, 500) &&
          answer.status == 200) {
        return true;
      }
    }
    SleepMs(50);
  }
  return false;
}

inline bool Troubled() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

}  // namespace review

#endif  // REVIEW_STANDINS_H_
