// The command line: what may be asked of the program, and how it starts.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <string>
#include <variant>

#include "admin/admin_client.h"
#include "admin/peers_table.h"
#include "pooler.h"
#include "settings/program_settings.h"

namespace lynxgrade {
namespace {

int Complain(int code, const std::string& what) {
  std::fprintf(stderr, "lynxgrade: %s\n", what.c_str());
  return code;
}

// Holds back the signals that the program handles.
class HeldSignals {
 public:
  HeldSignals() {
    sigemptyset(&set_);
    for (const int signal : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&set_, signal);
    pthread_sigmask(SIG_BLOCK, &set_, nullptr);
  }
  void Release() const { pthread_sigmask(SIG_UNBLOCK, &set_, nullptr); }

 private:
  sigset_t set_;
};

// Without a file of settings all that the platform does not give stays off.
int Serve(const std::string& settings_file) {
  std::signal(SIGPIPE, SIG_IGN);
  // Signals that come before their sources stand wait: a SIGHUP would end the program, or, ignored, leave it
  // with a configuration that has been read already.
  const HeldSignals held;
  spdlog::set_default_logger(spdlog::stdout_logger_st("pooler"));
  spdlog::set_pattern("%Y-%m-%d %H:%M:%S.%e %L %v");
  spdlog::flush_on(spdlog::level::info);
  const auto config = LoadPlatformConfig();
  if (const auto* wrong = std::get_if<std::string>(&config)) return Complain(2, *wrong);
  std::variant<ProgramSettings, std::string> setup;
  if (!settings_file.empty()) setup = LoadProgramSettings(settings_file);
  if (const auto* wrong = std::get_if<std::string>(&setup)) return Complain(2, *wrong);
  Pooler pooler(std::get<PlatformConfig>(config), std::get<ProgramSettings>(setup));
  const std::string fault = pooler.Start();
  if (!fault.empty()) return Complain(1, fault);
  held.Release();
  spdlog::info("started");
  pooler.Run();
  return 0;
}

int CheckSettings(const std::string& file) {
  const auto setup = LoadProgramSettings(file);
  if (const auto* wrong = std::get_if<std::string>(&setup)) return Complain(2, *wrong);
  std::printf("%s: sound\n", file.c_str());
  return 0;
}

// Asks the pooler that runs by these settings.
int Peers(const std::string& settings_file, bool json) {
  const auto setup = LoadProgramSettings(settings_file);
  if (const auto* wrong = std::get_if<std::string>(&setup)) return Complain(2, *wrong);
  const auto& at = std::get<ProgramSettings>(setup).control;
  if (!at)
    return Complain(2, "the settings " + settings_file + ": 'control.listen' names no address to ask at");
  auto response = admin::Query(*at, "peers");
  if (response && !json) response = admin::FormatPeersTable(*response);
  if (!response) return Complain(1, Describe(response.error()));
  std::fputs(response->c_str(), stdout);
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app("A PostgreSQL-protocol pooler: one address for groups of primaries and replicas.",
               "lynxgrade");
  std::string settings_file, checked_file;
  CLI::App* serve =
      app.add_subcommand("serve", "serve, as without any command; RELAY_CONFIG names the platform's file");
  serve->add_option("--settings", settings_file, "the program's own settings, in TOML");
  CLI::App* check =
      app.add_subcommand("check-settings", "say whether a file of settings could be started with");
  check->add_option("file", checked_file, "the file")->required();
  CLI::App* peers = app.add_subcommand("peers", "ask a running pooler for the others and for its part");
  std::string asked_file;
  bool json = false;
  peers->add_option("--settings", asked_file, "the settings that it was started with")->required();
  peers->add_flag("--json", json, "the answer as it came");
  app.require_subcommand(0, 1);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  if (peers->parsed()) return Peers(asked_file, json);
  return check->parsed() ? CheckSettings(checked_file) : Serve(settings_file);
}

}  // namespace
}  // namespace lynxgrade

int main(int argc, char** argv) {
  try {
    return lynxgrade::Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "lynxgrade: %s\n", error.what());
    return 1;
  }
}
