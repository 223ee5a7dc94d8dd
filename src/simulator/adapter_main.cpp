// lynxgrade_adapter: reads batches of events from standard input, passes each to the balancer of its instance
// and writes one reply per batch. As in the pooler, a session consistency guard surrounds each balancer.
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

class Host {
 public:
  // Handles one input line; returns true if the reply of a batch is complete. Throws WireError.
  bool HandleLine(const std::string& text) {
    Line line = codec_.Decode(text);
    if (auto* start = std::get_if<BatchStart>(&line)) {
      if (open_) throw WireError("a batch opens inside another");
      open_ = true;
      now_ = start->now;
      serial_ = start->serial;
      return false;
    }
    if (!open_) throw WireError("an event outside a batch");
    if (std::holds_alternative<BatchEnd>(line)) {
      open_ = false;
      Codec::EncodeEnd(serial_, reply_);
      return true;
    }
    if (auto* page = std::get_if<ListPage>(&line)) {
      pages_[page->page] = std::move(page->entries);
    } else if (auto* begin = std::get_if<Start>(&line)) {
      consistency::SessionConsistencyGuard consistency_guard(begin->settings, consistency::Options{});
      instances_.insert_or_assign(begin->instance, Hosted{std::move(consistency_guard),
                                                          Balancer(std::move(begin->settings), begin->seed)});
    } else if (auto* stop = std::get_if<Stop>(&line)) {
      instances_.erase(stop->instance);
    } else if (auto* news = std::get_if<ListUpdate>(&line)) {
      ListEvent event{news->kind, {}};
      if (news->kind != ListKind::kError) {
        const auto entries = pages_.find(news->page);
        if (entries == pages_.end()) {
          throw WireError("event 'directory_update': field 'page' names a list not seen");
        }
        event.entries = entries->second;
      }
      HandleEvent(news->instance, Event(std::move(event)));
    } else if (auto* given = std::get_if<InstanceEvent>(&line)) {
      HandleEvent(given->instance, std::move(given->event));
    }
    return false;
  }

  std::string TakeReply() { return std::exchange(reply_, {}); }
  std::optional<std::int64_t> serial() const {
    return open_ ? std::optional<std::int64_t>(serial_) : std::nullopt;
  }

 private:
  struct Hosted {
    consistency::SessionConsistencyGuard consistency_guard;
    Balancer balancer;
  };

  void HandleEvent(Instance who, Event event) {
    const auto it = instances_.find(who);
    if (it == instances_.end()) {
      throw WireError("field 'who' names an instance that has not started");
    }
    actions_.clear();
    try {
      it->second.consistency_guard.PrepareEvent(now_, event);
      it->second.balancer.Handle(now_, event, actions_);
      it->second.consistency_guard.HandleActions(actions_);
    } catch (const std::exception& error) {
      Codec::EncodeInternalError(who, error.what(), reply_);
      return;
    }
    for (const Action& action : actions_) Codec::EncodeAction(who, action, reply_);
  }

  Codec codec_;
  std::map<Instance, Hosted> instances_;
  std::map<int, std::vector<ListEntry>> pages_;
  Actions actions_;
  std::string reply_;
  TimePoint now_;
  std::int64_t serial_ = 0;
  bool open_ = false;
};

int Run() {
  Host host;
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
    std::cout << host.TakeReply() << std::flush;
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
