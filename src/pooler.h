// The pooler: an instance between the sockets of clients and of data servers, until it is told to stop. Owns
// both sides, what operators may ask, and the signals.
#pragma once

#include <memory>
#include <string>
#include <variant>

#include "config.h"
#include "control/server.h"
#include "front/front.h"
#include "instance.h"
#include "net/budget.h"
#include "net/loop.h"
#include "setup.h"
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
  void ReadyIfListed();
  void ReadyUnlisted();
  void Report();
  // What operators may ask, where the settings name an address. Empty, or what keeps it from starting.
  std::string StartControl();

  const Config& config_;
  const Setup& setup_;
  net::Loop loop_;
  net::DescriptorBudget budget_;
  upstream::Pool pool_;
  Instance instance_;
  front::Front front_;
  std::unique_ptr<control::Server> control_;
  net::Timer report_;
  net::Timer list_late_;
  net::SourcePtr term_;
  net::SourcePtr interrupt_;
  net::SourcePtr hangup_;
};

}  // namespace lynxgrade
