#include "client.h"

#include "pg/message.h"

namespace lynxgrade::testbed {
namespace {

constexpr Duration kMs{1000};
constexpr std::size_t kRing = 1 << 18;
constexpr Duration kSlack{1000000};  // past a client's patience, before it counts as not answered: stalls of
                                     // the machine that plays all parts at once are nobody's fault

}  // namespace

Client::Client(net::Loop& loop, std::uint16_t port, const std::string& query, int budget_ms, Done done)
    : done_(std::move(done)), patience_(loop) {
  bool full = false;
  connection_ = net::Connection::Connect(loop, {"127.0.0.1", port}, *this, kRing, kRing, &full);
  patience_.ScheduleAfter(kMs * budget_ms + kSlack, [this] { Finish(End::kSilent); });
  if (connection_ == nullptr) {
    patience_.ScheduleAfter(Duration{0}, [this] { Finish(End::kBroken); });
    return;
  }
  std::string out;
  pg::AppendStartupMessage(out, "worker", "catalog");
  pg::AppendQuery(out, query);
  connection_->Write(out);
}

void Client::OnReadable() {
  while (!over_) {
    const pg::Frame frame = pg::ReadFrame(connection_->input().Linearize());
    if (frame.framing == pg::Framing::kPartial) return connection_->ResumeReading();
    if (frame.framing != pg::Framing::kComplete) return Finish(End::kBroken);
    if (frame.type == 'D') {
      const auto row = pg::ReadSingleColumnRow(frame.body);
      if (row && row->value) value_ = std::string(*row->value);
    }
    if (frame.type == 'E') {
      const auto error = pg::ReadErrorFields(frame.body);
      const bool refused = error && (error->code == "53300" || error->code == "57P03");
      end_ = refused ? End::kRefused : End::kFailed;
    }
    const char type = frame.type;
    connection_->input().Consume(frame.size);
    if (type == 'C' || type == 'I') return Finish(End::kServed);
    if (type == 'E') return Finish(end_);
  }
}

void Client::Finish(End end) {
  if (over_) return;
  over_ = true;
  patience_.Cancel();
  if (connection_ != nullptr) connection_->Close();
  done_(end, value_);
}

std::string CommentFor(std::uint64_t id, const char* cls, int budget_ms, std::int64_t group) {
  const std::string number = std::to_string(id);
  return "/* id=" + number + ",c=" + cls + ",t=cho-moi,d=" + std::to_string(budget_ms) + ",k=" + number +
         ",cluster=" + std::to_string(group) + " */ ";
}

std::string WriteOf(const std::string& session, std::uint64_t version) {
  return "INSERT INTO objects (oid, body) VALUES ('" + session + "', '" + std::to_string(version) +
         "') RETURNING body";
}

std::string ReadOf(const std::string& session) {
  return "SELECT body FROM objects WHERE oid = '" + session + "'";
}

}  // namespace lynxgrade::testbed
