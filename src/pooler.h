// The pooler process: an instance, connected to the sockets of the clients and of the data servers. Owns both
// sides and the admin server, and handles signals.
#pragma once

#include <memory>
#include <tl/expected.hpp>

#include "admin/admin_server.h"
#include "frontend/frontend.h"
#include "instance.h"
#include "limits/memory_budget.h"
#include "net/descriptor_budget.h"
#include "net/loop.h"
#include "settings/platform_config.h"
#include "settings/program_settings.h"
#include "start_error.h"
#include "upstream/connection_pool.h"

namespace lynxgrade {

// Runs on the main thread.
class Pooler {
 public:
  // Both references must outlive the pooler.
  Pooler(const PlatformConfig& config, const ProgramSettings& settings);

  // Starts the instance, listens for clients and installs the handlers of SIGTERM, SIGINT and SIGHUP.
  tl::expected<void, StartError> Start();
  // Serves until a graceful shutdown is complete.
  void Run();

 private:
  static std::size_t DescriptorLimit(const PlatformConfig& config);
  static std::size_t BufferMemoryLimit(const PlatformConfig& config);
  static gboolean HandleStopSignal(gpointer self);
  static gboolean HandleReloadSignal(gpointer self);
  tl::expected<void, StartError> StartAdminServer();
  void WatchSignals();
  void BeginGracefulShutdown();
  void ReloadConfig();
  // Reports readiness as soon as data servers are listed.
  void BecomeReadyIfListed();
  // Reports readiness without any endpoint list, kReadyWithoutListAfter after the start.
  void BecomeReadyUnlisted();
  void BecomeReady();
  void LogReport();
  void LogClientReport() const;

  const PlatformConfig& config_;
  const ProgramSettings& settings_;
  net::Loop loop_;
  net::DescriptorBudget budget_;
  limits::MemoryBudget memory_;
  upstream::ConnectionPool pool_;
  Instance instance_;
  frontend::Frontend frontend_;
  std::unique_ptr<admin::AdminServer> admin_server_;  // null if the settings contain no admin address
  net::Timer report_timer_;
  net::Timer ready_timer_;
  net::SourcePtr terminate_signal_;
  net::SourcePtr interrupt_signal_;
  net::SourcePtr reload_signal_;
};

}  // namespace lynxgrade
