// Stand-ins for the cases 6 to 10: one event loop with data servers, discovery, clients, and the pooler as a
// child process. Everything listens on 127.0.0.1, on ports that the kernel chooses.
#pragma once

#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace stage {

using Us = std::int64_t;  // Unix time in microseconds, or a duration
constexpr Us kMs = 1000;
constexpr Us kSecond = 1000000;

Us Now();

// ---- Loop ---------------------------------------------------------------------------------------------

class Loop {
 public:
  using Callback = std::function<void()>;
  void At(Us when, Callback callback);
  void After(Us delay, Callback callback) { At(Now() + delay, std::move(callback)); }
  void Watch(int fd, short events, std::function<void(short)> callback);
  void Unwatch(int fd);
  // Runs until `done` or for `limit`; returns whether `done` was reached.
  bool RunUntil(const std::function<bool()>& done, Us limit);
  void RunFor(Us time) {
    RunUntil([] { return false; }, time);
  }

 private:
  struct Watched {
    short events = 0;
    std::shared_ptr<std::function<void(short)>> callback;
  };
  std::multimap<Us, Callback> timers_;
  std::map<int, Watched> watched_;
};

Loop& TheLoop();

// ---- Record -------------------------------------------------------------------------------------------

// Writes a line to record.txt, with the time since the start in milliseconds.
void Record(const char* format, ...) __attribute__((format(printf, 1, 2)));
void OpenRecord(const std::string& path);
double RelativeMs(Us when);

// ---- Connections --------------------------------------------------------------------------------------

class Conn : public std::enable_shared_from_this<Conn> {
 public:
  explicit Conn(int fd) : fd_(fd) {}
  ~Conn() { Close(); }
  Conn(const Conn&) = delete;
  Conn& operator=(const Conn&) = delete;
  static std::shared_ptr<Conn> Dial(int port);
  void Start();
  void Write(const std::string& bytes);
  void Close();
  bool closed() const { return fd_ < 0; }

  std::string input;
  Us last_read = 0;  // when the newest bytes were read
  std::function<void()> on_input;
  std::function<void()> on_end;

 private:
  void OnEvents(short events);
  void Flush();
  void UpdateWatch();
  int fd_;
  std::string output_;
};

class Listener {
 public:
  ~Listener() { Close(); }
  // Port 0: one that the kernel chooses. Returns whether it listens.
  bool Open(int port, std::function<void(std::shared_ptr<Conn>)> on_accept);
  void Close();
  int port() const { return port_; }

 private:
  int fd_ = -1;
  int port_ = 0;
};

enum class Kind { kTcp, kUdp };
// A TCP port stays reserved for a process that binds it with SO_REUSEADDR.
int FreePort(Kind kind = Kind::kTcp);

// ---- Groups of data servers ---------------------------------------------------------------------------

struct Entry {
  Us at = 0;  // commit
  std::string object;
  std::int64_t version = 0;
};

// What the data servers of a site tell, as the platform's settings say.
struct SiteForm {
  bool reads_tell_position = true;  // extra.tells_position
  bool inline_reports = false;      // load_report.how: inline; else on_probe
  Us report_period = 130 * kMs;     // a report is as old as that
};

// What a data server did for one request.
struct Run {
  std::string id;
  std::string server;
  bool write = false;
  bool primary = false;
  Us arrived = 0;   // last byte of the statement
  Us position = 0;  // of the data from which it was answered
  std::int64_t version = 0;
};

class Group;

class DataServer {
 public:
  DataServer(Group& group, std::size_t index, std::string uid);
  void Listen();
  void Die();  // its process ends: connections are reset, new ones refused
  bool up() const { return up_; }
  int port() const { return listener_.port(); }
  const std::string& uid() const { return uid_; }
  std::size_t index() const { return index_; }

  Us ship = 8 * kMs;          // after which the log arrives
  double apply_slowdown = 1;  // over 1: applies the log that many times more slowly
  Us work = 2 * kMs;
  // Every n-th connection comes up late by `late_by`; 0: none.
  int late_every = 0;
  Us late_by = 0;
  Us idle_limit = 0;  // closes a connection that has been idle for so long; 0: never
  std::string state = "Ready";
  Us booted = 0;  // 0: long ago
  std::uint64_t connections = 0, late_connections = 0;

 private:
  friend class Group;
  struct Session;
  void Serve(const std::shared_ptr<Session>& session);
  void CloseIfIdle(const std::shared_ptr<Session>& session);
  void Ran(const Run& run, const std::string& object);
  void HandleQuery(const std::shared_ptr<Session>& session, const std::string& query, Us arrived);
  std::string Report();

  Group& group_;
  std::size_t index_;
  std::string uid_;
  bool up_ = true;
  Listener listener_;
  std::vector<std::shared_ptr<Session>> sessions_;
  Us position_ = 0;  // as a replica
  Us position_as_of_ = 0;
  std::string report_;
  Us report_at_ = 0;
};

class Group {
 public:
  Group(std::int64_t number, std::size_t members, SiteForm form);
  std::int64_t number() const { return number_; }
  DataServer& server(std::size_t index) { return *servers_.at(index); }
  std::size_t size() const { return servers_.size(); }
  // The index of the primary; -1 while there is none.
  int primary() const { return primary_; }
  Us PositionOf(DataServer& server, Us now);
  bool IsPrimary(const DataServer& server) const { return primary_ == static_cast<int>(server.index()); }
  // The commit time; 0 if this is no primary that takes writes.
  Us Write(DataServer& server, const std::string& object, std::int64_t version);
  std::int64_t Read(DataServer& server, const std::string& object);
  // The primary's process ends; what no replica has received is lost. `successor` takes over after `outage`.
  void FailPrimary(std::size_t successor, Us outage);
  // The primary hands over: no writes for `outage`, and none is lost.
  void HandOver(std::size_t successor, Us outage);
  // A data server that died is back as a replica and goes on from where it stood.
  void Return(DataServer& server);
  std::vector<Entry> lost;  // by FailPrimary

  SiteForm form;
  std::map<std::string, std::vector<Run>> runs;  // by request id

 private:
  void Promote(std::size_t index);
  std::int64_t number_;
  std::vector<std::unique_ptr<DataServer>> servers_;
  int primary_ = 0;
  bool takes_writes_ = true;
  Us failed_at_ = 0;  // while there is no primary
  std::vector<Entry> log_;
};

// ---- Discovery ----------------------------------------------------------------------------------------

class Discovery {
 public:
  Discovery();
  void Add(Group& group) { groups_.push_back(&group); }
  int port() const { return listener_.port(); }
  // Tells the watches that the entry of a data server has changed.
  void Tell(DataServer& server, std::int64_t group);

 private:
  struct Watch;
  std::string EntryOf(DataServer& server, std::int64_t group) const;
  std::string Whole() const;
  void KeepAlive();
  Listener listener_;
  std::vector<Group*> groups_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::int64_t revision_ = 41;
};

// ---- Clients ------------------------------------------------------------------------------------------

enum class Answer { kServed, kRefused, kFailed, kClosed, kNone };
const char* NameOf(Answer answer);

struct Outcome {
  Answer answer = Answer::kNone;
  std::string value;
  std::string code;
  Us sent = 0;
  Us ended = 0;
};

struct Call {
  std::string id;
  std::string text;
  int port = 0;
  Us patience = 0;
};

// Sends one query on a new connection.
void Send(const Call& call, std::function<void(const Outcome&)> done);
// The same, and runs the loop until it has ended.
Outcome SendAndWait(const Call& call);
std::string NewId();
// The statement of a request. `extra` comes into the comment, as in ",after=5".
std::string ReadText(const std::string& id, const std::string& cls, int d_ms, std::int64_t group,
                     const std::string& object, const std::string& extra = "");
std::string WriteText(const std::string& id, const std::string& cls, int d_ms, std::int64_t group,
                      const std::string& object, std::int64_t version, const std::string& extra = "");

// ---- The pooler ---------------------------------------------------------------------------------------

class Pooler {
 public:
  // `settings`: a file of the program's own settings, or empty.
  Pooler(std::string name, std::string config, std::string settings)
      : name_(std::move(name)), config_(std::move(config)), settings_(std::move(settings)) {}
  ~Pooler() { Kill(); }
  // `full_disk`: its writes to files fail, as on a disk without room.
  void Start(bool full_disk = false);
  // From here on the writes of the running process to files fail.
  bool FillDisk();
  void Signal(int signal);
  bool running();
  bool AwaitEnd(Us limit);
  void Kill();
  int exit_status() const { return status_; }
  const std::string& log() const { return log_; }

 private:
  void Drain();
  std::string name_, config_, settings_, log_;
  int pid_ = -1;
  int status_ = 0;
  int pipe_ = -1;
  std::string partial_;
};

// Whether the pooler, which listens at the port, answers an empty query within the time.
bool AwaitReady(Pooler& pooler, int port, Us limit);

// ---- Configuration ------------------------------------------------------------------------------------

struct Platform {
  std::string name = "n1";
  int listen = 0;
  int discovery = 0;
  std::string settings;  // JSON
};
std::string PlatformConfig(const Platform& platform);
// Settings of a small deployment in which data servers don't check positions and poolers remember sessions.
std::string KeptSettings(bool reads_tell_position = true);
// Those of the second deployment.
std::string RecifeSettings();

std::string TemporaryFolder();
std::string WriteFile(const std::string& path, const std::string& text);
bool Trouble();

}  // namespace stage
