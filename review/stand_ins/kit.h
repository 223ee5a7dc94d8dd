// Small stand-ins for the cases of the review: data servers of a replicated group, discovery, clients, and the
// start and end of pooler processes. Everything is on loopback and on the real clock. No dependency but the C++
// standard library and POSIX. Blocking sockets, one thread a connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

using Us = long long;  // microseconds of Unix time

inline Us Now() {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return t.tv_sec * 1000000LL + t.tv_nsec / 1000;
}
inline void SleepUs(Us us) {
  if (us > 0) std::this_thread::sleep_for(std::chrono::microseconds(us));
}
inline void SleepUntil(Us at) { SleepUs(at - Now()); }

// ---- The record of a run ------------------------------------------------------------------------------

inline FILE* g_record = nullptr;
inline std::mutex g_record_mutex;
inline Us g_start = 0;

inline void Record(const char* format, ...) {
  char text[2048];
  va_list args;
  va_start(args, format);
  vsnprintf(text, sizeof text, format, args);
  va_end(args);
  const std::lock_guard lock(g_record_mutex);
  if (g_record != nullptr) fprintf(g_record, "%10.3f %s\n", static_cast<double>(Now() - g_start) / 1000, text);
}

inline void Say(const std::string& text) {
  Record("%s", text.c_str());
  printf("%s\n", text.c_str());
  fflush(stdout);
}

[[noreturn]] void End(int code);

// ---- Random numbers -----------------------------------------------------------------------------------

inline double Uniform(double from, double to) {
  static std::mutex mutex;
  static std::mt19937_64 engine(std::random_device{}());
  const std::lock_guard lock(mutex);
  return std::uniform_real_distribution<double>(from, to)(engine);
}
inline double Exponential(double mean) { return -mean * ::log1p(-Uniform(0, 1)); }

// ---- Sockets ------------------------------------------------------------------------------------------

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int FreePort(int type = SOCK_STREAM) {
  static std::mutex mutex;
  static std::set<int> used;
  const std::lock_guard lock(mutex);
  for (int i = 0; i < 50; ++i) {
    const int fd = socket(AF_INET, type, 0);
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof address;
    const bool bound = bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                       getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    close(fd);
    if (bound && used.insert(ntohs(address.sin_port)).second) return ntohs(address.sin_port);
  }
  End(2);
}

inline int ListenOn(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address = Loopback(port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline void NoDelay(int fd) {
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Reads more bytes into `buffer`. False at the end, on an error, or at `deadline`.
inline bool ReadMore(int fd, std::string& buffer, Us deadline) {
  while (true) {
    const Us left = deadline - Now();
    if (left <= 0) return false;
    pollfd entry{fd, POLLIN, 0};
    const int ready = poll(&entry, 1, static_cast<int>(std::min<Us>(left / 1000 + 1, 1000)));
    if (ready < 0 && errno != EINTR) return false;
    if (ready <= 0) continue;
    char bytes[65536];
    const ssize_t count = recv(fd, bytes, sizeof bytes, 0);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
}

// ---- PostgreSQL messages ------------------------------------------------------------------------------

inline std::string Be32(uint32_t value) {
  const uint32_t net = htonl(value);
  return std::string(reinterpret_cast<const char*>(&net), 4);
}
inline uint32_t ReadBe32(const char* at) {
  uint32_t net = 0;
  memcpy(&net, at, 4);
  return ntohl(net);
}
inline std::string Message(char type, const std::string& body) {
  return std::string(1, type) + Be32(static_cast<uint32_t>(body.size() + 4)) + body;
}
inline std::string Status(const std::string& name, const std::string& value) {
  return Message('S', name + '\0' + value + '\0');
}
inline std::string Error(const std::string& code, const std::string& text) {
  return Message('E', "SERROR" + std::string(1, '\0') + "C" + code + '\0' + "M" + text + '\0' + std::string(1, '\0'));
}
inline std::string Row(const std::string& value, const std::string& tag) {
  std::string column = std::string("\0\1body\0", 7) + std::string(18, '\0');
  std::string row("\0\1", 2);
  row += Be32(static_cast<uint32_t>(value.size())) + value;
  return Message('T', column) + Message('D', row) + Message('C', tag + '\0');
}
inline std::string Ready() { return Message('Z', "I"); }

// Takes one whole message off the front of `buffer`. False if there is none yet.
inline bool TakeMessage(std::string& buffer, char& type, std::string& body) {
  if (buffer.size() < 5) return false;
  const uint32_t length = ReadBe32(buffer.data() + 1);
  if (buffer.size() < length + 1u) return false;
  type = buffer[0];
  body = buffer.substr(5, length - 4);
  buffer.erase(0, length + 1u);
  return true;
}

inline std::string Field(const std::string& statement, const std::string& name) {
  const std::size_t end = statement.find("*/");
  for (std::size_t at = statement.find("/*"); at != std::string::npos && at < end;) {
    at = statement.find_first_not_of(" ,/*", at);
    if (at == std::string::npos || at >= end) break;
    const std::size_t stop = statement.find_first_of(", *", at);
    const std::string item = statement.substr(at, stop - at);
    if (item.rfind(name + "=", 0) == 0) return item.substr(name.size() + 1);
    at = stop;
  }
  return {};
}
inline std::vector<std::string> Quoted(const std::string& statement) {
  std::vector<std::string> out;
  std::size_t at = statement.find("*/");
  while (at != std::string::npos) {
    const std::size_t from = statement.find('\'', at);
    if (from == std::string::npos) break;
    const std::size_t to = statement.find('\'', from + 1);
    if (to == std::string::npos) break;
    out.push_back(statement.substr(from + 1, to - from - 1));
    at = to + 1;
  }
  return out;
}

// ---- A replicated group -------------------------------------------------------------------------------

struct Commit {
  Us at = 0;  // the commit's position, whole milliseconds
  std::string oid, body;
};

// One primary and its replicas. A replica gets the log `ship` after its commit and applies it in order; while
// it is slow it applies at `slow_rate` seconds of log a second. A primary that dies takes with it what no
// replica has got; the replica that has most of the log takes over.
class Group {
 public:
  Group(std::size_t members, Us ship) : ship_(ship), members_(members) {
    const Us now = Now();
    for (Member& member : members_) member.position = member.moved = now - ship;
  }

  std::optional<std::size_t> primary() {
    const std::lock_guard lock(mutex_);
    return primary_;
  }
  bool IsPrimary(std::size_t member) {
    const std::lock_guard lock(mutex_);
    return primary_ == member;
  }
  void SetSlow(std::size_t member, double rate) {
    const std::lock_guard lock(mutex_);
    Move(member, Now());
    members_[member].rate = rate;
  }
  // The position of a member: the time up to which it has applied all commits.
  Us Position(std::size_t member) {
    const std::lock_guard lock(mutex_);
    return PositionLocked(member);
  }
  // Commits; nothing if the member is not the primary. A key that was seen within `window` gives its first commit.
  std::optional<Commit> Write(std::size_t member, const std::string& oid, const std::string& body,
                              const std::string& key, Us window) {
    const std::lock_guard lock(mutex_);
    if (primary_ != member) return std::nullopt;
    const Us now = Now();
    const auto known = keys_.find(key);
    if (!key.empty() && known != keys_.end() && now - known->second.first < window) return known->second.second;
    Us at = (now / 1000 + 1) * 1000;
    if (!log_.empty()) at = std::max(at, log_.back().at + 1000);
    log_.push_back({at, oid, body});
    if (!key.empty()) keys_[key] = {now, log_.back()};
    return log_.back();
  }
  // What the member has for the object, and the position from which it answers.
  std::pair<std::string, Us> Read(std::size_t member, const std::string& oid) {
    const std::lock_guard lock(mutex_);
    const Us position = PositionLocked(member);
    const bool primary = primary_ == member;
    for (auto it = log_.rbegin(); it != log_.rend(); ++it) {
      if (it->oid == oid && (primary || it->at <= position)) return {it->body, position};
    }
    return {"0", position};
  }
  // The newest commit at or before `until` that a reader at `position` does not see; 0 if there is none.
  Us FirstMissing(Us position) {
    const std::lock_guard lock(mutex_);
    for (const Commit& commit : log_) {
      if (commit.at > position) return commit.at;
    }
    return 0;
  }
  void Die(std::size_t member) {
    const std::lock_guard lock(mutex_);
    const Us now = Now();
    for (std::size_t i = 0; i < members_.size(); ++i) Move(i, now);
    members_[member].up = false;
    if (primary_ != member) return;
    primary_.reset();
    failed_at_ = now;
  }
  // The replica with most of the log becomes primary. Returns it.
  std::optional<std::size_t> Promote() {
    const std::lock_guard lock(mutex_);
    const Us now = Now();
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (!members_[i].up) continue;
      Move(i, now);
      if (!best || members_[i].position > members_[*best].position) best = i;
    }
    if (!best) return best;
    while (!log_.empty() && log_.back().at > members_[*best].position) {
      lost_.push_back(log_.back());
      log_.pop_back();
    }
    primary_ = best;
    failed_at_.reset();
    return best;
  }
  std::vector<Commit> lost() {
    const std::lock_guard lock(mutex_);
    return lost_;
  }
  std::size_t size() const { return members_.size(); }

 private:
  struct Member {
    bool up = true;
    Us position = 0, moved = 0;
    double rate = 0;  // 0: as fast as usual
  };
  void Move(std::size_t index, Us now) {
    Member& member = members_[index];
    const Us dt = now - std::exchange(member.moved, now);
    if (!member.up || primary_ == index) {
      if (primary_ == index) member.position = now;
      return;
    }
    const Us target = (failed_at_ ? std::min(now, *failed_at_) : now) - ship_;
    if (target <= member.position) return;
    if (member.rate > 0) {
      member.position = std::min(target, member.position + static_cast<Us>(static_cast<double>(dt) * member.rate));
    } else if (target - member.position < 2 * dt + 20000) {
      member.position = target;
    } else {
      member.position = std::min(target, member.position + static_cast<Us>(static_cast<double>(dt) * 1.89));
    }
  }
  Us PositionLocked(std::size_t member) {
    Move(member, Now());
    return members_[member].position / 1000 * 1000;
  }

  std::mutex mutex_;
  Us ship_;
  std::vector<Member> members_;
  std::optional<std::size_t> primary_ = 0;
  std::optional<Us> failed_at_;
  std::vector<Commit> log_, lost_;
  std::map<std::string, std::pair<Us, Commit>> keys_;
};

// ---- A data server ------------------------------------------------------------------------------------

struct ServerOptions {
  std::function<Us()> startup_delay = [] { return Us{0}; };
  std::function<Us()> work = [] { return Us{3000}; };
  Us idle_close = 15000000;
  Us key_window = 3000000;
  bool read_at_start = false;     // a read sees the data as they are when it comes, not when it ends
  bool position_in_reads = true;  // answers of reads tell the position
  bool report_in_answers = false;
  bool probes = true;
  std::function<bool()> second_copy;  // whether an answer is followed by a second copy of itself
  // Load reports are taken every `report_period` and are `report_delay` old when they are given out.
  Us report_period = 0, report_delay = 0;
  // Called before a read is answered, with when its last byte came, the position it is answered from and its body.
  std::function<void(const std::string& statement, Us received, Us position, const std::string& body)> on_read;
};

class DataServer {
 public:
  DataServer(std::string uid, int group_number, Group& group, std::size_t member, ServerOptions options)
      : uid(std::move(uid)),
        group_number(group_number),
        member(member),
        port(FreePort()),
        group_(group),
        options_(std::move(options)) {
    Listen();
  }

  // The process dies: its connections are reset, new ones are refused.
  void Die() {
    dead_ = true;
    group_.Die(member);
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) {
      const linger reset{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      shutdown(fd, SHUT_RD);  // the thread of the connection wakes and closes it
    }
  }
  // `through`: the port at which poolers reach it, if that is not its own.
  std::string Entry(const char* state = "Ready", int through = 0) const {
    char text[512];
    snprintf(text, sizeof text,
             R"({"uid":"%s","endpoint":"127.0.0.1:%d","az":"a","model":"m1","pod_group":%d,"state":"%s",)"
             R"("capacity_hint":1.0,"boot_ms":0})",
             uid.c_str(), through != 0 ? through : port, group_number, state);
    return text;
  }

  const std::string uid;
  const int group_number;
  const std::size_t member;
  const int port;
  std::atomic<int> copies_sent{0};

 private:
  void Listen() {
    listener_ = ListenOn(port);
    if (listener_ < 0) End(2);
    if (options_.report_period > 0) std::thread([this] { TakeReports(); }).detach();
    std::thread([this] {
      while (!dead_) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        NoDelay(fd);
        std::thread([this, fd] {
          {
            const std::lock_guard lock(mutex_);
            open_.insert(fd);
          }
          Serve(fd);
          const std::lock_guard lock(mutex_);
          open_.erase(fd);
          close(fd);
        }).detach();
      }
    }).detach();
  }

  std::string ReportNow() {
    char text[64];
    snprintf(text, sizeof text, "x0=%.3f,x1=%d", static_cast<double>(group_.Position(member) / 1000) / 1000,
             group_.IsPrimary(member) ? 1 : 0);
    return text;
  }
  std::string Report() {
    if (options_.report_period == 0) return ReportNow();
    const std::lock_guard lock(report_mutex_);
    const Us now = Now();
    std::string given = reports_.empty() ? ReportNow() : reports_.front().second;
    for (const auto& [taken, text] : reports_) {
      if (taken + options_.report_delay <= now) given = text;
    }
    return given;
  }
  // Takes the load reports.
  void TakeReports() {
    while (!dead_) {
      {
        const std::string text = ReportNow();
        const std::lock_guard lock(report_mutex_);
        reports_.emplace_back(Now(), text);
        if (reports_.size() > 8) reports_.erase(reports_.begin());
      }
      SleepUs(options_.report_period);
    }
  }

  void Serve(int fd) {
    std::string buffer;
    while (buffer.size() < 4 || buffer.size() < ReadBe32(buffer.data())) {
      if (!ReadMore(fd, buffer, Now() + 5000000)) return;
    }
    buffer.erase(0, ReadBe32(buffer.data()));
    SleepUs(options_.startup_delay());
    if (dead_ || !SendAll(fd, Message('R', std::string(4, '\0')) + Ready())) return;
    char type = 0;
    std::string body;
    while (!dead_) {
      const Us idle_until = Now() + options_.idle_close;
      while (!TakeMessage(buffer, type, body)) {
        if (!ReadMore(fd, buffer, idle_until)) return;
      }
      const Us received = Now();
      if (type != 'Q') return;
      const std::string answer = Answer(body.substr(0, body.size() - 1), received);
      if (dead_ || !SendAll(fd, answer)) return;
      if (!options_.second_copy || !options_.second_copy()) continue;
      // A second copy directly behind, when nothing else is waiting on the connection.
      pollfd entry{fd, POLLIN, 0};
      if (!buffer.empty() || poll(&entry, 1, 0) > 0) continue;
      if (!SendAll(fd, answer)) return;
      ++copies_sent;
      Record("server %s sent a second copy of its answer to id=%s directly behind", uid.c_str(),
             Field(body, "id").c_str());
    }
  }

  std::string Answer(const std::string& statement, Us received) {
    if (statement == "SHOW pressure") {
      if (!options_.probes) return Error("42501", "no probes") + Ready();
      return Row(Report(), "SHOW") + Ready();
    }
    const std::vector<std::string> quoted = Quoted(statement);
    const std::string id = Field(statement, "id");
    if (id.empty() || quoted.empty()) return Error("08P01", "not a statement of any client") + Ready();
    std::string out;
    Us told = 0;
    if (statement.find("INSERT") != std::string::npos) {
      if (!group_.IsPrimary(member)) {
        out = Error("25006", "not the primary");
        told = group_.Position(member);
      } else {
        SleepUs(options_.work());
        const auto commit = group_.Write(member, quoted[0], quoted.size() > 1 ? quoted[1] : "",
                                         Field(statement, "k"), options_.key_window);
        if (!commit) {
          out = Error("XX000", "the role was lost");
        } else {
          out = Row(commit->body, "INSERT 0 1");
          told = commit->at;
          Record("server %s ran write id=%s oid=%s body=%s commit=%lld", uid.c_str(), id.c_str(), quoted[0].c_str(),
                 commit->body.c_str(), commit->at / 1000);
        }
      }
    } else {
      if (!options_.read_at_start) SleepUs(options_.work());
      const auto [value, position] = group_.Read(member, quoted[0]);
      if (options_.read_at_start) SleepUs(options_.work());
      out = Row(value, "SELECT 1");
      if (options_.position_in_reads) told = position;
      Record("server %s ran read id=%s oid=%s body=%s position=%lld received=%lld", uid.c_str(), id.c_str(),
             quoted[0].c_str(), value.c_str(), position / 1000, received / 1000);
      if (options_.on_read) options_.on_read(statement, received, position, value);
    }
    out += Status("replication_role", group_.IsPrimary(member) ? "primary" : "standby");
    if (told > 0) out += Status("log_position", std::to_string(told / 1000));
    if (options_.report_in_answers) out += Status("pressure", Report());
    return out + Ready();
  }

  Group& group_;
  ServerOptions options_;
  int listener_ = -1;
  std::atomic<bool> dead_{false};
  std::mutex mutex_, report_mutex_;
  std::set<int> open_;
  std::vector<std::pair<Us, std::string>> reports_;
};

// ---- Discovery ----------------------------------------------------------------------------------------

class Discovery {
 public:
  Discovery() : port(FreePort()), listener_(ListenOn(port)) {
    if (listener_ < 0) End(2);
    std::thread([this] {
      while (true) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        NoDelay(fd);
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }).detach();
    std::thread([this] {
      while (true) {
        SleepUs(2000000);
        Send("\n");
      }
    }).detach();
  }
  void Set(const std::string& uid, const std::string& entry) {
    const std::lock_guard lock(mutex_);
    entries_[uid] = entry;
  }
  // Tells all watches of a change.
  void Change(const std::string& uid, const std::string& entry, bool gone) {
    std::string line;
    {
      const std::lock_guard lock(mutex_);
      ++revision_;
      if (gone) {
        entries_.erase(uid);
      } else {
        entries_[uid] = entry;
      }
      line = Line(false, {entry});
    }
    Record("discovery tells %s", line.c_str());
    Send(line);
  }
  std::string Whole() {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> all;
    for (const auto& [uid, entry] : entries_) all.push_back(entry);
    return Line(true, all);
  }
  const int port;

 private:
  std::string Line(bool all, const std::vector<std::string>& entries) const {
    std::string line =
        "{\"rev\":" + std::to_string(revision_) + ",\"all\":" + (all ? "true" : "false") + ",\"targets\":[";
    for (std::size_t i = 0; i < entries.size(); ++i) line += (i > 0 ? "," : "") + entries[i];
    return line + "]}\n";
  }
  static std::string Chunk(const std::string& line) {
    char size[16];
    snprintf(size, sizeof size, "%zx\r\n", line.size());
    return size + line + "\r\n";
  }
  void Send(const std::string& line) {
    const std::lock_guard lock(watch_mutex_);
    for (const int fd : watches_) SendAll(fd, Chunk(line));
  }
  void Serve(int fd) {
    std::string buffer;
    while (buffer.find("\r\n\r\n") == std::string::npos) {
      if (!ReadMore(fd, buffer, Now() + 5000000)) {
        close(fd);
        return;
      }
    }
    if (buffer.find("follow=1") == std::string::npos) {
      const std::string list = Whole();
      SendAll(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
      close(fd);
      return;
    }
    {
      const std::lock_guard lock(watch_mutex_);
      SendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(Whole()));
      watches_.insert(fd);
    }
    while (ReadMore(fd, buffer, Now() + 1000000000)) {
    }
    const std::lock_guard lock(watch_mutex_);
    watches_.erase(fd);
    close(fd);
  }
  int listener_;
  std::mutex mutex_, watch_mutex_;
  int revision_ = 41;
  std::map<std::string, std::string> entries_;
  std::set<int> watches_;
};

// ---- Clients ------------------------------------------------------------------------------------------

struct Answer {
  enum class Kind { kServed, kRefused, kFailed, kNone } kind = Kind::kNone;
  std::string value, code;
  Us at = 0;
};
inline const char* Name(Answer::Kind kind) {
  switch (kind) {
    case Answer::Kind::kServed:
      return "served";
    case Answer::Kind::kRefused:
      return "refused";
    case Answer::Kind::kFailed:
      return "failed";
    case Answer::Kind::kNone:
      break;
  }
  return "none";
}

class Client {
 public:
  explicit Client(int port) : port_(port) {}
  ~Client() { Close(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
    buffer_.clear();
  }
  // Sends the statement and waits for its answer. Opens a connection where there is none, and once more if the
  // pooler has closed the present one between two requests.
  Answer Ask(const std::string& statement, Us timeout) {
    Answer answer = Try(statement, timeout);
    if (answer.kind == Answer::Kind::kNone && answer.code == "closed") answer = Try(statement, timeout);
    return answer;
  }
  // Whether the pooler answers an empty query with EmptyQueryResponse.
  bool IsReady() {
    empty_ = false;
    Try("", 500000);
    return empty_;
  }

 private:
  Answer Try(const std::string& statement, Us timeout) {
    Answer answer;
    const Us deadline = Now() + timeout;
    const bool fresh = fd_ < 0;
    if (fresh) {
      fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address = Loopback(port_);
      if (connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        Close();
        return answer;
      }
      NoDelay(fd_);
      const std::string parameters =
          std::string("user\0worker\0database\0catalog\0", 29) + std::string(1, '\0');
      SendAll(fd_, Be32(static_cast<uint32_t>(parameters.size() + 8)) + Be32(3u << 16) + parameters);
      if (!AwaitReady(answer, deadline)) return answer;
      answer = {};
    }
    if (!SendAll(fd_, Message('Q', statement + '\0'))) {
      Close();
      answer.code = fresh ? "" : "closed";
      return answer;
    }
    if (!AwaitReady(answer, deadline) && answer.kind == Answer::Kind::kNone && !fresh && Now() < deadline) {
      answer.code = "closed";
    }
    return answer;
  }
  bool AwaitReady(Answer& answer, Us deadline) {
    char type = 0;
    std::string body;
    while (true) {
      while (!TakeMessage(buffer_, type, body)) {
        if (ReadMore(fd_, buffer_, deadline)) continue;
        Close();
        return false;
      }
      answer.at = Now();
      if (type == 'I') empty_ = true;
      if (type == 'D') answer.value = body.substr(6);
      if (type == 'C') answer.kind = Answer::Kind::kServed;
      if (type == 'E') {
        const std::size_t code = body.find(std::string("\0C", 2));
        answer.code = code == std::string::npos ? body.substr(1, 5) : body.substr(code + 2, 5);
        answer.kind = answer.code == "53300" || answer.code == "57P03" ? Answer::Kind::kRefused
                                                                         : Answer::Kind::kFailed;
      }
      if (type == 'Z') return true;
    }
  }
  int port_;
  int fd_ = -1;
  bool empty_ = false;
  std::string buffer_;
};

// ---- Poolers ------------------------------------------------------------------------------------------

inline std::string g_root, g_folder, g_temp;
inline bool g_trouble = true;

inline std::string WriteFile(const std::string& name, const std::string& text) {
  const std::string path = g_temp + "/" + name;
  FILE* file = fopen(path.c_str(), "w");
  if (file == nullptr) End(2);
  fwrite(text.data(), 1, text.size(), file);
  fclose(file);
  return path;
}

class Pooler {
 public:
  // `arguments` follow the run command of the deploy file.
  Pooler(std::string name, std::string config, std::string arguments = "")
      : name_(std::move(name)), config_(std::move(config)), arguments_(std::move(arguments)) {}
  ~Pooler() { Stop(SIGKILL); }
  void Start() {
    const std::string log = g_temp + "/" + name_ + ".log";
    // The run command of deploy/balancer.toml.
    const std::string command = "exec build/lynxgrade" + (arguments_.empty() ? "" : " " + arguments_);
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      if (chdir(g_root.c_str()) != 0) _exit(127);
      setenv("RELAY_CONFIG", config_.c_str(), 1);
      execl("/bin/sh", "/bin/sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    Record("pooler %s started: %s", name_.c_str(), command.c_str());
  }
  void Stop(int signal) {
    if (pid_ <= 0) return;
    kill(pid_, signal);
    waitpid(pid_, nullptr, 0);
    Record("pooler %s ended by signal %d of the test", name_.c_str(), signal);
    pid_ = 0;
  }
  void Signal(int signal) {
    if (pid_ > 0) kill(pid_, signal);
  }
  bool Crashed() const { return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_; }
  std::string Log() const {
    std::string text;
    FILE* file = fopen((g_temp + "/" + name_ + ".log").c_str(), "r");
    if (file == nullptr) return text;
    char bytes[4096];
    for (std::size_t count = 0; (count = fread(bytes, 1, sizeof bytes, file)) > 0;) text.append(bytes, count);
    fclose(file);
    return text;
  }

 private:
  std::string name_, config_, arguments_;
  pid_t pid_ = 0;
};

inline std::vector<Pooler*> g_poolers;

[[noreturn]] inline void End(int code) {
  for (Pooler* pooler : g_poolers) pooler->Stop(SIGKILL);
  {
    const std::lock_guard lock(g_record_mutex);
    if (g_record != nullptr) {
      fprintf(g_record, "exit %d\n", code);
      fclose(g_record);
    }
    g_record = nullptr;
  }
  if (!g_temp.empty()) {
    if (getenv("KEEP") == nullptr) {
      const pid_t pid = fork();
      if (pid == 0) {
        execlp("rm", "rm", "-rf", g_temp.c_str(), static_cast<char*>(nullptr));
        _exit(127);
      }
      waitpid(pid, nullptr, 0);
    } else {
      printf("kept %s\n", g_temp.c_str());
      fflush(stdout);
    }
  }
  _exit(code);
}

inline void AwaitReady(int port, const char* name) {
  const Us until = Now() + 30000000;
  while (Now() < until) {
    Client client(port);
    if (client.IsReady()) {
      Record("pooler %s is ready", name);
      return;
    }
    SleepUs(20000);
  }
  Say(std::string("pooler ") + name + " is not ready");
  End(2);
}

// Arguments: the project's root and the case's folder.
inline void Begin(int argc, char** argv) {
  if (argc < 3) _exit(2);
  signal(SIGPIPE, SIG_IGN);
  g_root = argv[1];
  g_folder = argv[2];
  const char* trouble = getenv("TROUBLE");
  g_trouble = trouble == nullptr || std::string(trouble) != "0";
  g_start = Now();
  g_record = fopen((g_folder + "/record.txt").c_str(), "w");
  const char* base = getenv("TMPDIR");
  std::string temp = std::string(base != nullptr && *base != 0 ? base : "/tmp") + "/lynxgrade-review-XXXXXX";
  if (g_record == nullptr || mkdtemp(temp.data()) == nullptr) _exit(2);
  g_temp = temp;
  signal(SIGTERM, [](int) { End(2); });
  signal(SIGINT, [](int) { End(2); });
  // No run takes longer than two minutes.
  std::thread([] {
    SleepUs(118000000);
    Say("out of time");
    End(2);
  }).detach();
  Record("TROUBLE=%d", g_trouble ? 1 : 0);
}

}  // namespace kit
