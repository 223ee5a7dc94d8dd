#include "data_servers.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "pg/message.h"
#include "pg/statement.h"

namespace lynxgrade::testbed {
namespace {

constexpr std::size_t kRing = 1 << 18;
constexpr std::size_t kListRing = 1 << 20;  // a list of two thousand is some 300 KB
constexpr Duration kTick{5000};
constexpr Duration kEmptyLine{2000000};
const std::string kColumn = std::string("\0\1body\0", 7) + std::string(18, '\0');

std::int64_t Ms(LogPosition position) { return position.time_since_epoch().count() / 1000; }

void AppendRow(std::string& out, const std::string& value, const char* tag) {
  pg::AppendMessage(out, 'T', kColumn);
  std::string row("\0\1\0\0", 4);
  row += static_cast<char>(value.size() >> 8);
  row += static_cast<char>(value.size());
  row += value;
  pg::AppendMessage(out, 'D', row);
  pg::AppendCommandComplete(out, tag);
}

// The quoted texts of a statement after its comment.
std::vector<std::string> Quoted(std::string_view statement) {
  std::vector<std::string> texts;
  std::size_t at = statement.find("*/");
  while (at != std::string_view::npos) {
    const std::size_t from = statement.find('\'', at);
    if (from == std::string_view::npos) break;
    const std::size_t to = statement.find('\'', from + 1);
    if (to == std::string_view::npos) break;
    texts.emplace_back(statement.substr(from + 1, to - from - 1));
    at = to + 1;
  }
  return texts;
}

}  // namespace

// One connection: startup, then a query at a time, each answered after its work.
class DataServers::Conversation final : public net::Connection::Owner {
 public:
  Conversation(DataServers& servers, std::size_t member, net::ObjectPtr<GSocket> socket)
      : servers_(servers), member_(member), answer_(servers.loop_) {
    connection_ = net::Connection::Adopt(servers.loop_, std::move(socket), *this, kRing, kRing);
  }
  bool over() const { return over_; }
  void Close() {
    over_ = true;
    answer_.Cancel();
    connection_->Close();
  }

 private:
  void OnReadable() override { Work(); }
  void OnEndOfStream() override { Close(); }
  void OnDisconnected() override { Close(); }

  void Work() {
    if (over_ || busy_ || servers_.servers_[member_].cut) return;
    const std::string_view bytes = connection_->input().Linearize();
    const pg::Frame frame = started_ ? pg::ReadFrame(bytes) : pg::ReadStartupFrame(bytes);
    if (frame.framing == pg::Framing::kPartial) return connection_->ResumeReading();
    if (frame.framing != pg::Framing::kComplete) return Close();
    if (!started_) {
      started_ = true;
      connection_->input().Consume(frame.size);
      std::string hello;
      pg::AppendAuthenticationOk(hello);
      pg::AppendReadyForQuery(hello);
      connection_->Write(hello);
      return Work();
    }
    const auto text = frame.type == 'Q' ? pg::ReadQuery(frame.body) : std::nullopt;
    if (!text) return Close();
    const std::string query(*text);
    connection_->input().Consume(frame.size);
    busy_ = true;
    answer_.ScheduleAfter(servers_.work_, [this, query] {
      busy_ = false;
      if (servers_.servers_[member_].cut) return;
      connection_->Write(servers_.AnswerTo(member_, query));
      Work();
    });
  }

  DataServers& servers_;
  std::size_t member_;
  std::shared_ptr<net::Connection> connection_;
  net::Timer answer_;
  bool started_ = false, busy_ = false, over_ = false;
};

DataServers::DataServers(net::Loop& loop, GroupId number, Group::Options options, Duration work)
    : loop_(loop),
      number_(number),
      work_(work),
      group_(options, loop.Now()),
      servers_(options.members),
      ports_(options.members),
      tick_(loop) {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const std::string fault = Open(i, 0);
    if (!fault.empty()) throw std::runtime_error("a stand-in data server cannot listen: " + fault);
  }
  Tick();
}

DataServers::~DataServers() = default;

std::string DataServers::Uid(std::size_t member) const {
  return "s-" + std::to_string(static_cast<std::int64_t>(number_)) + "-" + std::to_string(member);
}

std::string DataServers::Open(std::size_t member, std::uint16_t port) {
  Server& server = servers_[member];
  server.listener = std::make_unique<net::Listener>(
      loop_, [] { return true; },
      [this, member](net::ObjectPtr<GSocket> socket) {
        auto& all = servers_[member].conversations;
        std::erase_if(all, [](const auto& one) { return one->over(); });
        all.push_back(std::make_unique<Conversation>(*this, member, std::move(socket)));
      });
  const auto listening = server.listener->Open({"127.0.0.1", port});
  if (!listening) return Describe(listening.error());
  ports_[member] = server.listener->port();
  return {};
}

void DataServers::Tick() {
  group_.Advance(loop_.Now());
  tick_.ScheduleAfter(kTick, [this] { Tick(); });
}

void DataServers::Kill(std::size_t member) {
  group_.Die(member, loop_.Now());
  servers_[member].listener.reset();
  for (auto& one : servers_[member].conversations) one->Close();
}

void DataServers::Cut(std::size_t member) {
  group_.Die(member, loop_.Now());
  servers_[member].cut = true;
}

void DataServers::Restart(std::size_t member) {
  group_.Return(member, loop_.Now());
  servers_[member].cut = false;
  for (auto& one : servers_[member].conversations) one->Close();
  if (servers_[member].listener == nullptr) Open(member, ports_[member]);
}

std::string DataServers::AnswerTo(std::size_t member, const std::string& query) {
  const TimePoint now = loop_.Now();
  const bool primary = group_.IsPrimary(member);
  std::string out;
  LogPosition position = group_.At(member, now);
  std::string wrong;
  if (query == "SHOW pressure") {
    ++probes_;
    char report[64];
    std::snprintf(report, sizeof report, "x0=%.3f,x1=%d", static_cast<double>(Ms(position)) / 1000, primary);
    AppendRow(out, report, "SELECT 1");
    pg::AppendReadyForQuery(out);
    return out;
  }
  const auto comment = pg::ReadComment(query, wrong);
  const std::vector<std::string> texts = Quoted(query);
  if (!comment || texts.empty()) {
    pg::AppendErrorResponse(out, "ERROR", "08P01", "not a statement that is known here");
  } else if (query.find("INSERT") != std::string::npos) {
    ++writes_;
    const auto version = pg::ParseInteger(texts.size() > 1 ? texts[1] : "");
    const auto commit = group_.Write(member, texts[0], version.value_or(1), now);
    if (commit) {
      position = *commit;
      AppendRow(out, texts.size() > 1 ? texts[1] : "1", "INSERT 0 1");
    } else {
      pg::AppendErrorResponse(out, "ERROR", "25006", "not the primary");
    }
  } else {
    ++reads_;
    AppendRow(out, std::to_string(group_.Read(member, texts[0], now)), "SELECT 1");
  }
  pg::AppendParameterStatus(out, "replication_role", primary ? "primary" : "standby");
  pg::AppendParameterStatus(out, "log_position", std::to_string(Ms(position)));
  pg::AppendReadyForQuery(out);
  return out;
}

// ---- Discovery ----------------------------------------------------------------------------------------

class Agent::Watcher final : public net::Connection::Owner {
 public:
  Watcher(net::Loop& loop, net::ObjectPtr<GSocket> socket, Agent& agent) : agent_(agent) {
    connection_ = net::Connection::Adopt(loop, std::move(socket), *this, kRing, kListRing);
  }
  bool follows() const { return follows_ && !over_; }
  void Say(const std::string& line) {
    if (!follows_ || over_) return;
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    Write(size + line + "\r\n");
  }
  bool over() const { return over_; }

 private:
  void OnReadable() override {
    const std::string request(connection_->input().Linearize());
    if (follows_ || request.find("\r\n\r\n") == std::string::npos) return connection_->ResumeReading();
    connection_->input().Consume(request.size());
    const std::string list = agent_.Whole();
    ++agent_.calls_;
    if (request.find("follow=1") == std::string::npos) {
      Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
      return;
    }
    Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    follows_ = true;
    Say(list);
  }
  void OnEndOfStream() override { OnDisconnected(); }
  void OnDisconnected() override {
    over_ = true;
    connection_->Close();
  }
  void Write(const std::string& bytes) {
    agent_.bytes_ += bytes.size();
    connection_->Write(bytes);
  }

  Agent& agent_;
  std::shared_ptr<net::Connection> connection_;
  bool follows_ = false, over_ = false;
};

Agent::Agent(net::Loop& loop)
    : loop_(loop),
      listener_(
          loop, [] { return true; },
          [this](net::ObjectPtr<GSocket> socket) {
            std::erase_if(watchers_, [](const auto& one) { return one->over(); });
            watchers_.push_back(std::make_unique<Watcher>(loop_, std::move(socket), *this));
          }),
      beat_(loop) {
  if (const auto listening = listener_.Open({"127.0.0.1", 0}); !listening) {
    throw std::runtime_error("the stand-in for discovery cannot listen: " + Describe(listening.error()));
  }
  const std::function<void()> beat = [this] {
    for (auto& one : watchers_) one->Say("\n");
  };
  struct Again {
    static void Arm(net::Timer& timer, std::function<void()> call) {
      timer.ScheduleAfter(kEmptyLine, [&timer, call] {
        call();
        Arm(timer, call);
      });
    }
  };
  Again::Arm(beat_, beat);
}

Agent::~Agent() = default;

void Agent::List(const DataServers& servers) {
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

void Agent::Replace(const std::string& old, const std::string& uid, const std::string& entry) {
  ++revision_;
  entries_.erase(old);
  entries_[uid] = entry;
  const std::string line = Lines(false, {nlohmann::json{{"uid", old}, {"state", "Gone"}}.dump(), entry});
  for (auto& one : watchers_) one->Say(line);
}

std::size_t Agent::watchers() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(watchers_, [](const auto& one) { return one->follows(); }));
}

std::string Agent::Whole() const {
  std::vector<std::string> all;
  for (const auto& [uid, entry] : entries_) all.push_back(entry);
  return Lines(true, all);
}

std::string Agent::Lines(bool all, const std::vector<std::string>& entries) const {
  std::string list =
      "{\"rev\":" + std::to_string(revision_) + ",\"all\":" + (all ? "true" : "false") + ",\"targets\":[";
  for (std::size_t i = 0; i < entries.size(); ++i) list += (i > 0 ? "," : "") + entries[i];
  return list + "]}\n";
}

}  // namespace lynxgrade::testbed
