// Real pooler processes as children of the testbed: their files, start and signals.
#pragma once

#include <gio/gio.h>

#include <cstdint>
#include <string>
#include <vector>

#include "net/glib_ptr.h"

namespace lynxgrade::testbed {

// A new folder under the system's temporary folder, removed with its contents by the destructor. The
// constructor throws std::runtime_error if it cannot be created.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }
  std::string Write(const std::string& name, const std::string& text) const;

 private:
  std::string path_;
};

// A TCP or UDP port on loopback that was free at the time of the call. Throws std::runtime_error if there is
// none.
std::uint16_t FreePort(bool udp);

// The platform's configuration file of a pooler that serves the simulated data servers.
std::string MakePlatformConfig(const std::string& name, std::uint16_t port, std::uint16_t discovery_port,
                               const std::string& server_checks);

// One pooler process. The destructor kills it if it still runs.
class PoolerProcess {
 public:
  struct Files {
    std::string program, config, settings, log;  // paths; empty settings: started as the platform starts it
  };
  explicit PoolerProcess(Files files) : files_(std::move(files)) {}
  ~PoolerProcess();

  // Returns an error message, empty on success.
  std::string Start();
  // Sends the signal and waits until the process has exited.
  void Stop(int signal);
  void Signal(int signal);
  bool running() const { return process_ != nullptr; }
  // Process id; 0 if it does not run.
  int pid() const;
  // Whether it exited without having been stopped.
  bool Crashed() const;

 private:
  Files files_;
  net::ObjectPtr<GSubprocess> process_;
};

// The pooler program in the folder of this program.
std::string DefaultPoolerProgram();

}  // namespace lynxgrade::testbed
