// lynxgrade_adapter: connects balancers to the simulator. Reads batches of events from standard input, passes
// each event to the balancer of its instance and writes one reply per batch. As in the pooler, each balancer
// has a session consistency guard, which sees its events before it and its actions after it.
#include <cstdio>
#include <exception>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "consistency/session_consistency_guard.h"
#include "routing/balancer.h"
#include "simulator/codec.h"

namespace lynxgrade::simulator {
namespace {

// Holds the balancers of all started instances.
class AdapterHost {
 public:
  // Handles one input line. Returns true if it ends a batch, whose reply is then complete. Throws WireError.
  bool HandleLine(const std::string& text) {
    Line line = codec_.Decode(text);
    if (auto* batch = std::get_if<BatchStart>(&line)) {
      if (batch_open_) throw WireError("a batch opens inside another");
      batch_open_ = true;
      now_ = batch->now;
      serial_ = batch->serial;
      return false;
    }
    if (!batch_open_) throw WireError("an event outside a batch");
    if (std::holds_alternative<BatchEnd>(line)) {
      batch_open_ = false;
      Codec::EncodeBatchEnd(serial_, reply_);
      return true;
    }
    if (auto* page = std::get_if<ListPage>(&line)) {
      pages_[page->page] = std::move(page->entries);
    } else if (auto* start = std::get_if<StartInstance>(&line)) {
      consistency::SessionConsistencyGuard consistency_guard(start->settings, consistency::Options{});
      instances_.insert_or_assign(
          start->instance,
          HostedInstance{std::move(consistency_guard), Balancer(std::move(start->settings), start->seed)});
    } else if (auto* stop = std::get_if<StopInstance>(&line)) {
      instances_.erase(stop->instance);
    } else if (auto* update = std::get_if<ListUpdate>(&line)) {
      EndpointListEvent event{update->kind, {}};
      if (update->kind != EndpointListKind::kError) {
        const auto entries = pages_.find(update->page);
        if (entries == pages_.end()) {
          throw WireError("event 'directory_update': field 'page' names a list not seen");
        }
        event.entries = entries->second;
      }
      HandleEvent(update->instance, Event(std::move(event)));
    } else if (auto* instance_event = std::get_if<InstanceEvent>(&line)) {
      HandleEvent(instance_event->instance, std::move(instance_event->event));
    }
    return false;
  }

  std::string ExtractReply() { return std::exchange(reply_, {}); }
  // Of the open batch.
  std::optional<std::int64_t> serial() const {
    return batch_open_ ? std::optional<std::int64_t>(serial_) : std::nullopt;
  }

 private:
  struct HostedInstance {
    consistency::SessionConsistencyGuard consistency_guard;
    Balancer balancer;
  };

  void HandleEvent(InstanceId instance, Event event) {
    const auto it = instances_.find(instance);
    if (it == instances_.end()) {
      throw WireError("field 'who' names an instance that has not started");
    }
    actions_.clear();
    try {
      it->second.consistency_guard.PrepareEvent(now_, event);
      it->second.balancer.Handle(now_, event, actions_);
      it->second.consistency_guard.HandleActions(actions_);
    } catch (const std::exception& error) {
      Codec::EncodeInternalError(instance, error.what(), reply_);
      return;
    }
    for (const Action& action : actions_) Codec::EncodeAction(instance, action, reply_);
  }

  Codec codec_;
  std::map<InstanceId, HostedInstance> instances_;
  std::map<int, std::vector<EndpointListEntry>> pages_;
  Actions actions_;
  std::string reply_;
  TimePoint now_;
  std::int64_t serial_ = 0;
  bool batch_open_ = false;
};

int Run() {
  AdapterHost host;
  std::string line;
  while (std::getline(std::cin, line)) {
    if (line.empty()) continue;
    try {
      if (!host.HandleLine(line)) continue;
    } catch (const WireError& error) {
      const auto serial = host.serial();
      std::cerr << "lynxgrade_adapter: "
                << (serial ? "batch " + std::to_string(*serial) : std::string("outside a batch")) << ": "
                << error.what() << std::endl;
      return 1;
    }
    std::cout << host.ExtractReply() << std::flush;
  }
  return 0;
}

}  // namespace
}  // namespace lynxgrade::simulator

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return lynxgrade::simulator::Run();
}
