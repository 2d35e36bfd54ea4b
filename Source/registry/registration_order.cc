#include "registry/registration_order.h"

// All comparisons of positions in the history of the registry are made here.
//
// Within an era, the revision decides. After the registry came back from a
// copy, its revisions say nothing about what this daemon learned before, and an
// entry may be the one of the copy or one that its backend server wrote again.
// What the backend server says of itself tells them apart: the time of its
// start and, within a start, the number of its statements (`sequence`). It does
// not return from draining within a start.

namespace comfrey {
namespace {

ChangeOrder CompareAfterRestore(const RegistrationStatement& known,
                                const RegistrationChange& change) {
  if (!change.endpoint) {
    return ChangeOrder::kNewer;
  }
  const RegisteredEndpoint& stated = *change.endpoint;
  if (stated.started_at != known.started_at) {
    return stated.started_at < known.started_at ? ChangeOrder::kEarlierStart
                                                : ChangeOrder::kNewer;
  }
  if (stated.sequence < known.sequence) {
    return ChangeOrder::kEarlierSequence;
  }
  if (stated.sequence > known.sequence) {
    return ChangeOrder::kNewer;
  }
  if (known.draining && !stated.draining) {
    return ChangeOrder::kEarlierSequence;
  }
  const bool same_write = change.revision.revision == known.written.revision;
  return known.removed && same_write ? ChangeOrder::kRemovedSince
                                     : ChangeOrder::kNewer;
}

}  // namespace

absl::string_view ChangeOrderName(ChangeOrder order) {
  switch (order) {
    case ChangeOrder::kOlderRevision:
      return "older_revision";
    case ChangeOrder::kEarlierEra:
      return "earlier_era";
    case ChangeOrder::kEarlierStart:
      return "earlier_start";
    case ChangeOrder::kEarlierSequence:
      return "earlier_sequence";
    case ChangeOrder::kRemovedSince:
      return "removed_since";
    case ChangeOrder::kNewer:
      break;
  }
  return "newer";
}

ChangeOrder CompareChange(const RegistrationStatement& known,
                          const RegistrationChange& change) {
  const RegistryRevision& latest = known.removed.value_or(known.written);
  switch (CompareHistory(latest, change.revision)) {
    case HistoryOrder::kEarlierEra:
      return ChangeOrder::kEarlierEra;
    case HistoryOrder::kRestored:
      return CompareAfterRestore(known, change);
    case HistoryOrder::kSame:
      break;
  }
  return change.revision.revision < latest.revision
             ? ChangeOrder::kOlderRevision
             : ChangeOrder::kNewer;
}

HistoryOrder CompareHistory(const RegistryRevision& known,
                            const RegistryRevision& read) {
  if (read.era == 0 || read.era == known.era) {
    return HistoryOrder::kSame;
  }
  return read.era > known.era ? HistoryOrder::kRestored
                              : HistoryOrder::kEarlierEra;
}

}  // namespace comfrey
