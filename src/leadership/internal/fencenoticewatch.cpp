// Watch of the notices of commit fences in the store.

#include "leadership/internal/fencenoticewatch.h"

namespace rosemaryhinge::detail {

namespace {

/// Notices are rare, and each wait costs a call to the store.
constexpr Duration WatchWait = 25s;
constexpr Duration CallTimeout = 1500ms;
constexpr Duration RetryPause = 1s;

} // namespace

void FenceNoticeWatch::onTimer(Context &ctx) {
  if (Call || ctx.Now < NextAt)
    return;
  Call = ctx.call(Module::Leadership);
  if (Revision == 0)
    ctx.emit(DirectoryCall{*Call, CallTimeout, ListDirectory{DirectoryKind::FenceNotices, {}}});
  else
    ctx.emit(DirectoryCall{*Call, WatchWait + CallTimeout,
                           WatchDirectory{DirectoryKind::FenceNotices, Revision, WatchWait}});
}

std::vector<FenceNotice> FenceNoticeWatch::onAnswer(Context &ctx, const DirectoryAnswer &event) {
  Call.reset();
  std::vector<FenceNotice> out;
  const auto take = [&](std::span<const DirectoryObject> objects, std::uint64_t revision) {
    for (const auto &it : objects)
      if (const auto *notice = std::get_if<FenceNotice>(&it.Value))
        out.push_back(*notice);
    Revision = revision;
  };
  // Of a list with more pages than one, only the first is read: a later change is told by the watch.
  if (const auto *list = std::get_if<DirectoryListing>(&event.Result))
    take(list->Objects, list->Revision);
  else if (const auto *changes = std::get_if<DirectoryChanges>(&event.Result))
    take(changes->Objects, changes->Revision);
  else
    Revision = 0;
  if (std::holds_alternative<DirectoryFailure>(event.Result))
    NextAt = ctx.Now + RetryPause;
  return out;
}

} // namespace rosemaryhinge::detail
