#include "stage.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <ctime>

namespace stage {
namespace {

std::FILE* g_record = nullptr;
Us g_started = 0;

std::string Int32(std::int32_t value) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(value >> shift);
  return out;
}

std::int32_t ReadInt32(const std::string& text, std::size_t at) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i) value = value << 8 | static_cast<unsigned char>(text[at + i]);
  return static_cast<std::int32_t>(value);
}

std::string Message(char type, const std::string& body) {
  return std::string(1, type) + Int32(static_cast<std::int32_t>(body.size()) + 4) + body;
}

std::string Text(const std::string& text) { return text + std::string(1, '\0'); }
std::string Ready() { return Message('Z', "I"); }
std::string Status(const std::string& name, const std::string& value) {
  return Message('S', Text(name) + Text(value));
}

std::string Row(const std::string& value, const std::string& tag) {
  std::string description("\0\1body\0", 7);
  description += std::string(18, '\0');
  std::string row("\0\1", 2);
  row += Int32(static_cast<std::int32_t>(value.size())) + value;
  return Message('T', description) + Message('D', row) + Message('C', Text(tag));
}

std::string Error(const std::string& code, const std::string& text) {
  return Message('E', "S" + Text("ERROR") + "C" + Text(code) + "M" + Text(text) + std::string(1, '\0'));
}

// Takes one message off the front. `type` is 0 for one of the startup.
bool TakeMessage(std::string& input, bool startup, char& type, std::string& body) {
  const std::size_t head = startup ? 4 : 5;
  if (input.size() < head) return false;
  const std::int32_t length = ReadInt32(input, startup ? 0 : 1);
  const std::size_t whole = static_cast<std::size_t>(length) + (startup ? 0 : 1);
  if (length < 4 || input.size() < whole) return false;
  type = startup ? '\0' : input[0];
  body = input.substr(head, whole - head);
  input.erase(0, whole);
  return true;
}

// The value of a name in the comment before a statement.
std::string CommentValue(const std::string& query, const std::string& name) {
  const std::size_t end = query.find("*/");
  for (const std::string& before : {std::string(" "), std::string(",")}) {
    const std::size_t at = query.find(before + name + "=");
    if (at == std::string::npos || at > end) continue;
    const std::size_t from = at + before.size() + name.size() + 1;
    return query.substr(from, query.find_first_of(", ", from) - from);
  }
  return {};
}

std::vector<std::string> Literals(const std::string& query) {
  std::vector<std::string> literals;
  std::size_t at = query.find("*/");
  while (at != std::string::npos) {
    const std::size_t from = query.find('\'', at);
    if (from == std::string::npos) break;
    const std::size_t to = query.find('\'', from + 1);
    if (to == std::string::npos) break;
    literals.push_back(query.substr(from + 1, to - from - 1));
    at = to + 1;
  }
  return literals;
}

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

}  // namespace

Us Now() {
  timespec time{};
  clock_gettime(CLOCK_REALTIME, &time);
  return Us{time.tv_sec} * kSecond + time.tv_nsec / 1000;
}

// ---- Loop ---------------------------------------------------------------------------------------------

Loop& TheLoop() {
  static Loop& loop = *new Loop;  // never destroyed: what its callbacks hold closes through it
  return loop;
}

void Loop::At(Us when, Callback callback) { timers_.emplace(when, std::move(callback)); }

void Loop::Watch(int fd, short events, std::function<void(short)> callback) {
  watched_[fd] = {events, std::make_shared<std::function<void(short)>>(std::move(callback))};
}

void Loop::Unwatch(int fd) { watched_.erase(fd); }

bool Loop::RunUntil(const std::function<bool()>& done, Us limit) {
  const Us end = Now() + limit;
  while (!done()) {
    Us now = Now();
    if (now >= end) return false;
    Us next = std::min(end, now + 50 * kMs);
    if (!timers_.empty()) next = std::min(next, timers_.begin()->first);
    std::vector<pollfd> fds;
    for (const auto& [fd, watched] : watched_) fds.push_back({fd, watched.events, 0});
    const Us wait = std::max<Us>(0, next - now);
    const timespec timeout{wait / kSecond, (wait % kSecond) * 1000};
    ppoll(fds.data(), fds.size(), &timeout, nullptr);
    for (const pollfd& polled : fds) {
      if (polled.revents == 0) continue;
      const auto found = watched_.find(polled.fd);
      if (found == watched_.end()) continue;
      const auto callback = found->second.callback;
      (*callback)(polled.revents);
    }
    now = Now();
    while (!timers_.empty() && timers_.begin()->first <= now) {
      const Callback callback = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      callback();
    }
  }
  return true;
}

// ---- Record -------------------------------------------------------------------------------------------

void OpenRecord(const std::string& path) {
  g_started = Now();
  g_record = std::fopen(path.c_str(), "w");
}

double RelativeMs(Us when) { return static_cast<double>(when - g_started) / 1000; }

void Record(const char* format, ...) {
  if (g_record == nullptr) return;
  std::fprintf(g_record, "%10.1f ", RelativeMs(Now()));
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(g_record, format, arguments);
  va_end(arguments);
  std::fputc('\n', g_record);
  std::fflush(g_record);
}

// ---- Connections --------------------------------------------------------------------------------------

std::shared_ptr<Conn> Conn::Dial(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS) {
    close(fd);
    return nullptr;
  }
  return std::make_shared<Conn>(fd);
}

void Conn::Start() {
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  UpdateWatch();
}

void Conn::UpdateWatch() {
  if (fd_ < 0) return;
  const short events = static_cast<short>(POLLIN | (output_.empty() ? 0 : POLLOUT));
  TheLoop().Watch(fd_, events, [weak = weak_from_this()](short ready) {
    if (const auto self = weak.lock()) self->OnEvents(ready);
  });
}

void Conn::OnEvents(short events) {
  const auto self = shared_from_this();
  if ((events & POLLOUT) != 0) Flush();
  if (fd_ < 0 || (events & (POLLIN | POLLHUP | POLLERR)) == 0) return;
  char buffer[65536];
  const ssize_t count = recv(fd_, buffer, sizeof buffer, 0);
  if (count > 0) {
    last_read = Now();
    input.append(buffer, static_cast<std::size_t>(count));
    const auto callback = on_input;  // a callback may replace itself
    if (callback) callback();
    return;
  }
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  Close();
  const auto callback = on_end;
  if (callback) callback();
}

void Conn::Write(const std::string& bytes) {
  if (fd_ < 0) return;
  output_ += bytes;
  Flush();
}

void Conn::Flush() {
  while (!output_.empty() && fd_ >= 0) {
    const ssize_t count = send(fd_, output_.data(), output_.size(), MSG_NOSIGNAL);
    if (count <= 0) break;
    output_.erase(0, static_cast<std::size_t>(count));
  }
  UpdateWatch();
}

void Conn::Close() {
  if (fd_ < 0) return;
  TheLoop().Unwatch(fd_);
  close(fd_);
  fd_ = -1;
}

bool Listener::Open(int port, std::function<void(std::shared_ptr<Conn>)> on_accept) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(port);
  socklen_t size = sizeof address;
  if (fd_ < 0 || bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd_, 512) != 0) {
    Close();
    return false;
  }
  getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  TheLoop().Watch(fd_, POLLIN, [this, on_accept = std::move(on_accept)](short) {
    while (fd_ >= 0) {
      const int client = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (client < 0) return;
      auto conn = std::make_shared<Conn>(client);
      conn->Start();
      on_accept(std::move(conn));
    }
  });
  return true;
}

void Listener::Close() {
  if (fd_ < 0) return;
  TheLoop().Unwatch(fd_);
  close(fd_);
  fd_ = -1;
}

int FreePort(Kind kind) {
  const int fd = socket(AF_INET, (kind == Kind::kUdp ? SOCK_DGRAM : SOCK_STREAM) | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (kind == Kind::kTcp) setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof address;
  const bool bound = fd >= 0 && bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                     getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  if (fd >= 0 && kind == Kind::kUdp) close(fd);
  return bound ? ntohs(address.sin_port) : 0;
}

// ---- Groups of data servers ---------------------------------------------------------------------------

struct DataServer::Session {
  std::shared_ptr<Conn> conn;
  bool started = false, busy = false;
  Us idle_since = 0;
};

DataServer::DataServer(Group& group, std::size_t index, std::string uid)
    : group_(group), index_(index), uid_(std::move(uid)) {
  position_ = position_as_of_ = Now();
}

void DataServer::Listen() {
  const bool listening = listener_.Open(listener_.port(), [this](const std::shared_ptr<Conn>& conn) {
    auto session = std::make_shared<Session>();
    session->conn = conn;
    std::erase_if(sessions_, [](const auto& other) { return other->conn->closed(); });
    sessions_.push_back(session);
    ++connections;
    const std::weak_ptr<Session> weak = session;
    const auto serve = [this, weak] {
      if (const auto alive = weak.lock()) Serve(alive);
    };
    if (late_every > 0 && connections % static_cast<std::uint64_t>(late_every) == 0) {
      ++late_connections;
      TheLoop().After(late_by, [session, serve] {
        session->conn->on_input = serve;
        serve();
      });
      return;
    }
    conn->on_input = serve;
  });
  if (!listening) {
    std::fprintf(stderr, "a data server cannot listen\n");
    std::exit(2);
  }
}

void DataServer::Die() {
  up_ = false;
  listener_.Close();
  for (const auto& session : sessions_) session->conn->Close();
  sessions_.clear();
}

void DataServer::Serve(const std::shared_ptr<Session>& session) {
  while (!session->busy && !session->conn->closed()) {
    char type = 0;
    std::string body;
    if (!TakeMessage(session->conn->input, !session->started, type, body)) return;
    if (!session->started) {
      session->started = true;
      session->conn->Write(Message('R', std::string(4, '\0')) + Ready());
      continue;
    }
    if (type != 'Q' || body.empty()) return session->conn->Close();
    HandleQuery(session, body.substr(0, body.size() - 1), session->conn->last_read);
    if (!session->busy) CloseIfIdle(session);
  }
}

void DataServer::Ran(const Run& run, const std::string& object) {
  Record("ran   %s %s %s version=%lld at %s, %s, position %.1f", run.id.c_str(), run.write ? "write" : "read",
         object.c_str(), static_cast<long long>(run.version), uid_.c_str(),
         run.primary ? "primary" : "standby", RelativeMs(run.position));
  group_.runs[run.id].push_back(run);
}

void DataServer::CloseIfIdle(const std::shared_ptr<Session>& session) {
  if (idle_limit == 0) return;
  const Us since = session->idle_since = Now();
  TheLoop().After(idle_limit, [session, since] {
    if (!session->busy && session->idle_since == since && session->conn->input.empty())
      session->conn->Close();
  });
}

std::string DataServer::Report() {
  const Us now = Now();
  if (report_.empty() || now - report_at_ >= group_.form.report_period) {
    char text[64];
    std::snprintf(text, sizeof text, "x0=%.3f,x1=%d",
                  static_cast<double>(group_.PositionOf(*this, now) / kMs) / 1000,
                  group_.IsPrimary(*this) ? 1 : 0);
    report_ = text;
    report_at_ = now;
  }
  return report_;
}

void DataServer::HandleQuery(const std::shared_ptr<Session>& session, const std::string& query, Us arrived) {
  if (query.empty()) return session->conn->Write(Message('I', "") + Ready());
  if (query == "SELECT 1") {
    return session->conn->Write(Row("1", "SELECT 1") + Ready());
  }
  if (query == "SHOW pressure") {
    return session->conn->Write(Row(Report(), "SHOW") + Ready());
  }
  const std::string id = CommentValue(query, "id");
  const std::vector<std::string> literals = Literals(query);
  const bool write = query.find("INSERT INTO objects") != std::string::npos;
  if (id.empty() || literals.size() != (write ? 2u : 1u)) {
    return session->conn->Write(Error("08P01", "not a statement that a client sends") + Ready());
  }
  session->busy = true;
  session->idle_since = 0;
  Run run{id, uid_, write, false, arrived, 0, 0};
  TheLoop().After(work, [this, session, run, literals]() mutable {
    session->busy = false;
    if (session->conn->closed() || !up_) return;
    const Us now = Now();
    const bool primary = group_.IsPrimary(*this);
    std::string out;
    std::string position = std::to_string(group_.PositionOf(*this, now) / kMs);
    run.primary = primary;
    run.position = group_.PositionOf(*this, now);
    if (run.write) {
      run.version = std::atoll(literals[1].c_str());
      const Us commit = group_.Write(*this, literals[0], run.version);
      if (commit != 0) {
        run.position = commit;
        position = std::to_string(commit / kMs);
        out = Row(literals[1], "INSERT 0 1");
        Ran(run, literals[0]);
      } else {
        out = Error("25006", "cannot execute INSERT in a read-only transaction");
      }
    } else {
      run.version = group_.Read(*this, literals[0]);
      out = Row(std::to_string(run.version), "SELECT 1");
      Ran(run, literals[0]);
    }
    if (run.write || group_.form.reads_tell_position) out += Status("log_position", position);
    out += Status("replication_role", primary ? "primary" : "standby");
    if (group_.form.inline_reports) out += Status("pressure", Report());
    session->conn->Write(out + Ready());
    CloseIfIdle(session);
    Serve(session);
  });
}

Group::Group(std::int64_t number, std::size_t members, SiteForm site) : form(site), number_(number) {
  for (std::size_t i = 0; i < members; ++i) {
    char uid[32];
    std::snprintf(uid, sizeof uid, "s-%02lld%06zx", static_cast<long long>(number), i * 7919 + 31);
    servers_.push_back(std::make_unique<DataServer>(*this, i, uid));
    servers_.back()->Listen();
  }
}

// A replica's position follows the log's end by the time of shipping; with a slowed apply it moves that many
// times more slowly than time does, and otherwise catches up at twice the log's pace.
Us Group::PositionOf(DataServer& server, Us now) {
  if (!server.up_) return server.position_;
  if (IsPrimary(server)) {
    server.position_ = server.position_as_of_ = std::max(server.position_, now);
    return server.position_;
  }
  const Us end = (failed_at_ != 0 ? std::min(now, failed_at_) : now) - server.ship;
  const double pace = server.apply_slowdown > 1 ? 1 / server.apply_slowdown : 1.85;
  const auto applied = static_cast<Us>(static_cast<double>(now - server.position_as_of_) * pace);
  server.position_as_of_ = now;
  server.position_ = std::max(server.position_, std::min(end, server.position_ + applied));
  return server.position_;
}

Us Group::Write(DataServer& server, const std::string& object, std::int64_t version) {
  if (!IsPrimary(server) || !takes_writes_) return 0;
  const Us at = (Now() + kMs - 1) / kMs * kMs;  // rounded up to a whole millisecond
  log_.push_back({at, object, version});
  return at;
}

std::int64_t Group::Read(DataServer& server, const std::string& object) {
  const Us position = IsPrimary(server) ? Now() + kSecond : PositionOf(server, Now());
  std::int64_t version = 0;
  for (const Entry& entry : log_) {
    if (entry.object == object && entry.at <= position) version = std::max(version, entry.version);
  }
  return version;
}

void Group::FailPrimary(std::size_t successor, Us outage) {
  DataServer& failed = server(static_cast<std::size_t>(primary_));
  const Us now = Now();
  for (auto& other : servers_) PositionOf(*other, now);
  failed.Die();
  primary_ = -1;
  failed_at_ = now;
  Record("primary %s ends; %s takes over in %.0f ms", failed.uid().c_str(), server(successor).uid().c_str(),
         static_cast<double>(outage) / kMs);
  TheLoop().After(outage, [this, successor] {
    // What had not arrived at the successor when the primary ended is lost.
    const Us received = failed_at_ - server(successor).ship;
    std::erase_if(log_, [&](const Entry& entry) {
      if (entry.at <= received) return false;
      Record("lost with the primary: object=%s version=%lld commit=%.1f", entry.object.c_str(),
             static_cast<long long>(entry.version), RelativeMs(entry.at));
      lost.push_back(entry);
      return true;
    });
    Promote(successor);
  });
}

void Group::HandOver(std::size_t successor, Us outage) {
  takes_writes_ = false;
  Record("primary %s hands over to %s in %.0f ms", server(static_cast<std::size_t>(primary_)).uid().c_str(),
         server(successor).uid().c_str(), static_cast<double>(outage) / kMs);
  TheLoop().After(outage, [this, successor] {
    if (primary_ >= 0) PositionOf(server(static_cast<std::size_t>(primary_)), Now());
    Promote(successor);
  });
}

void Group::Return(DataServer& server) {
  server.up_ = true;
  server.position_as_of_ = Now();
  server.booted = Now();
  server.report_.clear();
  server.Listen();
  Record("%s is back as a replica, at position %.1f", server.uid().c_str(), RelativeMs(server.position_));
}

void Group::Promote(std::size_t index) {
  for (auto& other : servers_) PositionOf(*other, Now());
  primary_ = static_cast<int>(index);
  failed_at_ = 0;
  takes_writes_ = true;
  for (auto& other : servers_) other->position_as_of_ = Now();
  Record("primary is %s", server(index).uid().c_str());
}

// ---- Discovery ----------------------------------------------------------------------------------------

struct Discovery::Watch {
  std::shared_ptr<Conn> conn;
  bool open = false;
  void Send(const std::string& line) const {
    if (!open) return;
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    conn->Write(size + line + "\r\n");
  }
};

Discovery::Discovery() {
  listener_.Open(0, [this](const std::shared_ptr<Conn>& conn) {
    auto watch = std::make_shared<Watch>();
    watch->conn = conn;
    std::erase_if(watches_, [](const auto& other) { return other->conn->closed(); });
    watches_.push_back(watch);
    const std::weak_ptr<Watch> weak = watch;
    conn->on_input = [this, weak] {
      const auto alive = weak.lock();
      if (alive == nullptr || alive->open || alive->conn->input.find("\r\n\r\n") == std::string::npos) return;
      if (alive->conn->input.find("follow=1") == std::string::npos) {
        const std::string list = Whole();
        alive->conn->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" +
                           list);
        alive->conn->input.clear();
        return;
      }
      alive->open = true;
      alive->conn->Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      alive->Send(Whole());
    };
  });
  KeepAlive();
}

void Discovery::KeepAlive() {
  TheLoop().After(2 * kSecond, [this] {
    for (const auto& watch : watches_) watch->Send("\n");
    KeepAlive();
  });
}

std::string Discovery::EntryOf(DataServer& server, std::int64_t group) const {
  return "{\"uid\":\"" + server.uid() + "\",\"endpoint\":\"127.0.0.1:" + std::to_string(server.port()) +
         R"(","az":"a","model":"m1","pod_group":)" + std::to_string(group) + ",\"state\":\"" + server.state +
         R"(","capacity_hint":1.0,"boot_ms":)" + std::to_string(server.booted / kMs) + "}";
}

std::string Discovery::Whole() const {
  std::string list = "{\"rev\":" + std::to_string(revision_) + ",\"all\":true,\"targets\":[";
  bool first = true;
  for (Group* group : groups_) {
    for (std::size_t i = 0; i < group->size(); ++i) {
      if (!group->server(i).up()) continue;
      list += (first ? "" : ",") + EntryOf(group->server(i), group->number());
      first = false;
    }
  }
  return list + "]}\n";
}

void Discovery::Tell(DataServer& server, std::int64_t group) {
  ++revision_;
  const std::string line = "{\"rev\":" + std::to_string(revision_) + ",\"all\":false,\"targets\":[" +
                           EntryOf(server, group) + "]}\n";
  for (const auto& watch : watches_) watch->Send(line);
}

// ---- Clients ------------------------------------------------------------------------------------------

const char* NameOf(Answer answer) {
  switch (answer) {
    case Answer::kServed:
      return "served";
    case Answer::kRefused:
      return "refused";
    case Answer::kFailed:
      return "failed";
    case Answer::kClosed:
      return "closed";
    case Answer::kNone:
      return "no answer";
  }
  return "";
}

std::string NewId() {
  static std::uint64_t state = static_cast<std::uint64_t>(Now()) * 0x9E3779B97F4A7C15ull;
  state += 0x9E3779B97F4A7C15ull;
  std::uint64_t mixed = state;
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ull;
  mixed ^= mixed >> 31;
  char text[24];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(mixed));
  return text;
}

void Send(const Call& call, std::function<void(const Outcome&)> done) {
  struct State {
    std::shared_ptr<Conn> conn;
    Outcome outcome;
    std::function<void(const Outcome&)> done;
    bool ended = false;
  };
  auto state = std::make_shared<State>();
  state->done = std::move(done);
  state->outcome.sent = Now();
  const auto end = [](const std::shared_ptr<State>& ending, Answer answer) {
    if (ending->ended) return;
    ending->ended = true;
    ending->outcome.answer = answer;
    ending->outcome.ended = Now();
    if (ending->conn != nullptr) {
      const auto conn = ending->conn;
      conn->Close();
      conn->on_end = nullptr;
      TheLoop().After(0, [conn] { conn->on_input = nullptr; });
    }
    ending->done(ending->outcome);
  };
  state->conn = Conn::Dial(call.port);
  if (state->conn == nullptr) {
    TheLoop().After(0, [state, end] { end(state, Answer::kClosed); });
    return;
  }
  state->conn->on_input = [state, end] {
    char type = 0;
    std::string body;
    while (!state->ended && TakeMessage(state->conn->input, false, type, body)) {
      if (type == 'D' && body.size() >= 6) state->outcome.value = body.substr(6);
      if (type == 'E') {
        std::size_t at = 0;
        while (at < body.size() && body[at] != '\0') {
          const std::string value = body.c_str() + at + 1;
          if (body[at] == 'C') state->outcome.code = value;
          at += value.size() + 2;
        }
        const bool refused = state->outcome.code == "53300" || state->outcome.code == "57P03";
        return end(state, refused ? Answer::kRefused : Answer::kFailed);
      }
      if (type == 'C' || type == 'I') return end(state, Answer::kServed);
    }
  };
  state->conn->on_end = [state, end] { end(state, Answer::kClosed); };
  state->conn->Start();
  const std::string startup = Int32(196608) + Text("user") + Text("worker") + Text("database") +
                              Text("catalog") + std::string(1, '\0');
  state->conn->Write(Int32(static_cast<std::int32_t>(startup.size()) + 4) + startup +
                     Message('Q', Text(call.text)));
  TheLoop().After(call.patience, [state, end] { end(state, Answer::kNone); });
}

Outcome SendAndWait(const Call& call) {
  Outcome outcome;
  bool ended = false;
  Send(call, [&](const Outcome& result) {
    outcome = result;
    ended = true;
  });
  TheLoop().RunUntil([&] { return ended; }, call.patience + kSecond);
  return outcome;
}

std::string ReadText(const std::string& id, const std::string& cls, int d_ms, std::int64_t group,
                     const std::string& object, const std::string& extra) {
  return "/* id=" + id + ",c=" + cls + ",d=" + std::to_string(d_ms) + ",cluster=" + std::to_string(group) +
         extra + " */ SELECT body FROM objects WHERE oid = '" + object + "'";
}

std::string WriteText(const std::string& id, const std::string& cls, int d_ms, std::int64_t group,
                      const std::string& object, std::int64_t version, const std::string& extra) {
  return "/* id=" + id + ",c=" + cls + ",d=" + std::to_string(d_ms) + ",k=" + NewId() +
         ",cluster=" + std::to_string(group) + extra + " */ INSERT INTO objects (oid, body) VALUES ('" +
         object + "', '" + std::to_string(version) + "') RETURNING body";
}

bool AwaitReady(Pooler& pooler, int port, Us limit) {
  const Us end = Now() + limit;
  while (Now() < end && pooler.running()) {
    const Outcome outcome = SendAndWait({"", "", port, kSecond});
    if (outcome.answer == Answer::kServed) return true;
    TheLoop().RunFor(10 * kMs);
  }
  return false;
}

// ---- The pooler ---------------------------------------------------------------------------------------

void Pooler::Start(bool full_disk) {
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) std::exit(2);
  status_ = 0;
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(2);
    dup2(ends[1], 1);
    dup2(ends[1], 2);
    setenv("RELAY_CONFIG", config_.c_str(), 1);
    std::signal(SIGXFSZ, SIG_IGN);  // so that a write beyond the limit fails with EFBIG, as with ENOSPC
    if (full_disk) {
      const rlimit none{0, 0};
      setrlimit(RLIMIT_FSIZE, &none);
    }
    // The command of deploy/balancer.toml; what the platform does not give is set by a file of settings.
    std::string command = "exec build/lynxgrade";
    if (!settings_.empty()) command += " serve --settings " + settings_;
    execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  close(ends[1]);
  pipe_ = ends[0];
  fcntl(pipe_, F_SETFL, O_NONBLOCK);
  TheLoop().Watch(pipe_, POLLIN, [this](short) { Drain(); });
  Record("pooler %s: process %d started%s", name_.c_str(), pid_, full_disk ? ", on a full disk" : "");
}

bool Pooler::FillDisk() {
  const rlimit none{0, 0};
  Record("pooler %s: its disk is full from now on", name_.c_str());
  return prlimit(pid_, RLIMIT_FSIZE, &none, nullptr) == 0;
}

void Pooler::Drain() {
  char buffer[4096];
  while (pipe_ >= 0) {
    const ssize_t count = read(pipe_, buffer, sizeof buffer);
    if (count > 0) {
      log_.append(buffer, static_cast<std::size_t>(count));
      partial_.append(buffer, static_cast<std::size_t>(count));
      for (std::size_t end = partial_.find('\n'); end != std::string::npos; end = partial_.find('\n')) {
        Record("pooler %s| %s", name_.c_str(), partial_.substr(0, end).c_str());
        partial_.erase(0, end + 1);
      }
      continue;
    }
    if (count < 0 && errno == EAGAIN) return;
    TheLoop().Unwatch(pipe_);
    close(pipe_);
    pipe_ = -1;
  }
}

void Pooler::Signal(int signal) {
  if (pid_ > 0) kill(pid_, signal);
  Record("pooler %s: signal %d to process %d", name_.c_str(), signal, pid_);
}

bool Pooler::running() {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, &status_, WNOHANG) != pid_) return true;
  Record("pooler %s: process %d has ended, status %d", name_.c_str(), pid_,
         WIFEXITED(status_) ? WEXITSTATUS(status_) : -WTERMSIG(status_));
  pid_ = -1;
  Drain();
  return false;
}

bool Pooler::AwaitEnd(Us limit) {
  return TheLoop().RunUntil([this] { return !running(); }, limit);
}

void Pooler::Kill() {
  if (!running()) return;
  kill(pid_, SIGKILL);
  kill(pid_, SIGCONT);
  waitpid(pid_, &status_, 0);
  Record("pooler %s: process %d killed", name_.c_str(), pid_);
  pid_ = -1;
  Drain();
}

// ---- Configuration ------------------------------------------------------------------------------------

std::string PlatformConfig(const Platform& platform) {
  return "{\"name\":\"" + platform.name + "\",\"listen\":\"127.0.0.1:" + std::to_string(platform.listen) +
         "\",\"discovery\":\"127.0.0.1:" + std::to_string(platform.discovery) +
         "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
         "\"settings\":" +
         platform.settings + "}";
}

namespace {
std::string Class(const char* name, const char* effect, int aim_ms, int deadline_ms, int worth,
                  int window_ms) {
  return std::string("{\"name\":\"") + name + "\",\"effect\":\"" + effect +
         "\",\"objective_us\":" + std::to_string(aim_ms * 1000) +
         ",\"deadline_us\":" + std::to_string(deadline_ms * 1000) + ",\"key_scope\":\"" +
         (std::string(effect) == "deduplicated" ? "cell" : "all") +
         "\",\"repeat_window_us\":" + std::to_string(window_ms * 1000) +
         ",\"worth\":" + std::to_string(worth) + ",\"late_value\":0.0,\"stream\":false}";
}
}  // namespace

std::string KeptSettings(bool reads_tell_position) {
  return "{\"classes\":[" + Class("lobby-read", "idempotent", 300, 1200, 3, 5000) + "," +
         Class("own-read", "idempotent", 300, 1200, 1, 5000) + "," +
         Class("history-read", "idempotent", 400, 1000, 1, 5000) + "," +
         Class("match-write", "deduplicated", 500, 5000, 6, 3000) + "]," +
         R"("customers":[],"zones":["a"],"zone":0,"me":0,"peers_total":1,"discovery":"push","tick_us":5000,
)" +
         std::string(reads_tell_position ? R"("load_report":{"how":"on_probe","columns":["x0","x1"]},)"
                                         : R"("load_report":{"how":"inline","columns":["x0","x1"]},)") +
         R"(
"limits":{"may_probe":true,"may_cancel":true,"may_duplicate":true,"retry_after":true,"max_retry_after_us":500000,
"max_attempts":8,"connect_timeout_us":250000,"conn_idle_us":15000000},
"rules":{"answer_slack_us":20000,"drain_grace_us":2000000,"start_capacity":0.15,"cold_us":18000000,
"overload_factor":3,"fall_us":3000000},
"tariffs":{"probe":0.038},
"extra":{"class_read":["lag_bound","causal","eventual","mutate"],"oldest_data_us":[200000,0,0,0],
"server_checks":"off","session_marks":"kept","patience_us":20000,"list_role":"off","tells_position":)" +
         std::string(reads_tell_position ? "true}}" : "false}}");
}

std::string RecifeSettings() {
  return "{\"classes\":[" + Class("seat-browse", "idempotent", 1000, 3000, 1, 5000) + "," +
         Class("my-booking", "idempotent", 1200, 5000, 2, 5000) + "," +
         Class("seat-check", "idempotent", 750, 2000, 1, 5000) + "," +
         Class("reserve", "deduplicated", 1200, 5000, 3, 5000) + "]," +
         R"("customers":[],"zones":["recife"],"zone":0,"me":0,"peers_total":1,"discovery":"push","tick_us":5000,
"clients":{"marks_retry":true},
"load_report":{"how":"inline","columns":["x0","x1"]},
"limits":{"may_probe":true,"may_cancel":true,"may_duplicate":false,"retry_after":true,"max_retry_after_us":500000,
"max_attempts":10,"connect_timeout_us":250000,"conn_idle_us":15000000},
"rules":{"answer_slack_us":20000,"drain_grace_us":2000000,"start_capacity":0.15,"cold_us":17000000,
"overload_factor":4,"fall_us":3000000},
"tariffs":{"probe":0.01,"late_fail":0.08,"waste":0.08},
"extra":{"class_read":["lag_bound","causal","strong","mutate"],"oldest_data_us":[500000,0,0,0],
"server_checks":"off","session_marks":"brought","tells_position":false,"list_role":"off"}})";
}

std::string TemporaryFolder() {
  const char* base = std::getenv("TMPDIR");
  std::string name = std::string(base == nullptr ? "/tmp" : base) + "/lynxgrade-review-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) std::exit(2);
  return name;
}

std::string WriteFile(const std::string& path, const std::string& text) {
  std::FILE* file = std::fopen(path.c_str(), "w");
  if (file == nullptr) std::exit(2);
  std::fputs(text.c_str(), file);
  std::fclose(file);
  return path;
}

bool Trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace stage
