#include "pooler_process.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace lynxgrade::testbed {

Folder::Folder() {
  std::string name = (std::filesystem::temp_directory_path() / "lynxgrade-testbed-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no temporary folder to be had");
  path_ = name;
}

Folder::~Folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::string Folder::Write(const std::string& name, const std::string& text) const {
  const std::string path = path_ + "/" + name;
  std::ofstream(path, std::ios::binary) << text;
  return path;
}

std::uint16_t FreePort(bool udp) {
  const int fd = socket(AF_INET, (udp ? SOCK_DGRAM : SOCK_STREAM) | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  const bool bound = fd >= 0 && bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                     getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  if (fd >= 0) close(fd);
  if (!bound) throw std::runtime_error("no free port to be had");
  return ntohs(address.sin_port);
}

std::string ConfigFor(const std::string& name, std::uint16_t port, std::uint16_t discovery,
                      const std::string& server_checks) {
  using Json = nlohmann::json;
  const auto cls = [](const char* of, const char* effect, int aim_ms, int deadline_ms, double worth) {
    return Json{{"name", of},
                {"effect", effect},
                {"objective_us", aim_ms * 1000},
                {"deadline_us", deadline_ms * 1000},
                {"key_scope", "cell"},
                {"repeat_window_us", 3000000},
                {"worth", worth},
                {"late_value", 0.2}};
  };
  const Json settings = {
      {"classes",
       {cls("lobby-read", "idempotent", 300, 1200, 3), cls("own-read", "idempotent", 300, 1200, 1),
        cls("history-read", "idempotent", 400, 1000, 1), cls("match-write", "deduplicated", 500, 5000, 6)}},
      {"customers", {{{"name", "cho-moi"}, {"share", 1.0}, {"quota_per_s", 1000}}}},
      {"zones", {"a"}},
      {"zone", 0},
      {"me", 0},
      {"peers_total", 2},
      {"discovery", "push"},
      {"load_report", {{"how", "on_probe"}, {"columns", {"x0", "x1"}}}},
      {"limits",
       {{"may_probe", true},
        {"may_cancel", true},
        {"may_duplicate", true},
        {"retry_after", true},
        {"max_retry_after_us", 500000},
        {"max_attempts", 8},
        {"connect_timeout_us", 250000}}},
      {"rules",
       {{"drain_grace_us", 2000000},
        {"start_capacity", 0.15},
        {"cold_us", 18000000},
        {"overload_factor", 3},
        {"fall_us", 3000000}}},
      {"tariffs", {{"probe", 0.038}}},
      {"extra",
       {{"class_read", {"lag_bound", "causal", "eventual", "mutate"}},
        {"oldest_data_us", {200000, 0, 0, 0}},
        {"server_checks", server_checks},
        {"session_marks", "kept"},
        {"tells_position", true},
        {"patience_us", 20000},
        {"list_role", "off"}}}};
  return Json{{"name", name},
              {"listen", "127.0.0.1:" + std::to_string(port)},
              {"discovery", "127.0.0.1:" + std::to_string(discovery)},
              {"seed", "8c1f30d27a5be964"},
              {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
              {"settings", settings}}
      .dump(2);
}

PoolerProcess::~PoolerProcess() {
  if (running()) End(SIGKILL);
}

std::string PoolerProcess::Start() {
  const net::ObjectPtr<GSubprocessLauncher> launcher(
      g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE));
  g_subprocess_launcher_setenv(launcher.get(), "RELAY_CONFIG", files_.config.c_str(), TRUE);
  g_subprocess_launcher_set_stdout_file_path(launcher.get(), files_.log.c_str());
  std::vector<const char*> words = {files_.program.c_str()};
  if (!files_.settings.empty()) {
    for (const char* word : {"serve", "--settings", files_.settings.c_str()}) words.push_back(word);
  }
  words.push_back(nullptr);
  net::ErrorSlot error;
  process_.reset(g_subprocess_launcher_spawnv(launcher.get(), words.data(), error.out()));
  return process_ == nullptr ? error.message() : std::string();
}

void PoolerProcess::Signal(int signal) {
  if (running()) g_subprocess_send_signal(process_.get(), signal);
}

void PoolerProcess::End(int signal) {
  if (!running()) return;
  g_subprocess_send_signal(process_.get(), signal);
  g_subprocess_wait(process_.get(), nullptr, nullptr);
  process_.reset();
}

int PoolerProcess::number() const {
  const char* text = running() ? g_subprocess_get_identifier(process_.get()) : nullptr;
  return text == nullptr ? 0 : std::atoi(text);
}

bool PoolerProcess::Crashed() const {
  return running() && g_subprocess_get_identifier(process_.get()) == nullptr;
}

std::string DefaultPooler() {
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "lynxgrade").string();
}

}  // namespace lynxgrade::testbed
