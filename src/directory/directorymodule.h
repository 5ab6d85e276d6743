// Keeps the catalogue in step with the platform's store: lists a kind once, then watches what changes.

#pragma once

#include "catalog/catalog.h"
#include "protocol/context.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryhinge {

class DirectoryModule {
public:
  void onStarted(Context &ctx);
  void onAnswer(Context &ctx, Catalog &catalog, const DirectoryAnswer &event);
  void onTimer(Context &ctx, Catalog &catalog);
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;

  /// Time after which a server whose entry has ended is gone. Entries that end while the store is away are
  /// back about two seconds after its return if the server lives.
  static constexpr Duration GoneAfter = 2500ms;
  /// A watch ends after this time: one that has gone silent, or that missed a change whose history was
  /// dropped, is noticed by then. Changes of the configuration have to be in force within 3 s.
  static constexpr Duration WatchWait = 3s;
  static constexpr Duration WatchGrace = 600ms;
  /// Pause before the next watch while the fleet starts: the entries of many servers then come as one change.
  static constexpr Duration StartPause = 700ms;
  static constexpr Duration StartTime = 8s;
  static constexpr Duration ListTimeout = 1500ms;

private:
  struct Feed {
    explicit Feed(DirectoryKind kind) : Kind(kind) {}

    DirectoryKind Kind;
    std::optional<CallId> Call;
    bool Listing = true;
    std::vector<DirectoryObject> Listed; ///< Pages of a list that is not complete.
    std::uint64_t Revision = 0;
    TimePoint RetryAt;
    int Failures = 0; ///< In a row.
  };

  void call(Context &ctx, Feed &feed);
  void applyList(Context &ctx, Catalog &catalog, Feed &feed);
  void apply(Context &ctx, Catalog &catalog, const DirectoryObject &object);
  void vanish(Context &ctx, Catalog &catalog, const TargetId &target);
  void failed(Context &ctx, Feed &feed, const std::string &why);

  std::array<Feed, 2> Feeds{Feed(DirectoryKind::Configuration), Feed(DirectoryKind::Servers)};
  TimePoint StartedAt;
  std::map<TargetId, TimePoint> Vanishing; ///< Servers whose entries have ended, with the time of removal.
};

} // namespace rosemaryhinge
