// All client sessions of the PostgreSQL front.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "front/session.h"
#include "net/budget.h"
#include "net/listener.h"
#include "net/loop.h"
#include "proxy/proxy.h"

namespace lynxgrade::front {

class Front {
 public:
  // `shed` gives back a descriptor held by an idle backend, if there is one.
  Front(net::Loop& loop, proxy::Proxy& proxy, net::DescriptorBudget& budget, std::vector<std::string> classes,
        std::vector<std::string> tenants, const Settings& settings, std::function<bool()> shed);
  ~Front();

  std::string Listen(const net::Address& address) { return listener_.Open(address); }
  std::uint16_t port() const { return listener_.port(); }
  void SetReady() { ready_ = true; }
  bool ready() const { return ready_; }
  // Goes on serving while connections still come, then closes clients between requests; `done` is called
  // once none is left.
  void Drain(std::function<void()> done);
  // Closes the client that has been idle longest; false if none is idle.
  bool ShedIdle();
  std::size_t sessions() const { return sessions_.size(); }

 private:
  friend class Session;

  bool MayAccept();
  void Accepted(net::ObjectPtr<GSocket> socket);
  void Sweep();
  void StopListening();
  void Closed(Session& session);
  bool leaving() const { return leaving_; }

  net::Loop& loop_;
  proxy::Proxy& proxy_;
  net::DescriptorBudget& budget_;
  std::vector<std::string> classes_;
  std::vector<std::string> tenants_;
  std::vector<RequestClass> kinds_;
  std::function<bool()> shed_;
  net::Listener listener_;
  std::unordered_map<Session*, std::shared_ptr<Session>> sessions_;
  net::Timer sweep_;
  net::Timer drain_;
  std::function<void()> done_;
  Time accepted_at_{};
  Time drain_from_{};
  std::uint32_t last_number_ = 0;
  bool ready_ = false;
  bool leaving_ = false;
};

}  // namespace lynxgrade::front
