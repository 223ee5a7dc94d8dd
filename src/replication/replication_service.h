// What the pooler asks of replication among the instances. The implementation is a module that is loaded
// where the settings ask for it: its libraries cost memory, and most poolers run without.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "consistency/session_consistency_guard.h"
#include "net/loop.h"
#include "replication/traffic.h"
#include "settings/program_settings.h"
#include "start_error.h"

namespace lynxgrade::replication {

// All calls come from the thread of the event loop.
class ReplicationService {
 public:
  virtual ~ReplicationService() = default;
  // Reads the keys, opens the socket and joins the peers. To be called once, before all other calls.
  virtual tl::expected<void, StartError> Start() = 0;
  // Reads the keys again; a file that cannot be used is logged, and the old keys stay.
  virtual void ReloadKeys() = 0;
  // A write that this instance is about to answer.
  virtual void RecordWrite(GroupId group, consistency::SessionKey key,
                           const consistency::WriteWatermark& watermark) = 0;
  // Calls `call` when a write of the session may be answered, at some time or never. False: it may be
  // answered now, and `call` is dropped; always so without session leases.
  virtual bool CallWhenMayAnswer(GroupId group, consistency::SessionKey key, std::function<void()> call) = 0;
  // A read waits for the watermarks of the peers: polls them, now or as soon as the next poll may be sent.
  virtual void PollPeers() = 0;
  // Whether the peers count this instance, so that it may answer writes; also once they had time enough to.
  virtual bool Ready() const = 0;
  // The peers and the quorum that this instance belongs to, as one JSON object; src/admin/admin_client.cpp
  // reads it.
  virtual std::string Describe() const = 0;
  // How many instances are reachable, this one included.
  virtual std::size_t ReachableInstances() const = 0;
  // What has been sent and received since the start.
  virtual const Traffic& traffic() const = 0;
  // Processor time of this thread that went into packets, membership and leases. Without the event loop, and
  // without what the consistency guard and the decision module do with what was learned.
  virtual Duration processor_time() const = 0;
  // Sends the last watermarks and announces that this instance leaves.
  virtual void Leave() = 0;
};

// What a service is made of. The references must outlive it.
struct ReplicationContext {
  net::Loop& loop;
  const ReplicationSettings& settings;
  const std::string& name;  // of this instance, as in the platform's configuration
  bool recovered = false;   // the guard knows all writes that earlier incarnations of this instance answered
  consistency::SessionConsistencyGuard& consistency_guard;
  std::function<void()> on_learned;  // called whenever the guard may have learned something
  // For a host of many instances that simulates the network between them: whether datagrams pass between here
  // and that address. Absent: all do.
  std::function<bool(const std::string& address)> passes = {};
  // For a host that measures membership alone; then no peer is ever replicated through any time.
  bool membership_only = false;
};

// Loads the module, which stands beside the program, and creates its service; kReplicationModule.
tl::expected<std::unique_ptr<ReplicationService>, StartError> LoadReplicationModule(
    ReplicationContext context);

}  // namespace lynxgrade::replication
