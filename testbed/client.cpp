#include "client.h"

#include "pg/message.h"

namespace lynxgrade::testbed {
namespace {

constexpr Duration kMs{1000};
constexpr std::size_t kBufferBytes = 1 << 18;
// Added to a request's time budget before it counts as unanswered: all processes of a run share one machine,
// whose stalls are not the pooler's fault.
constexpr Duration kStallAllowance{1'000'000};

}  // namespace

Client::Client(net::Loop& loop, std::uint16_t port, const std::string& query, int budget_ms,
               ResultCallback on_result)
    : on_result_(std::move(on_result)), timeout_(loop) {
  bool full = false;
  connection_ = net::Connection::Connect(loop, {"127.0.0.1", port}, *this, kBufferBytes, kBufferBytes, &full);
  timeout_.ScheduleAfter(kMs * budget_ms + kStallAllowance, [this] { Finish(RequestResult::kTimedOut); });
  if (connection_ == nullptr) {
    timeout_.ScheduleAfter(Duration{0}, [this] { Finish(RequestResult::kDisconnected); });
    return;
  }
  std::string out;
  pg::AppendStartupMessage(out, "worker", "catalog");
  pg::AppendQuery(out, query);
  connection_->Write(out);
}

void Client::OnReadable() {
  while (!finished_) {
    const pg::Frame frame = pg::ReadFrame(connection_->input().Linearize());
    if (frame.framing == pg::Framing::kPartial) return connection_->ResumeReading();
    if (frame.framing != pg::Framing::kComplete) return Finish(RequestResult::kDisconnected);
    if (frame.type == 'D') {
      const auto row = pg::ReadSingleColumnRow(frame.body);
      if (row && row->value) value_ = std::string(*row->value);
    }
    if (frame.type == 'E') {
      const auto error = pg::ReadErrorFields(frame.body);
      const bool rejected = error && (error->code == "53300" || error->code == "57P03");
      result_ = rejected ? RequestResult::kRejected : RequestResult::kFailed;
    }
    const char type = frame.type;
    connection_->input().Consume(frame.size);
    if (type == 'C' || type == 'I') return Finish(RequestResult::kServed);
    if (type == 'E') return Finish(result_);
  }
}

void Client::Finish(RequestResult result) {
  if (finished_) return;
  finished_ = true;
  timeout_.Cancel();
  if (connection_ != nullptr) connection_->Close();
  on_result_(result, value_);
}

std::string RequestComment(std::uint64_t id, const char* cls, int budget_ms, std::int64_t group) {
  const std::string number = std::to_string(id);
  return "/* id=" + number + ",c=" + cls + ",t=cho-moi,d=" + std::to_string(budget_ms) + ",k=" + number +
         ",cluster=" + std::to_string(group) + " */ ";
}

std::string WriteStatement(const std::string& session, std::uint64_t version) {
  return "INSERT INTO objects (oid, body) VALUES ('" + session + "', '" + std::to_string(version) +
         "') RETURNING body";
}

std::string ReadStatement(const std::string& session) {
  return "SELECT body FROM objects WHERE oid = '" + session + "'";
}

}  // namespace lynxgrade::testbed
