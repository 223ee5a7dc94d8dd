// The pooler: an instance between the sockets of clients and of data servers, until it is told to stop. Owns
// both sides, what operators may ask, and the signals.
#pragma once

#include <memory>
#include <string>
#include <variant>

#include "admin/admin_server.h"
#include "frontend/frontend.h"
#include "instance.h"
#include "net/descriptor_budget.h"
#include "net/loop.h"
#include "settings/platform_config.h"
#include "settings/program_settings.h"
#include "upstream/connection_pool.h"

namespace lynxgrade {

// The platform's configuration from the file that RELAY_CONFIG names, or why it cannot be used.
std::variant<PlatformConfig, std::string> LoadPlatformConfig();

class Pooler {
 public:
  Pooler(const PlatformConfig& config, const ProgramSettings& setup);

  // Empty, or what keeps it from starting.
  std::string Start();
  void Run();

 private:
  static std::size_t Descriptors(const PlatformConfig& config);
  static gboolean Stop(gpointer self);
  static gboolean Reload(gpointer self);
  void ReadyIfListed();
  void ReadyUnlisted();
  void Report();
  // What operators may ask, where the settings name an address. Empty, or what keeps it from starting.
  std::string StartControl();

  const PlatformConfig& config_;
  const ProgramSettings& setup_;
  net::Loop loop_;
  net::DescriptorBudget budget_;
  upstream::Pool pool_;
  Instance instance_;
  frontend::Front front_;
  std::unique_ptr<admin::AdminServer> control_;
  net::Timer report_;
  net::Timer list_late_;
  net::SourcePtr term_;
  net::SourcePtr interrupt_;
  net::SourcePtr hangup_;
};

}  // namespace lynxgrade
