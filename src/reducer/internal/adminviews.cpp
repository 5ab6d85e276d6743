// JSON views of members, server groups, targets and requests in flight.

#include "reducer/internal/adminviews.h"

#include "reducer/reducer.h"

#include <nlohmann/json.hpp>

namespace rosemaryhinge::detail {

namespace {

using nlohmann::json;

constexpr int HttpOk = 200;
constexpr int HttpNotFound = 404;
constexpr int HttpNotImplemented = 501;

std::int64_t toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

json ageOrNull(std::optional<TimePoint> at, TimePoint now) {
  return at ? json(toMilliseconds(now - *at)) : json(nullptr);
}

json membersView(const State &state) {
  json out = json::array();
  for (const auto &it : state.Membership.live())
    out.push_back({{"node", it.Node.str()},
                   {"incarnation", it.Incarnation},
                   {"availability_zone", it.AvailabilityZone.str()},
                   {"leaving", it.Leaving}});
  return out;
}

json groupView(const GroupView &view) {
  return {{"database", view.Group.Database.str()},
          {"term", view.Group.Term},
          {"phase", view.Group.State == Group::Phase::Done ? "done" : "ordered"},
          {"primary", view.Group.Primary.str()},
          {"orderer", view.Group.Orderer.str()}};
}

json statusView(const State &state) {
  json groups = json::array();
  for (const auto &[database, view] : state.Groups.all())
    groups.push_back(groupView(view));
  return {{"node", state.Self.Node.str()},
          {"release", state.Self.Release},
          {"incarnation", state.Incarnation},
          {"ready", isReady(state)},
          {"leaving", state.Drain.leaving()},
          {"settings_revision", state.Settings.revision()},
          {"requests_in_flight", state.Requests.inFlight()},
          {"members", membersView(state)},
          {"databases", groups}};
}

json targetView(const State &state, const GroupServer &server, const GroupView &group, TimePoint now) {
  const auto &view = group.Targets.at(server.Target);
  json holders = json::array();
  for (const auto &it : state.Slots.otherHolders(group.Group.Database, server.Target))
    holders.push_back(it.str());
  return {{"target", server.Target.str()},
          {"database", group.Group.Database.str()},
          {"availability_zone", server.AvailabilityZone.str()},
          {"role", server.Target == group.Group.Primary ? "primary" : "replica"},
          {"raised_term", view.Status.RaisedTerm},
          {"log_term", view.Status.Log.Term},
          {"log_position", view.Status.Log.Lsn},
          {"sample_age_ms", ageOrNull(view.SampledAt, now)},
          {"contact_age_ms", ageOrNull(view.LastContact, now)},
          {"leaving", view.leaving()},
          {"connections", state.Slots.capacity(server.Target)},
          {"busy", state.Slots.busy(server.Target)},
          {"other_holders", holders}};
}

json targetsView(const State &state, TimePoint now) {
  json out = json::array();
  for (const auto &[database, view] : state.Groups.all())
    for (const auto &server : view.Group.Servers)
      out.push_back(targetView(state, server, view, now));
  return {{"node", state.Self.Node.str()}, {"targets", out}};
}

json sessionsView(const State &state) {
  json targets = json::object();
  for (const auto &[database, view] : state.Groups.all())
    for (const auto &server : view.Group.Servers)
      targets[server.Target.str()] = state.Requests.inFlight(server.Target);
  return {{"node", state.Self.Node.str()},
          {"requests_in_flight", state.Requests.inFlight()},
          {"in_flight_by_target", targets}};
}

} // namespace

AdminReply adminView(const State &state, const AdminRequest &request, TimePoint now) {
  if (request.Command == "status")
    return {request.Id, HttpOk, statusView(state).dump()};
  if (request.Command == "targets")
    return {request.Id, HttpOk, targetsView(state, now).dump()};
  if (request.Command == "sessions")
    return {request.Id, HttpOk, sessionsView(state).dump()};
  json error = {{"error", "unknown command " + request.Command},
                {"next", "see rosemaryhingectl --help for the commands"}};
  return {request.Id, HttpNotFound, error.dump()};
}

AdminReply commandNotServed(const AdminRequest &request) {
  json error = {{"error", request.Command + " is not served by proxies whose callers keep sessions"},
                {"next", "the configuration of these proxies is an object of the platform's store"}};
  return {request.Id, HttpNotImplemented, error.dump()};
}

} // namespace rosemaryhinge::detail
