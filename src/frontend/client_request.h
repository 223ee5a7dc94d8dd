// Reads a client's statement as a request of a known class and tenant. No clock, no I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "limits/memory_budget.h"
#include "pg/statement.h"
#include "proxy/ports.h"

namespace lynxgrade::frontend {

// A statement as the client sent it. An attempt changes nothing but the time budget `d` in its comment.
class ClientStatement final : public proxy::Statement {
 public:
  // Returns null, with the reason in `error`, if the statement has no well-formed comment.
  static std::shared_ptr<ClientStatement> Parse(std::string_view text, std::string& error);
  // Keeps the memory reserved as long as the statement exists.
  void HoldMemory(limits::MemoryReservation memory) { memory_ = std::move(memory); }
  std::string TextWithBudget(Duration remaining) const override;
  const pg::Comment& comment() const { return comment_; }

 private:
  std::string text_;
  pg::Comment comment_;
  limits::MemoryReservation memory_;
};

// Why a statement is no request.
struct RequestError {
  std::string_view sqlstate;
  std::string message;
};

// A statement whose comment has an id, a group and a time budget.
struct ClientRequest {
  std::shared_ptr<ClientStatement> statement;
  ClassIndex request_class{};
  std::uint32_t tenant = 0;
};

// The classes and tenants that requests may name.
class RequestCatalog {
 public:
  RequestCatalog(std::vector<std::string> class_names, std::vector<std::string> tenant_names,
                 std::vector<RequestClass> classes)
      : class_names_(std::move(class_names)),
        tenant_names_(std::move(tenant_names)),
        classes_(std::move(classes)) {}

  tl::expected<ClientRequest, RequestError> Read(std::string_view text) const;
  const RequestClass& ClassOf(const ClientRequest& request) const { return classes_[request.request_class]; }

 private:
  std::vector<std::string> class_names_;
  std::vector<std::string> tenant_names_;
  std::vector<RequestClass> classes_;
};

}  // namespace lynxgrade::frontend
