/// \file
/// Failure domains that operators have asked to evacuate.
#ifndef MASTICDRIFT_WORK_EVACUATIONS_H
#define MASTICDRIFT_WORK_EVACUATIONS_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

namespace masticdrift::work {

/// Request to start nothing more on the executors of a failure domain.
struct Evacuation {
  std::string Domain_;
  std::uint64_t Offset_ = 0; ///< of the operator's record
  MSGPACK_DEFINE_ARRAY(Domain_, Offset_)

  bool operator==(const Evacuation &) const = default;
};

/// Effect of an operator's record on the evacuations.
enum class EvacuationChange {
  None, ///< repeats what is known
  Requested,
  Withdrawn,
  UnknownDomain, ///< names no failure domain of this deployment; nothing was changed
};

/// The evacuations in force.
class EvacuationTable {
public:
  /// \param KnownDomains the failure domains of the deployment. Without any, every name is taken.
  explicit EvacuationTable(std::set<std::string, std::less<>> KnownDomains = {})
      : KnownDomains_(std::move(KnownDomains)) {}

  /// Handles an operator's record.
  ///
  /// \param Withdrawn true when the record takes the evacuation back.
  /// \param Offset of the record. Records that are older than the last one for the domain have no
  /// effect.
  EvacuationChange apply(std::string_view Domain, bool Withdrawn, std::uint64_t Offset);

  /// Withdraws all evacuations but those of \p Domains, after the newest records were loaded.
  ///
  /// \returns the evacuations that were withdrawn.
  std::vector<Evacuation> retain(const std::set<std::string, std::less<>> &Domains);

  /// Takes over what another daemon has read.
  ///
  /// \returns true when the evacuations have changed.
  bool replace(const std::vector<Evacuation> &Evacuations);

  /// \returns the evacuations in force, in the order of the domains' names.
  std::vector<Evacuation> list() const;

  bool contains(std::string_view Domain) const { return Offsets_.contains(Domain); }

private:
  std::set<std::string, std::less<>> KnownDomains_;
  std::map<std::string, std::uint64_t, std::less<>> Offsets_; ///< of the requests, by domain
};

} // namespace masticdrift::work

#endif // MASTICDRIFT_WORK_EVACUATIONS_H
