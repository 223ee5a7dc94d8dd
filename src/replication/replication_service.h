// What the pooler asks of the exchange with the other instances. The exchange itself is a module that is
// loaded where the settings ask for it: its libraries cost memory, and most poolers run without.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "consistency/session_consistency_guard.h"
#include "net/loop.h"
#include "replication/traffic.h"
#include "settings/program_settings.h"

namespace lynxgrade::replication {

class ReplicationService {
 public:
  virtual ~ReplicationService() = default;
  // Empty, or what keeps it from starting.
  virtual std::string Start() = 0;
  // Reads the keys again; a file that cannot be used is logged, and the old ones stay.
  virtual void ReloadKeys() = 0;
  virtual void Wrote(GroupId group, consistency::SessionKey key,
                     const consistency::WriteWatermark& watermark) = 0;
  // Calls back when a write of the session may be answered, at some time or never; false: at once. Always so
  // unless sessions are held by one instance at a time.
  virtual bool WhenHeld(GroupId group, consistency::SessionKey key, std::function<void()> call) = 0;
  // A read waits for word from the others.
  virtual void Solicit() = 0;
  // Whether the others count this instance, so that it may answer writes; also when they had time enough to.
  virtual bool Ready() const = 0;
  // Which others there are and which part this instance is with, in JSON; src/admin/admin_client.cpp reads
  // it.
  virtual std::string Describe() const = 0;
  // How many instances are in reach, this one included.
  virtual std::size_t Reached() const = 0;
  // What has been sent and taken since the start.
  virtual const Traffic& traffic() const = 0;
  // Processor time of this thread that went into it: packets taken and sent, membership, the directory. Not
  // the loop's turns, nor what the keeper and the module do with what was learnt.
  virtual Duration spent() const = 0;
  // Tells the others the last marks and that this instance leaves.
  virtual void Leave() = 0;
};

struct ReplicationContext {
  net::Loop& loop;
  const ReplicationSettings& setup;
  const std::string& name;  // of this instance, as in the platform's configuration
  bool recovered = false;   // the keeper knows all that earlier lives of this instance answered
  consistency::SessionConsistencyGuard& consistency_guard;
  std::function<void()> learnt;  // called whenever the keeper may have learnt something
  // For a host of many instances, which plays the network between them: whether datagrams pass between here
  // and that address. Absent: all do.
  std::function<bool(const std::string& address)> passes = {};
  // Membership alone, for a host that measures what it costs by itself; then nobody is ever covered.
  bool members_only = false;
};

// Loads the module, which stands beside the program, and makes its one service; or why it cannot be had.
std::variant<std::unique_ptr<ReplicationService>, std::string> LoadReplicationModule(
    ReplicationContext parts);

}  // namespace lynxgrade::replication
