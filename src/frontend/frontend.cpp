#include "frontend/frontend.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace lynxgrade::frontend {
namespace {

constexpr Duration kSweepEvery{250000};
constexpr Duration kSweepLeaving{20000};  // while the program stops
// A client that does not say who it is, or does not end what it has begun to say, is closed after this; with
// the sweep that is well within the 3 s in which a bad client is owed its close.
constexpr Duration kSayWithin{2000000};
constexpr Duration kReadWithin{10000000};  // that does not take its answer
constexpr Duration kLeaveWithin{500000};   // for a client to read why it was turned out
// What a client has sent by the time it connected has been read after this; until then it is not called
// silent.
constexpr Duration kHeardWithin{100000};
// Clients that asked once and stay take the places of those that would ask. Where there are many, they go
// after the first of these; the other is for a client that is only slow to ask again.
constexpr Duration kIdleFull{500000};  // where they hold most of what is there for requests
constexpr Duration kIdleCrowded{2200000};
constexpr Duration kIdleMost{15000000};
// After SIGTERM clients are served on the connections they have, and new ones are taken, until little time is
// left: by then the front layer has let go of this pooler, and another that is being restarted has been taken
// in again. The program is killed no earlier than the longest deadline, or 3 s if that is shorter, and 0.7 s
// after the signal.
constexpr Duration kDeadlineCounts{3000000};
constexpr Duration kKilledAfter{700000};
constexpr Duration kLastRequest{900000};  // before that
constexpr Duration kLastAnswer{200000};
// But new connections come for up to 0.4 s, and what is asked within 0.7 s is owed its whole time, which with
// short deadlines ends no later than the earliest kill.
constexpr Duration kServedAtLeast{700000};
// A connection that was taken in just before the listener closed brings what it has to say after this.
constexpr Duration kSaidWithin{100000};
constexpr Duration kRestWithin{300000};  // and the rest of a message that was begun
constexpr std::size_t kLooks = 16;       // at connections that might be closed for their descriptor

Duration KilledAfter(const std::vector<RequestClass>& kinds) {
  Duration longest{0};
  for (const RequestClass& kind : kinds) longest = std::max(longest, kind.deadline);
  return std::min(longest, kDeadlineCounts) + kKilledAfter;
}

}  // namespace

Front::Front(net::Loop& loop, proxy::Proxy& proxy, net::DescriptorBudget& budget,
             std::vector<std::string> classes, std::vector<std::string> tenants, const Settings& settings,
             std::function<bool()> shed)
    : loop_(loop),
      proxy_(proxy),
      budget_(budget),
      classes_(std::move(classes)),
      tenants_(std::move(tenants)),
      kinds_(settings.classes),
      shed_(std::move(shed)),
      listener_(
          loop, [this] { return MayAccept(); },
          [this](net::ObjectPtr<GSocket> socket) { Accepted(std::move(socket)); }),
      complaints_(loop),
      killed_after_(KilledAfter(settings.classes)),
      sweep_(loop),
      drain_(loop),
      last_(loop) {
  sweep_.After(kSweepEvery, [this] { Sweep(); });
}

Front::~Front() = default;

bool Front::MayAccept() { return budget_.ClientFits() || ShedIdle() || (shed_() && budget_.ClientFits()); }

void Front::Accepted(net::ObjectPtr<GSocket> socket) {
  auto session = std::make_shared<Session>(*this, budget_);
  sessions_.emplace(session.get(), session);
  Place(*session, Session::Shelf::kSilent, loop_.Now());
  session->Begin(std::move(socket), listener_.queued_since());
}

void Front::Place(Session& session, Session::Shelf shelf, TimePoint since) {
  Shelf& to = shelves_[static_cast<std::size_t>(shelf)];
  if (session.shelf_) shelves_[static_cast<std::size_t>(*session.shelf_)].erase(session.place_);
  // Nearly all come last.
  auto place = to.end();
  while (place != to.begin() && (*std::prev(place))->since_ > since) --place;
  session.place_ = to.insert(place, &session);
  session.shelf_ = shelf;
  session.since_ = since;
}

void Front::Closed(Session& session) {
  if (session.shelf_) shelves_[static_cast<std::size_t>(*session.shelf_)].erase(session.place_);
  session.shelf_.reset();
  if (session.process_ != 0) keys_.erase(session.process_);
  sessions_.erase(&session);
  if (leaving_ && sessions_.empty() && done_) std::exchange(done_, nullptr)();
}

bool Front::ShedIdle() {
  const auto& silent = shelves_[static_cast<std::size_t>(Session::Shelf::kSilent)];
  const auto& idle = shelves_[static_cast<std::size_t>(Session::Shelf::kIdle)];
  const auto& going = shelves_[static_cast<std::size_t>(Session::Shelf::kLeaving)];
  const Shelf* from = &going;
  if (from->empty() && !silent.empty() && loop_.Now() - silent.front()->since_ >= kHeardWithin)
    from = &silent;
  // Many that have only just come are soon either served or silent: no reason to give up those that are
  // known.
  if (from->empty() && silent.size() <= idle.size()) from = &idle;
  // One that something has just come on is neither silent nor idle: closed over it, it would be reset.
  std::size_t looks = 0;
  for (Session* session : *from) {
    if (++looks > kLooks) break;
    if (from != &going && !session->Quiet()) continue;
    const auto held = sessions_.at(session);
    held->Close();
    return true;
  }
  return false;
}

std::uint32_t Front::NewKey(Session& session) {
  do {
    ++last_number_;
  } while (last_number_ == 0 || keys_.contains(last_number_));
  keys_[last_number_] = &session;
  return last_number_;
}

void Front::Cancel(std::uint32_t process, std::uint32_t secret, TimePoint came) {
  const auto it = keys_.find(process);
  if (it == keys_.end()) return;
  const auto held = sessions_.at(it->second);
  held->Cancel(secret, came);
}

void Front::CloseAfter(Session::Shelf shelf, Duration time) {
  const Shelf& from = shelves_[static_cast<std::size_t>(shelf)];
  // Each is looked at once: one that goes on stands last from now on.
  for (std::size_t left = from.size(); left > 0 && !from.empty(); --left) {
    if (loop_.Now() - from.front()->since_ < time) return;
    const auto held = sessions_.at(from.front());
    held->Expire();
  }
}

void Front::Sweep() {
  CloseAfter(Session::Shelf::kLeaving, kLeaveWithin);
  if (leaving_) return SweepLeaving();
  CloseAfter(Session::Shelf::kSilent, kSayWithin);
  CloseAfter(Session::Shelf::kUnread, kReadWithin);
  CloseAfter(Session::Shelf::kIdle, budget_.ClientsOver(4)   ? kIdleFull
                                    : budget_.ClientsOver(8) ? kIdleCrowded
                                                             : kIdleMost);
  sweep_.After(kSweepEvery, [this] { Sweep(); });
}

Duration Front::Within(Duration budget) const {
  if (!drain_from_) return budget;
  return std::min(budget, *drain_from_ + killed_after_ - kLastAnswer - loop_.Now());
}

void Front::Drain(std::function<void()> done) {
  if (drain_from_) return;
  done_ = std::move(done);
  drain_from_ = loop_.Now();
  drain_.After(std::max(kServedAtLeast, killed_after_ - kLastRequest), [this] { StopServing(); });
  last_.After(killed_after_ - kLastAnswer, [this] { EndOwed(); });
}

// Nobody new from here on. Whoever has asked is answered, also what a connection brings that was taken in
// last; each is then told the end of the sending, and what crosses that is not sent on.
void Front::StopServing() {
  leaving_ = true;
  listener_.Close();
  SweepLeaving();
  if (sessions_.empty() && done_) std::exchange(done_, nullptr)();
}

void Front::SweepLeaving() {
  CloseAfter(Session::Shelf::kIdle, Duration{0});
  std::vector<std::shared_ptr<Session>> over;
  for (Session* session : shelves_[static_cast<std::size_t>(Session::Shelf::kSilent)]) {
    const Duration time = session->Quiet() ? kSaidWithin : kRestWithin;
    if (loop_.Now() - session->since_ >= time) over.push_back(sessions_.at(session));
  }
  for (const auto& session : over) session->Expire();
  sweep_.After(kSweepLeaving, [this] { Sweep(); });
}

void Front::EndOwed() {
  std::vector<std::shared_ptr<Session>> served;
  for (Session* session : shelves_[static_cast<std::size_t>(Session::Shelf::kServed)]) {
    served.push_back(sessions_.at(session));
  }
  for (const auto& session : served) session->GiveUp();
}

}  // namespace lynxgrade::frontend
