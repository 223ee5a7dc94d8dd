// The pooler: joins the parts and runs until it is told to stop. Owns every part, and the signals.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config.h"
#include "control/server.h"
#include "discovery/watch.h"
#include "front/front.h"
#include "net/budget.h"
#include "net/loop.h"
#include "peers/service.h"
#include "proxy/proxy.h"
#include "setup.h"
#include "state/store.h"
#include "upstream/pool.h"

namespace lynxgrade {

// The platform's configuration from the file that RELAY_CONFIG names, or why it cannot be used.
std::variant<Config, std::string> LoadConfig();

class Pooler {
 public:
  Pooler(const Config& config, const Setup& setup);

  // Empty, or what keeps it from starting.
  std::string Start();
  void Run();

 private:
  static std::size_t Descriptors(const Config& config);
  static gboolean Stop(gpointer self);
  static gboolean Reload(gpointer self);
  std::vector<ListEntry> Entries(const discovery::RosterChange& change);
  void Changed(const discovery::RosterChange& change);
  void ReadyIfListed();
  void ReadyUnlisted();
  void Report();
  // The durable state and the exchange, where the settings ask for them. Empty, or what keeps it from
  // starting.
  std::string StartSessions();
  // What operators may ask, where the settings name an address. Likewise.
  std::string StartControl();

  const Config& config_;
  const Setup& setup_;
  net::Loop loop_;
  net::DescriptorBudget budget_;
  discovery::RosterReader reader_;
  upstream::Pool pool_;
  proxy::Proxy proxy_;
  front::Front front_;
  std::unique_ptr<state::Store> store_;
  std::unique_ptr<peers::Service> peers_;
  std::unique_ptr<control::Server> control_;
  std::optional<discovery::Watch> watch_;
  net::Timer report_;
  net::Timer list_late_;
  net::SourcePtr term_;
  net::SourcePtr interrupt_;
  net::SourcePtr hangup_;
  bool listed_ = false;
};

}  // namespace lynxgrade
