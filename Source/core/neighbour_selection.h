#ifndef CORE_NEIGHBOUR_SELECTION_H_
#define CORE_NEIGHBOUR_SELECTION_H_

#include <cstddef>
#include <string>
#include <vector>

#include "core/membership.h"

namespace comfrey {

/// \brief Most neighbours that a member pushes to.
constexpr std::size_t kMaxNeighbours = 8;

/// \brief Selects the names of the members to which this member pushes.
///
/// With equal views, the directed graph of all members is strongly connected.
std::vector<std::string> SelectNeighbours(const Membership& membership);

}  // namespace comfrey

#endif  // CORE_NEIGHBOUR_SELECTION_H_
