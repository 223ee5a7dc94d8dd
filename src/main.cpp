// The command line of the program.
#include <malloc.h>
#include <spdlog/cfg/env.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <string>

#include "admin/admin_client.h"
#include "admin/peers_table.h"
#include "pooler.h"
#include "settings/program_settings.h"

namespace lynxgrade {
namespace {

constexpr int kExitFailure = 1;
// Larger blocks are returned to the system as soon as they are freed.
constexpr int kMinMappedBlockBytes = 32 * 1024;
constexpr int kExitUsage = 2;  // the command line or a file that it names cannot be used

int ReportError(int exit_code, const std::string& sentence) {
  std::fprintf(stderr, "lynxgrade: %s\n", sentence.c_str());
  return exit_code;
}

// Blocks the signals that the pooler handles, until Release is called.
class BlockedSignals {
 public:
  BlockedSignals() {
    sigemptyset(&set_);
    for (const int signal : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&set_, signal);
    pthread_sigmask(SIG_BLOCK, &set_, nullptr);
  }
  void Release() const { pthread_sigmask(SIG_UNBLOCK, &set_, nullptr); }

 private:
  sigset_t set_{};
};

// SPDLOG_LEVEL of the environment sets the level: "debug" adds a line for each query and response.
void ConfigureLogging() {
  spdlog::set_default_logger(spdlog::stdout_logger_st("pooler"));
  spdlog::set_pattern("%Y-%m-%d %H:%M:%S.%e %L %v");
  spdlog::flush_on(spdlog::level::info);
  spdlog::cfg::load_env_levels();
}

// Without a settings file all optional features are off.
int Serve(const std::string& settings_file) {
  mallopt(M_MMAP_THRESHOLD, kMinMappedBlockBytes);
  std::signal(SIGPIPE, SIG_IGN);
  // Signals that arrive before the pooler has installed its handlers stay pending. Otherwise a SIGHUP would
  // terminate the program or, if it were ignored, leave it with an outdated configuration.
  const BlockedSignals blocked;
  ConfigureLogging();
  const auto config = LoadPlatformConfig();
  if (!config) return ReportError(kExitUsage, Describe(config.error()));
  ProgramSettings settings;
  if (!settings_file.empty()) {
    auto loaded = LoadProgramSettings(settings_file);
    if (!loaded) return ReportError(kExitUsage, Describe(loaded.error()));
    settings = std::move(*loaded);
  }
  Pooler pooler(*config, settings);
  if (const auto started = pooler.Start(); !started) {
    return ReportError(kExitFailure, Describe(started.error()));
  }
  blocked.Release();
  spdlog::info("started");
  pooler.Run();
  return 0;
}

int CheckSettings(const std::string& file) {
  if (const auto settings = LoadProgramSettings(file); !settings) {
    return ReportError(kExitUsage, Describe(settings.error()));
  }
  std::printf("%s: sound\n", file.c_str());
  return 0;
}

enum class OutputFormat { kTable, kJson };

// Queries the pooler that was started with these settings.
int ShowPeers(const std::string& settings_file, OutputFormat format) {
  const auto settings = LoadProgramSettings(settings_file);
  if (!settings) return ReportError(kExitUsage, Describe(settings.error()));
  if (!settings->admin_address) {
    return ReportError(kExitUsage, "settings " + settings_file +
                                       ": 'control.listen' is not set, so the pooler has no admin address");
  }
  auto response = admin::SendQuery(*settings->admin_address, "peers");
  if (response && format == OutputFormat::kTable) response = admin::FormatPeersTable(*response);
  if (!response) return ReportError(kExitFailure, Describe(response.error()));
  std::fputs(response->c_str(), stdout);
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app("Pooler for the PostgreSQL protocol: one address for groups of primaries and their replicas.",
               "lynxgrade");
  std::string settings_file;
  std::string checked_file;
  CLI::App* serve = app.add_subcommand(
      "serve",
      "run the pooler (the default command); RELAY_CONFIG is the path of the platform configuration");
  serve->add_option("--settings", settings_file, "settings file of the pooler, in TOML");
  CLI::App* check =
      app.add_subcommand("check-settings", "validate a settings file without starting the pooler");
  check->add_option("file", checked_file, "settings file to validate")->required();
  CLI::App* peers =
      app.add_subcommand("peers", "show the membership and replication state of a running pooler");
  std::string queried_file;
  bool json = false;
  peers->add_option("--settings", queried_file, "settings file with which the pooler was started")
      ->required();
  peers->add_flag("--json", json, "print the response as JSON");
  app.require_subcommand(0, 1);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitUsage;
  }
  if (peers->parsed()) return ShowPeers(queried_file, json ? OutputFormat::kJson : OutputFormat::kTable);
  return check->parsed() ? CheckSettings(checked_file) : Serve(settings_file);
}

}  // namespace
}  // namespace lynxgrade

int main(int argc, char** argv) {
  try {
    return lynxgrade::Main(argc, argv);
  } catch (const std::exception& error) {
    return lynxgrade::ReportError(lynxgrade::kExitFailure, error.what());
  }
}
