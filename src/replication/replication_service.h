// The interface of the pooler to replication between instances. The implementation is a module that is loaded
// only if the settings enable replication, because its libraries use memory and most poolers run without it.
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

// All methods must be called from the thread of the event loop.
class ReplicationService {
 public:
  virtual ~ReplicationService() = default;
  // Reads the key file, opens the socket and joins the peers. Call once, before all other methods.
  virtual tl::expected<void, StartError> Start() = 0;
  // Reads the key file again. If that fails, logs the error and keeps the current keys.
  virtual void ReloadKeys() = 0;
  // Records a write that this instance is about to answer, for replication.
  virtual void RecordWrite(GroupId group, consistency::SessionKey key,
                           const consistency::WriteWatermark& watermark) = 0;
  // Calls `call` later, once a write of the session may be answered; drops it if that does not happen in
  // time. Returns false, without calling `call`, if the write may be answered now, which is always so without
  // session leases.
  virtual bool CallWhenWriteMayBeAnswered(GroupId group, consistency::SessionKey key,
                                          std::function<void()> call) = 0;
  // Polls the peers for their watermarks because a read waits for them, now or as soon as the next poll is
  // allowed.
  virtual void PollPeers() = 0;
  // Whether this instance may answer writes: the peers track its writes, or the time that they have for that
  // is over.
  virtual bool IsReady() const = 0;
  // The peers and the quorum of this instance, as one JSON object; src/admin/admin_client.cpp reads it.
  virtual std::string StatusJson() const = 0;
  // The number of reachable instances, including this one.
  virtual std::size_t ReachableInstanceCount() const = 0;
  // Packets and bytes sent and received since the start.
  virtual const Traffic& traffic() const = 0;
  // Processor time that this thread has spent on packets, membership and leases. Excludes the event loop, and
  // the work of the consistency guard and the decision module on what was learned.
  virtual Duration processor_time() const = 0;
  // Sends the last watermarks and announces that this instance leaves the fleet.
  virtual void Leave() = 0;
};

// The parameters of a service. The references must outlive it.
struct ReplicationContext {
  net::Loop& loop;
  const ReplicationSettings& settings;
  const std::string& name;  // instance name if the settings specify none
  bool recovered = false;   // the guard has recovered all writes that earlier incarnations answered
  consistency::SessionConsistencyGuard& consistency_guard;
  std::function<void()> on_learned;  // called whenever the guard may have learned something
  // For a host of many instances that simulates the network between them: whether datagrams are delivered
  // between this instance and the address. Absent: all are delivered.
  std::function<bool(const std::string& address)> delivers_datagrams = {};
  // For a host that measures membership alone: no peer's writes ever count as replicated.
  bool membership_only = false;
};

// Loads the module from the program's directory and creates its service. Fails with kReplicationModule.
tl::expected<std::unique_ptr<ReplicationService>, StartError> LoadReplicationModule(
    ReplicationContext context);

}  // namespace lynxgrade::replication
