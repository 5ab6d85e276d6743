// Text forms of events and effects.

#include "soak/tracer.h"

#include "base/overloaded.h"

namespace rosemaryhinge::soak {

namespace {

std::string text(Position it) { return std::to_string(it.Term) + "/" + std::to_string(it.Lsn); }

std::string text(TransactionStep step) {
  switch (step) {
  case TransactionStep::None:
    return "whole";
  case TransactionStep::Begin:
    return "begin";
  case TransactionStep::Statement:
    return "statement";
  case TransactionStep::Commit:
    return "commit";
  case TransactionStep::Rollback:
    return "rollback";
  }
  return "?";
}

std::string text(const std::vector<std::string> &statements) {
  return statements.empty() ? "-" : "'" + statements.front() + "'";
}

std::string text(const Answer &answer) {
  return std::visit(Overloaded{[](const Success &it) {
                                 return "success by " + it.ServedBy.str() + (it.Replayed ? " replayed" : "") +
                                        " session " + (it.Session ? text(*it.Session) : "-") + " result " +
                                        (it.Results.empty() || it.Results.front().Columns.empty()
                                             ? "-"
                                             : it.Results.front().Columns.front());
                               },
                               [](const Refusal &it) {
                                 return "refusal " + std::string(toString(it.Reason)) + " " +
                                        std::string(toString(it.Ran)) + " " + it.Message;
                               }},
                    answer);
}

std::string text(const TargetStatus &it) {
  return std::string(it.Role == TargetRole::Primary ? "primary" : "replica") +
         " raised=" + std::to_string(it.RaisedTerm) + " log=" + text(it.Log) +
         " since=" + std::to_string(it.SincePrimary.count() / 1000) + "ms";
}

std::string text(const MarkerRecord &it) {
  return std::string(it.Done ? "done" : "aborted") + " attempt=" + std::to_string(it.Attempt) +
         " at=" + text(it.At);
}

std::string text(const decltype(ExecutionFinished::Result) &result) {
  return std::visit(
      Overloaded{[](const ExecutionDone &it) { return "done at " + text(it.At); },
                 [](const ExecutionFailed &it) { return "failed " + it.SqlState; },
                 [](const MarkerConflict &it) { return "conflict " + text(it.Record); },
                 [](const NotPrimary &it) { return "not primary, raised " + std::to_string(it.RaisedTerm); }},
      result);
}

std::string text(const ControlRequest &request) {
  return std::visit(Overloaded{[](const QueryStatus &it) {
                                 return it.WaitFor ? "status wait for " + text(*it.WaitFor)
                                                   : std::string("status");
                               },
                               [](const RaiseTerm &it) { return "raise " + std::to_string(it.Term); },
                               [](const Promote &it) { return "promote " + std::to_string(it.Term); },
                               [](const ClaimSlot &it) {
                                 return "claim slot " + std::to_string(it.Slot) + " generation " +
                                        std::to_string(it.Generation);
                               },
                               [](const AbortMarker &it) {
                                 return "abort " + it.Marker.Key + "@" + std::to_string(it.Marker.Attempt);
                               }},
                    request);
}

std::string text(const decltype(ControlAnswer::Result) &result) {
  return std::visit(Overloaded{[](const TargetStatus &it) { return text(it); },
                               [](const MarkerRecord &it) { return text(it); },
                               [](const ControlFailure &it) { return "failure " + it.Message; }},
                    result);
}

std::string text(const PeerMessage &message) {
  return std::visit(
      Overloaded{
          [](const ForwardRequest &it) {
            return "forward " + std::to_string(it.Id.Value) + " " + text(it.Request.Step) + " " +
                   text(it.Request.Statements);
          },
          [](const ForwardAnswer &it) {
            return "forward answer " + std::to_string(it.Id.Value) + " " + text(it.Answer);
          },
          [](const ObjectChanged &it) { return "object " + it.Key + "@" + std::to_string(it.Version); },
          [](const SettingsPush &it) { return "settings push " + std::to_string(it.Revision); },
          [](const SettingsAck &it) {
            return "settings ack " + std::to_string(it.Revision) + " in force " + std::to_string(it.InForce) +
                   " missing " + std::to_string(it.Missing.size());
          },
          [](const auto &) { return std::string(); }},
      message);
}

std::string text(const PlatformCall &call) {
  return std::visit(
      Overloaded{[](const GetObject &it) { return "get " + it.Key; },
                 [](const PutObject &it) { return "put " + it.Key + "@" + std::to_string(it.Expected); },
                 [](const WatchObject &it) { return "watch " + it.Key + ">" + std::to_string(it.Above); },
                 [](const ListVms &) { return std::string(); }},
      call.Request);
}

std::string text(const decltype(PlatformAnswer::Result) &result) {
  return std::visit(
      Overloaded{[](const ObjectValue &it) { return it.Key + "@" + std::to_string(it.Version); },
                 [](const PutDone &it) { return "put done @" + std::to_string(it.Version); },
                 [](const PutConflict &it) { return "put conflict @" + std::to_string(it.Version); },
                 [](const PlatformFailure &it) { return "platform failure " + it.Message; },
                 [](const VmList &) { return std::string(); }},
      result);
}

} // namespace

void Tracer::onSubmitted(const fakes::Submission &it) {
  World.trace(
      "caller sends " + it.What->Tag + "/" + std::to_string(it.Try) + " " + text(it.Step) +
      (it.What->Write ? " write" : " read") + " session " + (it.Session ? text(*it.Session) : "-") +
      (it.What->MaxStaleness ? " age " + std::to_string(it.What->MaxStaleness->count() / 1000) + "ms" : ""));
}

void Tracer::onAnswered(const fakes::Submission &it, const Answer &answer) {
  World.trace("caller gets " + it.What->Tag + "/" + std::to_string(it.Try) + " " + text(answer));
}

void Tracer::onRequestArrived(const fakes::FakeProxy &proxy, RequestId id, const fakes::Submission &it) {
  World.trace(proxy.config().Node.str() + " <- request " + std::to_string(id.Value) + " " + it.What->Tag +
              "/" + std::to_string(it.Try) + " " + text(it.Step));
}

void Tracer::onBeforeEvent(const fakes::FakeProxy &proxy, const Event &event) {
  auto line = std::visit(
      Overloaded{[](const PeerReceived &it) {
                   auto message = text(it.Message);
                   return message.empty() ? message : it.From.str() + ": " + message;
                 },
                 [](const PeerLost &it) { return "peer lost " + it.Node.str(); },
                 [](const ConnectionOpened &it) { return "opened " + std::to_string(it.Connection.Value); },
                 [](const ConnectionClosed &it) {
                   return "closed " + std::to_string(it.Connection.Value) + " " + it.Why;
                 },
                 [](const ExecutionFinished &it) {
                   return "finished " + std::to_string(it.Execution.Value) + " on " +
                          std::to_string(it.Connection.Value) + " " + text(it.Result);
                 },
                 [](const ControlAnswer &it) {
                   return "control " + std::to_string(it.Call.Number) + " " + it.Target.str() + " " +
                          text(it.Result);
                 },
                 [](const PlatformAnswer &it) { return text(it.Result); },
                 [](const auto &) { return std::string(); }},
      event);
  if (!line.empty())
    World.trace(proxy.config().Node.str() + " <- " + line);
}

void Tracer::onEffect(const fakes::FakeProxy &proxy, const Effect &effect) {
  auto line = std::visit(
      Overloaded{
          [](const Respond &it) { return "respond " + std::to_string(it.Id.Value) + " " + text(it.Answer); },
          [](const SendToPeer &it) {
            auto message = text(it.Message);
            return message.empty() ? message : "to " + it.To.str() + ": " + message;
          },
          [](const OpenConnection &it) {
            return "open " + std::to_string(it.Connection.Value) + " to " + it.Target.str() + " slot " +
                   std::to_string(it.Slot) + "." + std::to_string(it.Generation);
          },
          [](const CloseConnection &it) { return "close " + std::to_string(it.Connection.Value); },
          [](const Execute &it) {
            return "execute " + std::to_string(it.Execution.Value) + " on " +
                   std::to_string(it.Connection.Value) + " " + text(it.Step) + " " + text(it.Statements) +
                   (it.Marker ? " marker " + it.Marker->Key + "@" + std::to_string(it.Marker->Attempt) : "");
          },
          [](const ControlCall &it) {
            return "call " + std::to_string(it.Call.Number) + " " + it.Target.str() + " " + text(it.Request);
          },
          [](const PlatformCall &it) { return text(it); },
          [](const ShutdownComplete &) { return std::string("shutdown complete"); },
          [](const auto &) { return std::string(); }},
      effect);
  if (!line.empty())
    World.trace(proxy.config().Node.str() + " -> " + line);
}

void Tracer::onCommitted(const fakes::FakeServer &server, const fakes::LogEntry &entry) {
  World.trace(server.name().str() + " commits " + text(entry.End) + " " +
              (entry.StartsTerm ? "term start"
               : entry.Done     ? entry.Tag + "/" + std::to_string(entry.Try)
                                : "abort of " + entry.Key.Key));
}

void Tracer::onPromoted(const fakes::FakeServer &server, Term term) {
  World.trace(server.name().str() + " is promoted to term " + std::to_string(term));
}

void Tracer::onProxyStarted(const fakes::FakeProxy &proxy) {
  World.trace(proxy.config().Node.str() + " starts");
}

} // namespace rosemaryhinge::soak
