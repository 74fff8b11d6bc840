/// \file
/// Records of the ownership protocol in a domain stream.
#ifndef MASTICDRIFT_OWNERSHIP_RECORDS_H
#define MASTICDRIFT_OWNERSHIP_RECORDS_H

#include "masticdrift/core/Pack.h"
#include "masticdrift/journal/RecordType.h"

#include <cstdint>
#include <string>

namespace masticdrift::ownership {

/// Adds an instance to the domain's members. A higher incarnation replaces a lower one.
struct Join {
  std::string Instance_;
  std::uint64_t Incarnation_ = 0;
  std::string Address_;
  MSGPACK_DEFINE_ARRAY(Instance_, Incarnation_, Address_)
};

/// Removes a member that stops gracefully; ends this incarnation and all earlier ones.
struct Leave {
  std::string Instance_;
  std::uint64_t Incarnation_ = 0;
  MSGPACK_DEFINE_ARRAY(Instance_, Incarnation_)
};

/// Removes a member that no longer replies or was terminated.
struct Evict {
  std::string Instance_;
  std::uint64_t Incarnation_ = 0;
  std::uint64_t Term_ = 0; ///< term in force when it was written
  MSGPACK_DEFINE_ARRAY(Instance_, Incarnation_, Term_)
};

/// Acquires the lease for a member if \p BaseVersion_ is still the current version.
struct Claim {
  std::string Instance_;
  std::uint64_t Incarnation_ = 0;
  std::uint64_t Term_ = 0;
  std::uint64_t BaseVersion_ = 0;
  std::uint64_t Nonce_ = 0; ///< identifies the append, so that the claimant finds its send time
  MSGPACK_DEFINE_ARRAY(Instance_, Incarnation_, Term_, BaseVersion_, Nonce_)
};

/// Extends the owner's lease.
struct Renew {
  std::string Instance_;
  std::uint64_t Incarnation_ = 0;
  std::uint64_t Term_ = 0;
  std::uint64_t OwnerReadOffset_ = 0; ///< the owner had read all records up to here
  std::uint64_t Nonce_ = 0;
  MSGPACK_DEFINE_ARRAY(Instance_, Incarnation_, Term_, OwnerReadOffset_, Nonce_)
};

/// Ends the owner's lease; written after its last request has ended.
struct Release {
  std::string Instance_;
  std::uint64_t Incarnation_ = 0;
  std::uint64_t Term_ = 0;
  MSGPACK_DEFINE_ARRAY(Instance_, Incarnation_, Term_)
};

} // namespace masticdrift::ownership

#endif // MASTICDRIFT_OWNERSHIP_RECORDS_H
