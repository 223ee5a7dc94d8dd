#include <gmodule.h>

#include <filesystem>

#include "replication/replication_service.h"

namespace lynxgrade::replication {
namespace {

constexpr const char* kModule = "lynxgrade_peers.so";
constexpr const char* kMaker = "lynxgrade_make_peers";

}  // namespace

std::variant<std::unique_ptr<ReplicationService>, std::string> LoadReplicationModule(
    ReplicationContext parts) {
  std::error_code unread;
  const auto program = std::filesystem::read_symlink("/proc/self/exe", unread);
  const std::string path = (program.parent_path() / kModule).string();
  GModule* module = g_module_open(path.c_str(), G_MODULE_BIND_LOCAL);
  gpointer maker = nullptr;
  if (module == nullptr || !g_module_symbol(module, kMaker, &maker)) {
    return std::string("the peers' module cannot be loaded: ") + g_module_error();
  }
  g_module_make_resident(module);  // what it made may be destroyed at the very end
  return std::unique_ptr<ReplicationService>(
      reinterpret_cast<ReplicationService* (*)(ReplicationContext*)>(maker)(&parts));
}

}  // namespace lynxgrade::replication
