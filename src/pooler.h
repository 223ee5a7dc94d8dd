// The pooler: an instance between the sockets of clients and of data servers. Owns both sides, the admin
// server and the handling of signals.
#pragma once

#include <memory>
#include <tl/expected.hpp>

#include "admin/admin_server.h"
#include "frontend/frontend.h"
#include "instance.h"
#include "net/descriptor_budget.h"
#include "net/loop.h"
#include "settings/platform_config.h"
#include "settings/program_settings.h"
#include "start_error.h"
#include "upstream/connection_pool.h"

namespace lynxgrade {

class Pooler {
 public:
  // Both must outlive it.
  Pooler(const PlatformConfig& config, const ProgramSettings& settings);

  // Starts the instance, listens and takes over SIGTERM, SIGINT and SIGHUP.
  tl::expected<void, StartError> Start();
  // Serves until a graceful shutdown has ended.
  void Run();

 private:
  static std::size_t DescriptorLimit(const PlatformConfig& config);
  static gboolean HandleStopSignal(gpointer self);
  static gboolean HandleReloadSignal(gpointer self);
  tl::expected<void, StartError> StartAdminServer();
  void WatchSignals();
  void BeginGracefulShutdown();
  void ReloadConfig();
  // Accepts requests as soon as servers are listed, or without a list after a while.
  void BecomeReadyIfListed();
  void BecomeReadyUnlisted();
  void BecomeReady();
  void LogReport();

  const PlatformConfig& config_;
  const ProgramSettings& settings_;
  net::Loop loop_;
  net::DescriptorBudget budget_;
  upstream::ConnectionPool pool_;
  Instance instance_;
  frontend::Frontend frontend_;
  std::unique_ptr<admin::AdminServer> admin_server_;  // null if the settings name no address
  net::Timer report_timer_;
  net::Timer ready_timer_;
  net::SourcePtr terminate_signal_;
  net::SourcePtr interrupt_signal_;
  net::SourcePtr reload_signal_;
};

}  // namespace lynxgrade
