// Objects of the store on the wire between proxies.

#include "peers/internal/changescodec.h"

#include <array>
#include <cmath>

namespace rosemaryhinge::detail {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr unsigned ByteBits = 8;

Offset<wire::DatabaseRoute> encodeRoute(FlatBufferBuilder &builder, const DatabaseRoute &it) {
  const auto &[database, service, reads, timeout, target, staleness, priority, anonymous] = it;
  const auto databaseText = builder.CreateString(database);
  const auto serviceText = builder.CreateString(service.str());
  return wire::CreateDatabaseRoute(builder, databaseText, serviceText, static_cast<std::uint8_t>(reads),
                                   timeout.count(), target.count(), staleness.count(), priority, anonymous);
}

wire::KeyDigest wireDigest(const KeyDigest &it) {
  constexpr std::size_t Half = std::tuple_size_v<decltype(it.Bytes)> / 2;
  std::array<std::uint64_t, 2> halves{};
  for (std::size_t n = 0; n < it.Bytes.size(); ++n)
    halves.at(n / Half) = (halves.at(n / Half) << ByteBits) | it.Bytes.at(n);
  return {halves[0], halves[1]};
}

KeyDigest readDigest(const wire::KeyDigest &it) {
  KeyDigest out;
  const std::array<std::uint64_t, 2> halves = {it.first(), it.second()};
  constexpr std::size_t Half = std::tuple_size_v<decltype(out.Bytes)> / 2;
  for (std::size_t n = 0; n < out.Bytes.size(); ++n)
    out.Bytes.at(n) = static_cast<std::uint8_t>(halves.at(n / Half) >> ((Half - 1 - n % Half) * ByteBits));
  return out;
}

Offset<wire::Workspace> encodeWorkspace(FlatBufferBuilder &builder, const Workspace &it) {
  std::vector<wire::KeyDigest> keys;
  keys.reserve(it.Keys.size());
  for (const auto &one : it.Keys)
    keys.push_back(wireDigest(one));
  const auto name = builder.CreateString(it.Name.str());
  const auto keyList = builder.CreateVectorOfStructs(keys);
  return wire::CreateWorkspace(builder, name, keyList, it.Priority, it.RatePerSecond, it.Burst);
}

Offset<wire::Configuration> encodeConfiguration(FlatBufferBuilder &builder, const Configuration &it) {
  std::vector<Offset<wire::DatabaseRoute>> routes;
  routes.reserve(it.Routes.size());
  for (const auto &one : it.Routes)
    routes.push_back(encodeRoute(builder, one));
  std::vector<Offset<wire::ServiceLimits>> services;
  services.reserve(it.Services.size());
  for (const auto &one : it.Services)
    services.push_back(wire::CreateServiceLimits(builder, builder.CreateString(one.Service.str()),
                                                 one.MaxConnections, one.SyncReplicas));
  const auto routeList = builder.CreateVector(routes);
  const auto serviceList = builder.CreateVector(services);
  std::vector<Offset<wire::Workspace>> workspaces;
  if (it.Workspaces)
    for (const auto &one : *it.Workspaces)
      workspaces.push_back(encodeWorkspace(builder, one));
  const auto workspaceList = builder.CreateVector(workspaces);
  return wire::CreateConfiguration(builder, it.Version, routeList, serviceList, it.TransactionIdle.count(),
                                   it.Workspaces.has_value(), workspaceList);
}

Offset<wire::ServerEntry> encodeServer(FlatBufferBuilder &builder, const ServerEntry &it) {
  const auto &[target, service, address, zone, role, leaving, revision, startedAt, sequence] = it;
  const auto targetText = builder.CreateString(target.str());
  const auto serviceText = builder.CreateString(service.str());
  const auto addressText = builder.CreateString(address);
  const auto zoneText = builder.CreateString(zone.str());
  const auto roleValue = static_cast<std::uint8_t>(role ? static_cast<std::uint8_t>(*role) + 1 : 0);
  return wire::CreateServerEntry(builder, targetText, serviceText, addressText, zoneText, roleValue, leaving,
                                 revision, startedAt, sequence);
}

Offset<wire::DirectoryObject> encodeObject(FlatBufferBuilder &builder, const DirectoryObject &it) {
  const auto name = builder.CreateString(it.Name);
  Offset<wire::Configuration> configuration;
  Offset<wire::ServerEntry> server;
  if (const auto *one = std::get_if<Configuration>(&it.Value))
    configuration = encodeConfiguration(builder, *one);
  else if (const auto *other = std::get_if<ServerEntry>(&it.Value))
    server = encodeServer(builder, *other);
  return wire::CreateDirectoryObject(builder, name, configuration, server);
}

class Decoder {
public:
  explicit Decoder(FrameReader &reader) : In(reader) {}

  Duration span(std::int64_t micros) {
    if (micros < 0)
      In.refuse();
    return Duration(micros);
  }

  DatabaseRoute route(const wire::DatabaseRoute *it) {
    DatabaseRoute out;
    out.Database = In.text(it->database());
    out.Service = In.id<DatabaseId>(it->service());
    out.Reads = In.value(it->reads(), Consistency::ReadYourWrites);
    out.StatementTimeout = span(it->statement_timeout_us());
    out.LatencyTarget = span(it->latency_target_us());
    out.MaxStaleness = span(it->max_staleness_us());
    out.Priority = it->priority();
    out.Anonymous = it->anonymous();
    return out;
  }

  Workspace workspace(const wire::Workspace *it) {
    Workspace out;
    out.Name = In.id<WorkspaceId>(it->name());
    if (it->keys() && In.spend(it->keys()->size() * sizeof(wire::KeyDigest)))
      for (const auto *one : *it->keys())
        out.Keys.push_back(readDigest(*one));
    out.Priority = it->priority();
    out.RatePerSecond = amount(it->rate_per_s());
    out.Burst = amount(it->burst());
    return out;
  }

  double amount(double value) {
    if (!std::isfinite(value) || value < 0)
      In.refuse();
    return value;
  }

  Configuration configuration(const wire::Configuration &it) {
    Configuration out;
    out.Version = it.version();
    out.Routes = In.list<DatabaseRoute>(it.routes(), [this](const auto *one) { return route(one); });
    out.Services = In.list<ServiceLimits>(it.services(), [this](const auto *one) {
      return ServiceLimits{In.id<DatabaseId>(one->service()), one->max_connections(), one->sync_replicas()};
    });
    out.TransactionIdle = span(it.transaction_idle_us());
    if (it.has_workspaces())
      out.Workspaces =
          In.list<Workspace>(it.workspaces(), [this](const auto *one) { return workspace(one); });
    return out;
  }

  ServerEntry server(const wire::ServerEntry &it) {
    ServerEntry out;
    out.Target = In.id<TargetId>(it.target());
    out.Service = In.id<DatabaseId>(it.service());
    out.Address = In.text(it.address());
    out.AvailabilityZone = In.id<AvailabilityZone>(it.availability_zone());
    if (it.role() > 0)
      out.Role = In.value(static_cast<std::uint8_t>(it.role() - 1), TargetRole::Replica);
    out.Leaving = it.leaving();
    out.Revision = it.revision();
    out.StartedAt = it.started_at_ms();
    out.Sequence = it.sequence();
    return out;
  }

  DirectoryObject object(const wire::DirectoryObject *it) {
    DirectoryObject out{In.text(it->name()), true, UnreadableObject{}};
    if (it->configuration())
      out.Value = configuration(*it->configuration());
    else if (it->server())
      out.Value = server(*it->server());
    out.Deleted = std::holds_alternative<UnreadableObject>(out.Value);
    return out;
  }

  DirectoryKind kind(std::uint8_t raw) { return In.value(raw, DirectoryKind::Servers); }

private:
  FrameReader &In;
};

} // namespace

flatbuffers::Offset<void> encodeChanges(FlatBufferBuilder &builder, const ChangesRequest &it,
                                        wire::Message &type) {
  type = wire::Message::ChangesRequest;
  const auto &[number, kind, revision, wait] = it;
  return wire::CreateChangesRequest(builder, number, static_cast<std::uint8_t>(kind), revision, wait.count())
      .Union();
}

flatbuffers::Offset<void> encodeChanges(FlatBufferBuilder &builder, const ChangesReply &it,
                                        wire::Message &type) {
  type = wire::Message::ChangesReply;
  const auto &[number, kind, revision, age, whole, objects, proof] = it;
  std::vector<Offset<wire::DirectoryObject>> list;
  list.reserve(objects.size());
  for (const auto &one : objects)
    list.push_back(encodeObject(builder, one));
  const auto all = builder.CreateVector(list);
  return wire::CreateChangesReply(
             builder, number, static_cast<std::uint8_t>(kind), revision, age.count(), whole, all,
             proof ? flatbuffers::Optional<std::int64_t>(proof->count()) : flatbuffers::nullopt)
      .Union();
}

std::optional<PeerMessage> decodeChanges(const wire::Envelope &envelope, FrameReader &reader) {
  Decoder in(reader);
  if (const auto *it = envelope.message_as_ChangesRequest())
    return ChangesRequest{it->number(), in.kind(it->kind()), it->revision(), in.span(it->wait_us())};
  const auto *it = envelope.message_as_ChangesReply();
  if (it == nullptr)
    return std::nullopt;
  ChangesReply out{it->number(),
                   in.kind(it->kind()),
                   it->revision(),
                   in.span(it->age_us()),
                   it->whole(),
                   {},
                   FrameReader::micros(it->proof_offset_us())};
  out.Objects = reader.list<DirectoryObject>(it->objects(), [&](const auto *one) { return in.object(one); });
  return out;
}

} // namespace rosemaryhinge::detail
