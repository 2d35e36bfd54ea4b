#ifndef CORE_NEIGHBOUR_SELECTION_H_
#define CORE_NEIGHBOUR_SELECTION_H_

#include <cstddef>
#include <string>
#include <vector>

#include "core/membership.h"

namespace comfrey {

/// \brief Maximum number of neighbours of a member.
constexpr std::size_t kMaxNeighbours = 8;

/// \brief Returns the names of this member's neighbours, to which it pushes
/// changes.
///
/// If all members have the same view, the directed graph from each member to
/// its neighbours is strongly connected.
std::vector<std::string> SelectNeighbours(const Membership& membership);

}  // namespace comfrey

#endif  // CORE_NEIGHBOUR_SELECTION_H_
