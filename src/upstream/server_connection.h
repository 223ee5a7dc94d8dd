// One connection to a data server, with the answer that is being read from it.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "net/connection.h"
#include "net/descriptor_budget.h"
#include "net/loop.h"
#include "pg/message.h"
#include "upstream/connection_pool.h"

namespace lynxgrade::upstream {

// What has come of an answer so far, and what it says in the module's terms. Reads messages, not sockets.
class Reply {
 public:
  enum class Step { kMore, kReady, kMalformed };

  // Takes one message; kReady where the data server awaits the next query.
  Step Take(char type, std::string_view body);
  bool begun() const { return begun_; }

  bool failed() const { return error_.has_value(); }
  const std::optional<pg::ErrorFields>& error() const { return error_; }
  // Whether the data server says that the statement itself is at fault: it has not run, and would nowhere.
  bool unusable() const;
  bool whole() const { return row_.has_value() && tag_.has_value() && !failed(); }
  // How the attempt ended, if nothing more comes; `written` where its last byte has gone out.
  Outcome Ended(bool written) const;
  ResponseMetadata metadata() const { return metadata_; }
  std::optional<LoadReport> report() const { return report_; }
  std::string_view value() const;
  proxy::Answer TakeAnswer();

 private:
  bool TakeStatus(std::string_view body);

  bool begun_ = false;
  std::optional<std::string> description_;
  std::optional<std::string> row_;
  std::optional<std::string> tag_;
  std::optional<pg::ErrorFields> error_;
  ResponseMetadata metadata_;
  std::optional<LoadReport> report_;
};

// A report's fields in the module's terms; positions are Unix seconds here.
std::optional<LoadReport> ReportOf(std::string_view text);

class Backend final : public net::Connection::Owner, public std::enable_shared_from_this<Backend> {
 public:
  Backend(net::Loop& loop, Pool& pool, Server& server, net::DescriptorBudget& budget);
  ~Backend();

  // False if no connection can be opened; `full` where descriptors have run out.
  bool Open(const net::Address& address, Duration within, bool* full);
  // Writes the job's query; the connection must be idle and sound.
  void Run(std::shared_ptr<Job> job);
  Server& server() { return server_; }
  bool ready() const { return ready_; }
  bool idle() const { return ready_ && job_ == nullptr; }
  TimePoint idle_since() const { return idle_since_; }
  bool Sound() const { return !connection_->SomethingCame(); }
  // Whether the last byte of what it runs has been handed to the kernel.
  bool Written() const { return asked_ && connection_->all_written(); }
  void Close();

 private:
  void OnUp() override;
  void OnReadable() override;
  void OnPeerDone() override { Lost(); }
  void OnBroken() override { Lost(); }
  bool TakeMessage(char type, std::string_view body);
  void TakeReady();
  void Lost();
  void Stalled(bool again);
  void Malformed(const char* what);

  net::Loop& loop_;
  Pool& pool_;
  Server& server_;
  net::Slot slot_;
  std::shared_ptr<net::Connection> connection_;
  net::Timer opening_;
  net::Timer stalled_;
  std::shared_ptr<Job> job_;
  Reply reply_;
  bool ready_ = false;
  bool asked_ = false;  // the query of the present job was taken for writing
  TimePoint idle_since_{};
};

// A data server's connections and the jobs that wait for one.
struct Server {
  ServerId id{};
  std::optional<net::Address> address;
  std::list<std::shared_ptr<Backend>> backends;
  std::vector<Backend*> idle;  // the one used last at the end, so that the rest can go
  std::size_t opening = 0;
  std::deque<std::shared_ptr<Job>> waiting;
  bool dispatching = false;
  bool gone = false;  // from the list
};

}  // namespace lynxgrade::upstream
