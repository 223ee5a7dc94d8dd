// Connections to data servers: attempts and probes on them, and what comes back in the module's terms.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/connection.h"
#include "net/descriptor_budget.h"
#include "net/log_limit.h"
#include "net/loop.h"
#include "proxy/ports.h"

namespace lynxgrade::upstream {

struct PoolSettings {
  Duration connect_timeout{250000};
  Duration idle{15000000};  // data servers close a connection that has been idle for so long
  std::string user = "worker";
  std::string database = "catalog";
};

class Backend;
struct Server;

// One thing to be done on a connection: an attempt or a probe. It ends exactly once.
struct Job {
  Job(net::Loop& loop, ServerId to) : server(to), limit(loop), connect(loop) {}

  ServerId server;
  RequestId request{};
  AttemptNumber attempt = 0;
  std::shared_ptr<const proxy::Work> work;  // null: a probe
  TimePoint since{};                        // when a connection was first wanted
  std::optional<TimePoint> written{};       // when it got its connection
  TimePoint until{};                        // when nobody waits for it any more
  TimePoint write_by = TimePoint::max();    // its last byte goes out before, or not at all
  net::Timer limit;                         // when the pooler stops waiting
  net::Timer connect;                       // when a connection must have been had, and all be written
  Backend* backend = nullptr;
  bool probe() const { return work == nullptr; }
};

class Pool final : public proxy::Backends {
 public:
  // `make_room` gives back a descriptor held by an idle client, if there is one.
  Pool(net::Loop& loop, PoolSettings settings, net::DescriptorBudget& budget,
       std::function<bool()> make_room);
  ~Pool();

  void SetEvents(proxy::BackendEvents& events) { events_ = &events; }
  void SetAddress(ServerId server, const net::Address& address);
  // The list names it no more: it is dropped once the last of its connections has ended.
  void Forget(ServerId server);
  std::size_t servers() const { return servers_.size(); }
  // Gives back the connection that has been idle longest; false if none is idle.
  bool ShedIdle();
  void CloseAllIdle();

  void Send(RequestId request, AttemptNumber attempt, ServerId server,
            std::shared_ptr<const proxy::Work> work, proxy::SendTimes times) override;
  void Cancel(RequestId request, AttemptNumber attempt) override;
  void Drop(RequestId request) override;
  void Probe(ServerId server) override;
  void CloseIdle(ServerId server) override;

  std::size_t idle() const;

 private:
  friend class Backend;
  using JobKey = std::pair<RequestId, AttemptNumber>;

  Server* Find(ServerId server);
  void Start(std::shared_ptr<Job> job);
  // Its last byte has not gone out in time: it must not go out any more.
  void WrittenLate(const std::shared_ptr<Job>& job);
  void Dispatch(Server& server);
  bool OpenFor(Server& server);
  void Remove(Backend& backend);
  void EndJob(const std::shared_ptr<Job>& job, Outcome outcome, ResponseMetadata metadata = {},
              std::optional<LoadReport> report = {}, std::optional<proxy::Answer> answer = {},
              bool unusable = false);
  void GiveUp(const std::shared_ptr<Job>& job, Outcome if_written);
  // Whether it has been idle for so long that its server may be about to close it.
  bool Old(const Backend& backend) const;
  void Retire();
  void Complain(const Server& server, std::string_view what);

  net::Loop& loop_;
  PoolSettings settings_;
  net::DescriptorBudget& budget_;
  std::function<bool()> make_room_;
  proxy::BackendEvents* events_ = nullptr;
  std::map<ServerId, std::unique_ptr<Server>> servers_;
  std::map<JobKey, std::shared_ptr<Job>> attempts_;
  std::map<ServerId, std::shared_ptr<Job>> probes_;
  net::LogLimit complaints_;
  net::Timer retire_;
};

}  // namespace lynxgrade::upstream
