// A client's session in PostgreSQL's protocol: one request after the other, each with one answer.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/connection.h"
#include "net/descriptor_budget.h"
#include "net/loop.h"
#include "pg/statement.h"
#include "proxy/ports.h"

namespace lynxgrade::frontend {

// A statement as its client sent it; all that an attempt changes is d.
class StatementWork final : public proxy::Work {
 public:
  // Nothing, and the reason in `wrong`, where the statement has no well-formed comment.
  static std::shared_ptr<const StatementWork> Read(std::string_view statement, std::string& wrong);
  std::string TextFor(Duration left) const override;
  const pg::Comment& comment() const { return comment_; }

 private:
  std::string text_;
  pg::Comment comment_;
};

class Front;

class Session final : public net::Connection::Owner,
                      public proxy::Client,
                      public std::enable_shared_from_this<Session> {
 public:
  Session(Front& front, net::DescriptorBudget& budget);
  // `queued_since`: what it brings may have come as early as that.
  void Begin(net::ObjectPtr<GSocket> socket, TimePoint queued_since);
  void Close();
  // Its time on a shelf is over. Ends it as Leave does, or goes on where something has come meanwhile; the
  // client hears why, if it is in the middle of saying something.
  void Expire();
  // Ends the sending and throws away what still comes, until the client closes too: a close on bytes that
  // were not read would reset the connection, and the reset overtakes the last answer.
  void Leave();
  // Whether nothing has come that was not read.
  bool Quiet() const { return connection_->in().empty() && !connection_->SomethingCame(); }
  // The client wants no answer any more, as it says by another connection, on which that came at `came`.
  void Cancel(std::uint32_t secret, TimePoint came);
  // Ends the request being answered, as nothing can be waited for any more.
  void GiveUp();

  // What the front may do with it. kSilent: has not said who it is, or not ended a message that it began.
  // kUnread: does not take its answer. kServed: has a request open, and stays.
  enum class Shelf : std::size_t { kSilent, kIdle, kUnread, kServed, kLeaving };
  static constexpr std::size_t kShelves = 5;

 private:
  enum class State { kStartup, kReady, kAsking, kLeaving };

  void OnReadable() override { Work(); }
  void OnWritten() override;
  void OnPeerDone() override;
  void OnBroken() override { Close(); }
  void Served(const proxy::Answer& answer) override;
  void Refused(Duration come_back) override;
  void Failed() override;
  void Unusable() override;

  friend class Front;

  void Work();
  // Looks whether a client whose sending is not read, or has ended, is still there.
  void Look();
  void TakeSome();
  void Shelve();
  bool TakeStartup();
  bool TakeMessage();
  void TakeQuery(std::string_view text);
  void TakeRequest(std::string_view text);
  void Write(std::string_view bytes);
  void Answer(std::string& bytes);
  void AnswerError(std::string_view code, std::string_view message, std::string_view detail = {});
  void Fatal(std::string_view code, std::string_view message);

  Front& front_;
  net::Slot slot_;
  std::shared_ptr<net::Connection> connection_;
  State state_ = State::kStartup;
  bool working_ = false;
  std::uint32_t process_ = 0;  // the key for CancelRequest, from the start on
  std::uint32_t secret_ = 0;
  RequestId request_{};
  TimePoint came_{};          // the last byte of the message that is being taken
  TimePoint read_from_{};     // when reading went on after the ring had been full
  TimePoint answered_{};      // when the newest answer to a request was given
  TimePoint cancels_from_{};  // CancelRequests that came before mean an earlier request
  std::string id_;            // as the client named its open request
  std::size_t thrown_away_ = 0;
  net::Timer again_;
  net::Timer look_;
  // Kept by the front.
  std::optional<Shelf> shelf_;
  std::list<Session*>::iterator place_{};
  TimePoint since_{};
};

}  // namespace lynxgrade::frontend
