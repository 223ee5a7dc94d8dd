#include "data_servers.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "pg/message.h"
#include "pg/statement.h"

namespace lynxgrade::testbed {
namespace {

constexpr std::size_t kBufferBytes = 1 << 18;
constexpr std::size_t kListBufferBytes = 1 << 20;  // a list of 2000 data servers has some 300 KB
constexpr Duration kGroupUpdateInterval{5000};
constexpr Duration kKeepaliveInterval{2'000'000};  // of the empty lines to each watch
const std::string kRowDescription = std::string("\0\1body\0", 7) + std::string(18, '\0');

std::int64_t ToMs(LogPosition position) { return position.time_since_epoch().count() / 1000; }

void AppendRow(std::string& out, const std::string& value, const char* tag) {
  pg::AppendMessage(out, 'T', kRowDescription);
  std::string row("\0\1\0\0", 4);
  row += static_cast<char>(value.size() >> 8);
  row += static_cast<char>(value.size());
  row += value;
  pg::AppendMessage(out, 'D', row);
  pg::AppendCommandComplete(out, tag);
}

std::string EmptyQueryResponse() {
  std::string out;
  pg::AppendEmptyQueryResponse(out);
  pg::AppendReadyForQuery(out);
  return out;
}

// The quoted literals of a statement after its comment.
std::vector<std::string> QuotedLiterals(std::string_view statement) {
  std::vector<std::string> literals;
  std::size_t at = statement.find("*/");
  while (at != std::string_view::npos) {
    const std::size_t from = statement.find('\'', at);
    if (from == std::string_view::npos) break;
    const std::size_t to = statement.find('\'', from + 1);
    if (to == std::string_view::npos) break;
    literals.emplace_back(statement.substr(from + 1, to - from - 1));
    at = to + 1;
  }
  return literals;
}

}  // namespace

// One client connection: start-up, then one query at a time, each answered after the work time.
class DataServers::ClientConnection final : public net::Connection::Owner {
 public:
  ClientConnection(DataServers& servers, std::size_t member, net::ObjectPtr<GSocket> socket)
      : servers_(servers), member_(member), response_timer_(servers.loop_) {
    connection_ = net::Connection::Adopt(servers.loop_, std::move(socket), *this, kBufferBytes, kBufferBytes);
  }
  bool closed() const { return closed_; }
  void Close() {
    closed_ = true;
    response_timer_.Cancel();
    connection_->Close();
  }

 private:
  void OnReadable() override { ProcessInput(); }
  void OnEndOfStream() override { Close(); }
  void OnDisconnected() override { Close(); }

  void ProcessInput() {
    if (closed_ || busy_ || servers_.servers_[member_].isolated) return;
    const std::string_view bytes = connection_->input().Linearize();
    const pg::Frame frame = started_ ? pg::ReadFrame(bytes) : pg::ReadStartupFrame(bytes);
    if (frame.framing == pg::Framing::kPartial) return connection_->ResumeReading();
    if (frame.framing != pg::Framing::kComplete) return Close();
    if (!started_) {
      started_ = true;
      connection_->input().Consume(frame.size);
      std::string greeting;
      pg::AppendAuthenticationOk(greeting);
      pg::AppendReadyForQuery(greeting);
      connection_->Write(greeting);
      return ProcessInput();
    }
    const auto text = frame.type == 'Q' ? pg::ReadQuery(frame.body) : std::nullopt;
    if (!text) return Close();
    const std::string query(*text);
    connection_->input().Consume(frame.size);
    if (query.empty()) {  // gets its response at once
      connection_->Write(EmptyQueryResponse());
      return ProcessInput();
    }
    busy_ = true;
    response_timer_.ScheduleAfter(servers_.work_time_, [this, query] {
      busy_ = false;
      if (servers_.servers_[member_].isolated) return;
      connection_->Write(servers_.ResponseTo(member_, query));
      ProcessInput();
    });
  }

  DataServers& servers_;
  std::size_t member_;
  std::shared_ptr<net::Connection> connection_;
  net::Timer response_timer_;
  bool started_ = false, busy_ = false, closed_ = false;
};

DataServers::DataServers(net::Loop& loop, GroupId number, Group::Options options, Duration work_time)
    : loop_(loop),
      number_(number),
      work_time_(work_time),
      group_(options, loop.Now()),
      servers_(options.members),
      ports_(options.members),
      group_timer_(loop) {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const std::string problem = Listen(i, 0);
    if (!problem.empty()) throw std::runtime_error("simulated data server cannot listen: " + problem);
  }
  AdvanceGroup();
}

DataServers::~DataServers() = default;

std::string DataServers::Uid(std::size_t member) const {
  return "s-" + std::to_string(static_cast<std::int64_t>(number_)) + "-" + std::to_string(member);
}

std::string DataServers::Listen(std::size_t member, std::uint16_t port) {
  Server& server = servers_[member];
  server.listener = std::make_unique<net::Listener>(
      loop_, [] { return true; },
      [this, member](net::ObjectPtr<GSocket> socket) {
        auto& open = servers_[member].connections;
        std::erase_if(open, [](const auto& connection) { return connection->closed(); });
        open.push_back(std::make_unique<ClientConnection>(*this, member, std::move(socket)));
      });
  const auto listening = server.listener->Open({"127.0.0.1", port});
  if (!listening) return Describe(listening.error());
  ports_[member] = server.listener->port();
  return {};
}

void DataServers::AdvanceGroup() {
  group_.CompleteFailover(loop_.Now());
  group_timer_.ScheduleAfter(kGroupUpdateInterval, [this] { AdvanceGroup(); });
}

void DataServers::Kill(std::size_t member) {
  group_.Fail(member, loop_.Now());
  servers_[member].listener.reset();
  for (auto& connection : servers_[member].connections) connection->Close();
}

void DataServers::Isolate(std::size_t member) {
  group_.Fail(member, loop_.Now());
  servers_[member].isolated = true;
}

void DataServers::Restart(std::size_t member) {
  group_.Recover(member, loop_.Now());
  servers_[member].isolated = false;
  for (auto& connection : servers_[member].connections) connection->Close();
  if (servers_[member].listener == nullptr) Listen(member, ports_[member]);
}

std::string DataServers::ResponseTo(std::size_t member, const std::string& query) {
  const TimePoint now = loop_.Now();
  const bool primary = group_.IsPrimary(member);
  std::string out;
  LogPosition position = group_.PositionOf(member, now);
  std::string problem;
  if (query == "SHOW pressure") {
    ++probes_;
    char report[64];
    std::snprintf(report, sizeof report, "x0=%.3f,x1=%d", static_cast<double>(ToMs(position)) / 1000,
                  primary);
    AppendRow(out, report, "SELECT 1");
    pg::AppendReadyForQuery(out);
    return out;
  }
  const auto comment = pg::ReadComment(query, problem);
  const std::vector<std::string> literals = QuotedLiterals(query);
  if (!comment || literals.empty()) {
    pg::AppendErrorResponse(out, "ERROR", "08P01", "not a statement that is known here");
  } else if (query.find("INSERT") != std::string::npos) {
    ++writes_;
    const auto version = pg::ParseInteger(literals.size() > 1 ? literals[1] : "");
    const auto commit = group_.Write(member, literals[0], version.value_or(1), now);
    if (commit) {
      position = *commit;
      AppendRow(out, literals.size() > 1 ? literals[1] : "1", "INSERT 0 1");
    } else {
      pg::AppendErrorResponse(out, "ERROR", "25006", "not the primary");
    }
  } else {
    ++reads_;
    AppendRow(out, std::to_string(group_.Read(member, literals[0], now)), "SELECT 1");
  }
  pg::AppendParameterStatus(out, "replication_role", primary ? "primary" : "standby");
  pg::AppendParameterStatus(out, "log_position", std::to_string(ToMs(position)));
  pg::AppendReadyForQuery(out);
  return out;
}

// ---- Discovery server ----

class DiscoveryServer::Watcher final : public net::Connection::Owner {
 public:
  Watcher(net::Loop& loop, net::ObjectPtr<GSocket> socket, DiscoveryServer& server) : server_(server) {
    connection_ = net::Connection::Adopt(loop, std::move(socket), *this, kBufferBytes, kListBufferBytes);
  }
  bool is_watch() const { return is_watch_ && !closed_; }
  void SendChunk(const std::string& line) {
    if (!is_watch_ || closed_) return;
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    Write(size + line + "\r\n");
  }
  bool closed() const { return closed_; }

 private:
  void OnReadable() override {
    const std::string request(connection_->input().Linearize());
    if (is_watch_ || request.find("\r\n\r\n") == std::string::npos) return connection_->ResumeReading();
    connection_->input().Consume(request.size());
    const std::string list = server_.WholeList();
    ++server_.list_requests_;
    if (request.find("follow=1") == std::string::npos) {
      Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
      return;
    }
    Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    is_watch_ = true;
    SendChunk(list);
  }
  void OnEndOfStream() override { OnDisconnected(); }
  void OnDisconnected() override {
    closed_ = true;
    connection_->Close();
  }
  void Write(const std::string& bytes) {
    server_.bytes_sent_ += bytes.size();
    connection_->Write(bytes);
  }

  DiscoveryServer& server_;
  std::shared_ptr<net::Connection> connection_;
  bool is_watch_ = false, closed_ = false;
};

DiscoveryServer::DiscoveryServer(net::Loop& loop)
    : loop_(loop),
      listener_(
          loop, [] { return true; },
          [this](net::ObjectPtr<GSocket> socket) {
            std::erase_if(watchers_, [](const auto& connection) { return connection->closed(); });
            watchers_.push_back(std::make_unique<Watcher>(loop_, std::move(socket), *this));
          }),
      keepalive_timer_(loop) {
  if (const auto listening = listener_.Open({"127.0.0.1", 0}); !listening) {
    throw std::runtime_error("simulated discovery server cannot listen: " + Describe(listening.error()));
  }
  const std::function<void()> send_keepalive = [this] {
    for (auto& watcher : watchers_) watcher->SendChunk("\n");
  };
  struct Repeat {
    static void Schedule(net::Timer& timer, std::function<void()> call) {
      timer.ScheduleAfter(kKeepaliveInterval, [&timer, call] {
        call();
        Schedule(timer, call);
      });
    }
  };
  Repeat::Schedule(keepalive_timer_, send_keepalive);
}

DiscoveryServer::~DiscoveryServer() = default;

void DiscoveryServer::AddServers(const DataServers& servers) {
  const auto number = static_cast<std::int64_t>(servers.number());
  for (std::size_t i = 0; i < const_cast<DataServers&>(servers).group().size(); ++i) {
    entries_[servers.Uid(i)] = nlohmann::json{
        {"uid", servers.Uid(i)},
        {"endpoint", "127.0.0.1:" + std::to_string(servers.port(i))},
        {"az", "a"},
        {"model", "m1"},
        {"pod_group", number},
        {"state", "Ready"},
        {"capacity_hint", 1.0},
        {"boot_ms", 0}}.dump();
  }
}

void DiscoveryServer::ReplaceEntry(const std::string& old_uid, const std::string& uid,
                                   const std::string& entry) {
  ++revision_;
  entries_.erase(old_uid);
  entries_[uid] = entry;
  const std::string line =
      ListLine(false, {nlohmann::json{{"uid", old_uid}, {"state", "Gone"}}.dump(), entry});
  for (auto& watcher : watchers_) watcher->SendChunk(line);
}

std::size_t DiscoveryServer::watchers() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(watchers_, [](const auto& watcher) { return watcher->is_watch(); }));
}

std::string DiscoveryServer::WholeList() const {
  std::vector<std::string> all;
  for (const auto& [uid, entry] : entries_) all.push_back(entry);
  return ListLine(true, all);
}

std::string DiscoveryServer::ListLine(bool all, const std::vector<std::string>& entries) const {
  std::string list =
      "{\"rev\":" + std::to_string(revision_) + ",\"all\":" + (all ? "true" : "false") + ",\"targets\":[";
  for (std::size_t i = 0; i < entries.size(); ++i) list += (i > 0 ? "," : "") + entries[i];
  return list + "]}\n";
}

}  // namespace lynxgrade::testbed
