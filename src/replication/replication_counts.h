// Counters of one replication engine since its start.
#pragma once

#include <cstdint>

namespace lynxgrade::replication {

struct ReplicationCounts {
  std::uint64_t watermarks_received = 0;
  std::uint64_t watermarks_sent = 0;
  std::uint64_t packets_sent = 0;       // excluding packets that only carry membership
  std::uint64_t snapshots_started = 0;  // transfers to peers
  std::uint64_t lease_packets_sent = 0;
};

}  // namespace lynxgrade::replication
