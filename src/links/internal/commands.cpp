// Commands on links and the replies to them: session values, prepared statements and pending replies.

#include "links/linkpool.h"

#include "base/overloaded.h"
#include "links/internal/sessionvalues.h"

#include <algorithm>
#include <utility>

namespace rosemaryhinge {

namespace {

/// Number of prepared statements on one link at which the session state of the link is discarded.
constexpr std::size_t MaxPrepared = 256;
constexpr std::size_t MaxNames = 4'096;

LinkStep stepOf(const LinkCommand &command) {
  return std::visit(Overloaded{
                        [](const RunStatement &) { return LinkStep::Statement; },
                        [](const BeginTransaction &) { return LinkStep::Begin; },
                        [](const RollbackTransaction &) { return LinkStep::End; },
                        [](const SetSessionValue &) { return LinkStep::Prepare; },
                        [](const PrepareOnServer &) { return LinkStep::Prepare; },
                        [](const DiscardSession &) { return LinkStep::Prepare; },
                        [](const auto &) { return LinkStep::Order; },
                    },
                    command);
}

} // namespace

std::string LinkPool::preparedName(const PreparedShape &shape) {
  if (const auto it = PreparedNames.find(shape); it != PreparedNames.end())
    return it->second;
  // Numbering continues after the table is cleared, because links still have statements under earlier names.
  if (PreparedNames.size() >= MaxNames)
    PreparedNames.clear();
  return PreparedNames.emplace(shape, "p" + std::to_string(++LastNameNumber)).first->second;
}

std::vector<LinkCommand> LinkPool::prepare(LinkId id, const SessionValues &values,
                                           const PreparedShape *shape) {
  std::vector<LinkCommand> out;
  auto &link = Links.at(id);
  if (!link.Lender.empty()) {
    // The lender tracks the session state of its connection and sends the preparation commands.
    link.NextValues = values;
    link.NextShape = shape ? std::optional(*shape) : std::nullopt;
    return out;
  }
  const bool tooMany = shape && link.Prepared.size() >= MaxPrepared;
  const bool discard = link.Uncertain || !detail::setsAllNamesOf(values, link.Values) || tooMany;
  if (discard)
    out.emplace_back(DiscardSession{});
  for (const auto &[name, value] : values)
    if (const auto it = link.Values.find(name); discard || it == link.Values.end() || it->second != value)
      out.emplace_back(SetSessionValue{name, value});
  if (shape)
    if (auto name = preparedName(*shape); discard || !link.Prepared.contains(name))
      out.emplace_back(PrepareOnServer{std::move(name), shape->Mode, shape->Shape});
  return out;
}

void LinkPool::recordPreparation(Context &ctx, Link &link, const PendingReply &awaited,
                                 const LinkReplied &event) {
  const auto *why = std::get_if<StatementRejection>(&event.Outcome);
  if (awaited.Preparation && why) {
    link.Unusable = true;
    ctx.emit(Count{"link_preparations_refused_total{reason=\"" + std::string(toString(why->Code)) + "\"}"});
  } else if (awaited.Preparation) {
    std::visit(Overloaded{
                   [&](const SetSessionValue &it) { link.Values[it.Name] = it.Value; },
                   [&](const PrepareOnServer &it) { link.Prepared.insert(it.Name); },
                   [&](const DiscardSession &) {
                     link.Values.clear();
                     link.Prepared.clear();
                     link.Uncertain = false;
                   },
                   [](const auto &) {},
               },
               *awaited.Preparation);
    link.PreparedInTransaction = link.PreparedInTransaction || event.State != TransactionState::Idle;
  }
  if (event.State != TransactionState::Idle)
    return;
  // The only statement that ends a transaction and succeeds is a commit. That of a failed one rolls back.
  const bool committed =
      awaited.Step == LinkStep::Statement && !why && link.ServerState == TransactionState::Open;
  if (std::exchange(link.PreparedInTransaction, false) && !committed)
    link.Uncertain = true;
}

void LinkPool::send(Context &ctx, LinkId id, std::vector<LinkCommand> commands) {
  auto &link = Links.at(id);
  auto &server = Servers[link.Target];
  endUnusedGrant(server, link);
  if (link.PendingReplies.empty() && link.Lender.empty())
    ++server.LinksAwaitingReply;
  if (!link.Workspace.empty() && link.Lender.empty() && !link.User.own() && !std::exchange(link.Used, true))
    ctx.emit(Count{"statements_after_new_link_total"});
  for (std::size_t n = 0; n < commands.size(); ++n) {
    if (const auto *begin = std::get_if<BeginTransaction>(&commands[n]))
      link.InReadOnlyTransaction = begin->ReadOnly;
    const auto *run = std::get_if<RunStatement>(&commands[n]);
    // A single read carries a position, or is rolled back at once.
    const bool single = run && (run->After || (n + 1 < commands.size() &&
                                               std::holds_alternative<RollbackTransaction>(commands[n + 1])));
    const bool inTransaction =
        run && link.ServerState == TransactionState::Open && link.InReadOnlyTransaction;
    const auto step = stepOf(commands[n]);
    link.PendingReplies.push_back({step, ctx.Now, single || inTransaction,
                                   step == LinkStep::Prepare ? std::optional(commands[n]) : std::nullopt});
  }
  if (!link.Lender.empty()) {
    ctx.emit(SendToPeer{link.Lender, LoanCommands{{ctx.Incarnation, id.Value},
                                                  std::exchange(link.NextValues, {}),
                                                  std::exchange(link.NextShape, std::nullopt),
                                                  std::move(commands)}});
    return;
  }
  server.PendingReplies += commands.size();
  server.Health.sent(ctx.Now);
  ctx.emit(SendOnLink{id, std::move(commands)});
}

std::optional<LinkPool::Reply> LinkPool::onReply(Context &ctx, const LinkReplied &event) {
  const auto it = Links.find(event.Link);
  if (it == Links.end() || it->second.PendingReplies.empty())
    return std::nullopt;
  auto &link = it->second;
  const auto awaited = std::move(link.PendingReplies.front());
  link.PendingReplies.pop_front();
  recordPreparation(ctx, link, awaited, event);
  link.ServerState = event.State;
  if (link.Lender.empty()) {
    auto &server = Servers[link.Target];
    --server.PendingReplies;
    recordAnswer(ctx, link.Target, server);
    adjustPace(ctx, link.Target, server, awaited, event.Outcome);
    if (link.PendingReplies.empty())
      --server.LinksAwaitingReply;
  }
  Reply out{awaited.Step, link.User, link.Target, link.Service, awaited.SentAt, link.PendingReplies.empty()};
  if (link.InUse || (!link.Unusable && !link.PendingReplies.empty()))
    return out;
  // If the transaction is still open after the rollback, the link is unusable.
  if (awaited.Step == LinkStep::End && event.State != TransactionState::Idle)
    close(ctx, event.Link, false);
  else
    release(ctx, event.Link);
  return out;
}

} // namespace rosemaryhinge
