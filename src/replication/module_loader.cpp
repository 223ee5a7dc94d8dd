#include <gmodule.h>

#include <filesystem>

#include "replication/replication_service.h"

namespace lynxgrade::replication {
namespace {

constexpr const char* kModuleFile = "lynxgrade_peers.so";
constexpr const char* kFactorySymbol = "lynxgrade_make_peers";
using Factory = ReplicationService* (*)(ReplicationContext*);

}  // namespace

tl::expected<std::unique_ptr<ReplicationService>, StartError> LoadReplicationModule(
    ReplicationContext context) {
  std::error_code ignored;  // the module is then not found
  const auto program = std::filesystem::read_symlink("/proc/self/exe", ignored);
  const std::string path = (program.parent_path() / kModuleFile).string();
  GModule* module = g_module_open(path.c_str(), G_MODULE_BIND_LOCAL);
  gpointer factory = nullptr;
  if (module == nullptr || !g_module_symbol(module, kFactorySymbol, &factory)) {
    return tl::unexpected(StartError{StartErrorCode::kReplicationModule, {}, g_module_error()});
  }
  g_module_make_resident(module);  // its objects may be destroyed as late as program exit
  return std::unique_ptr<ReplicationService>(reinterpret_cast<Factory>(factory)(&context));
}

}  // namespace lynxgrade::replication
