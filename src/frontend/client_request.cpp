#include "frontend/client_request.h"

#include <algorithm>
#include <optional>

namespace lynxgrade::frontend {
namespace {

constexpr int kMaxTimeBudgetMs = 3600000;

template <typename Names>
std::optional<std::uint32_t> IndexOf(const Names& names, std::string_view name) {
  const auto it = std::ranges::find(names, name);
  if (it == names.end()) return std::nullopt;
  return static_cast<std::uint32_t>(it - names.begin());
}

tl::unexpected<RequestError> InvalidSyntax(std::string message) {
  return tl::unexpected(RequestError{"42601", std::move(message)});
}

tl::unexpected<RequestError> InvalidParameter(std::string message) {
  return tl::unexpected(RequestError{"22023", std::move(message)});
}

}  // namespace

std::shared_ptr<ClientStatement> ClientStatement::Parse(std::string_view text, std::string& error) {
  auto statement = std::make_shared<ClientStatement>();
  statement->text_ = std::string(text);
  const auto comment = pg::ReadComment(statement->text_, error);
  if (!comment) return nullptr;
  statement->comment_ = *comment;
  return statement;
}

std::string ClientStatement::TextWithBudget(Duration remaining) const {
  return pg::ReplaceTimeBudget(text_, comment_, std::max<std::int64_t>(1, remaining.count() / 1000));
}

tl::expected<ClientRequest, RequestError> RequestCatalog::Read(std::string_view text) const {
  std::string error;
  ClientRequest request;
  request.statement = ClientStatement::Parse(text, error);
  if (request.statement == nullptr) return InvalidSyntax(std::move(error));
  const pg::Comment& comment = request.statement->comment();
  if (comment.statement_empty) return InvalidSyntax("the statement is empty");
  if (comment.id.empty()) return InvalidParameter("the comment names no id");
  if (!comment.group) return InvalidParameter("the comment names no cluster");
  if (!comment.time_budget_ms || *comment.time_budget_ms > kMaxTimeBudgetMs) {
    return InvalidParameter("the comment gives no time that a client would wait");
  }
  const auto request_class = IndexOf(class_names_, comment.request_class);
  if (!request_class) return InvalidParameter("the class is not known here");
  const auto tenant = IndexOf(tenant_names_, comment.tenant);
  if (!tenant && !(tenant_names_.empty() && comment.tenant.empty())) {
    return InvalidParameter("the tenant is not known here");
  }
  request.request_class = *request_class;
  request.tenant = tenant.value_or(0);
  if (ClassOf(request).idempotency == Idempotency::kIdempotencyKey && comment.idempotency_key.empty()) {
    return InvalidParameter("the class is keyed, and the comment names no key");
  }
  return request;
}

}  // namespace lynxgrade::frontend
