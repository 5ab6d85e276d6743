// Acceptance of revisions from the store and from peers.

#include "settings/internal/acceptance.h"

namespace rosemaryhinge::detail {

namespace {

/// Diagnostics that are written to the log for one refused revision.
constexpr std::size_t MaxLoggedFindings = 10;

void logRefusal(Context &ctx, std::uint64_t revision, std::string_view source, const Diagnostics &found) {
  ctx.emit(Count{"settings_revisions_refused_total"});
  ctx.record({"settings_refused",
              {},
              "revision " + std::to_string(revision) + " from " + std::string(source),
              found.front().str(),
              0,
              revision});
  for (std::size_t i = 0; i < found.size() && i < MaxLoggedFindings; ++i)
    ctx.emit(Log{LogLevel::Error,
                 "settings revision is not valid; the revision in force is kept",
                 {{"revision", std::to_string(revision)}, {"finding", found[i].str()}}});
}

} // namespace

bool acceptTree(SettingsState &state, Context &ctx, std::uint64_t revision, std::string tree,
                ObjectVersion version, UnknownKeys unknown, std::string_view source) {
  auto &current = state.Current;
  if (revision == current.Revision) {
    current.Version = std::max(current.Version, version);
    return true;
  }
  if (revision < current.Revision && ctx.Rules.SettingsInForce)
    return true;
  auto parsed = parseTree(SettingsKey, tree, unknown);
  if (!parsed.Found.empty()) {
    logRefusal(ctx, revision, source, parsed.Found);
    return false;
  }
  current.PreviousRevision = current.Revision;
  current.PreviousTree = std::move(current.Tree);
  current.Revision = revision;
  current.Tree = std::move(tree);
  current.Version = version;
  current.Since = ctx.Now;
  current.Policies = PolicyTable(parsed.Root);
  ctx.emit(Count{"settings_revisions_accepted_total"});
  ctx.emit(Log{LogLevel::Info,
               "settings revision is in force",
               {{"revision", std::to_string(revision)}, {"source", std::string(source)}}});
  return true;
}

bool acceptObject(SettingsState &state, Context &ctx, const ObjectValue &value, std::string_view source) {
  if (value.Version == 0)
    return false;
  state.SeenVersion = std::max(state.SeenVersion, value.Version);
  auto object = parseSettingsObject(value.Value);
  if (!object) {
    Diagnostics found{{std::string(SettingsKey), 0, 0, "neither a settings object nor a YAML tree"}};
    logRefusal(ctx, 0, source, found);
    return false;
  }
  auto before = state.Current.Revision;
  if (object->Revision < before) {
    ctx.emit(Count{"settings_store_behind_total"});
    ctx.emit(
        Log{LogLevel::Warn,
            "the store holds a lower settings revision than the one in force; 'settings set' writes it anew",
            {{"store_revision", std::to_string(object->Revision)}, {"revision", std::to_string(before)}}});
  }
  auto unknown = object->Plain ? UnknownKeys::Refuse : UnknownKeys::Skip;
  acceptTree(state, ctx, object->Revision, std::move(object->Tree), value.Version, unknown, source);
  return state.Current.Revision > before;
}

} // namespace rosemaryhinge::detail
