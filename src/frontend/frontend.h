// All client sessions of the PostgreSQL front.
#pragma once

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "frontend/client_session.h"
#include "net/descriptor_budget.h"
#include "net/listener.h"
#include "net/log_limit.h"
#include "net/loop.h"
#include "proxy/proxy.h"

namespace lynxgrade::frontend {

class Front {
 public:
  // `shed` gives back a descriptor held by an idle backend, if there is one.
  Front(net::Loop& loop, proxy::Proxy& proxy, net::DescriptorBudget& budget, std::vector<std::string> classes,
        std::vector<std::string> tenants, const Settings& settings, std::function<bool()> shed);
  ~Front();

  tl::expected<void, net::ListenError> Listen(const net::Address& address) { return listener_.Open(address); }
  std::uint16_t port() const { return listener_.port(); }
  void SetReady() { ready_ = true; }
  bool ready() const { return ready_; }
  // Goes on serving for a while, then closes clients between requests; `done` is called once none is left.
  void Drain(std::function<void()> done);
  // Closes the client that is worth least: one on its way out, else the one that has been silent longest,
  // else the one that has been idle longest. False if all are being served.
  bool ShedIdle();
  std::size_t sessions() const { return sessions_.size(); }

 private:
  friend class Session;
  using Shelf = std::list<Session*>;

  bool MayAccept();
  void Accepted(net::ObjectPtr<GSocket> socket);
  // Puts a session on the shelf for its state, where it has stood since then.
  void Place(Session& session, Session::Shelf shelf, TimePoint since);
  void Sweep();
  // Closes those on a shelf that have stood there for so long.
  void CloseAfter(Session::Shelf shelf, Duration time);
  void StopServing();
  void SweepLeaving();
  // Ends what is still being answered: the program may be killed soon.
  void EndOwed();
  void Closed(Session& session);
  // A key for CancelRequest that no other open connection has.
  std::uint32_t NewKey(Session& session);
  void Cancel(std::uint32_t process, std::uint32_t secret, TimePoint came);
  bool leaving() const { return leaving_; }
  // The time that a request may take: less than its client gives it, where this program ends before.
  Duration Within(Duration budget) const;

  net::Loop& loop_;
  proxy::Proxy& proxy_;
  net::DescriptorBudget& budget_;
  std::vector<std::string> classes_;
  std::vector<std::string> tenants_;
  std::vector<RequestClass> kinds_;
  std::function<bool()> shed_;
  net::Listener listener_;
  std::unordered_map<Session*, std::shared_ptr<Session>> sessions_;
  // In each, who has been there longest stands first.
  std::array<Shelf, Session::kShelves> shelves_;
  std::unordered_set<std::string> open_ids_;  // of the requests being answered
  std::unordered_map<std::uint32_t, Session*> keys_;
  net::LogLimit complaints_;
  Duration killed_after_;  // SIGTERM, at the earliest
  net::Timer sweep_;
  net::Timer drain_;
  net::Timer last_;
  std::function<void()> done_;
  std::optional<TimePoint> drain_from_;
  std::uint32_t last_number_ = 0;
  bool ready_ = false;
  bool leaving_ = false;
};

}  // namespace lynxgrade::frontend
