/// \file
/// Records of the ownership lease in a domain stream.
#ifndef MASTICDRIFT_OWNERSHIP_RECORDS_H
#define MASTICDRIFT_OWNERSHIP_RECORDS_H

#include "masticdrift/core/Pack.h"
#include "masticdrift/journal/RecordType.h"

#include <cstdint>
#include <string>

namespace masticdrift::ownership {

/// An instance becomes a member of the domain. A higher incarnation replaces the lower one.
struct Join {
  std::string Instance_;
  std::uint64_t Incarnation_ = 0;
  std::string Address_;
  MSGPACK_DEFINE_ARRAY(Instance_, Incarnation_, Address_)
};

/// A member leaves as planned. Ends this incarnation and all earlier ones.
struct Leave {
  std::string Instance_;
  std::uint64_t Incarnation_ = 0;
  MSGPACK_DEFINE_ARRAY(Instance_, Incarnation_)
};

/// A dead member is removed.
struct Evict {
  std::string Instance_;
  std::uint64_t Incarnation_ = 0;
  std::uint64_t Term_ = 0; ///< term in force when it was written
  MSGPACK_DEFINE_ARRAY(Instance_, Incarnation_, Term_)
};

/// A member takes the lease if \p BaseVersion_ is still the version.
struct Claim {
  std::string Instance_;
  std::uint64_t Incarnation_ = 0;
  std::uint64_t Term_ = 0;
  std::uint64_t BaseVersion_ = 0;
  std::uint64_t Nonce_ = 0; ///< lets the claimant find the send time of this copy
  MSGPACK_DEFINE_ARRAY(Instance_, Incarnation_, Term_, BaseVersion_, Nonce_)
};

/// The owner extends its lease.
struct Renew {
  std::string Instance_;
  std::uint64_t Incarnation_ = 0;
  std::uint64_t Term_ = 0;
  std::uint64_t OwnerReadOffset_ = 0; ///< offset up to which the owner had read
  std::uint64_t Nonce_ = 0;
  MSGPACK_DEFINE_ARRAY(Instance_, Incarnation_, Term_, OwnerReadOffset_, Nonce_)
};

/// The owner gives the lease up after its last request has ended.
struct Release {
  std::string Instance_;
  std::uint64_t Incarnation_ = 0;
  std::uint64_t Term_ = 0;
  MSGPACK_DEFINE_ARRAY(Instance_, Incarnation_, Term_)
};

} // namespace masticdrift::ownership

#endif // MASTICDRIFT_OWNERSHIP_RECORDS_H
