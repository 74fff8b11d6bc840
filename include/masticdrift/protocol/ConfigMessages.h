/// \file
/// Messages with which a daemon gets the configuration from another one that reads the log service.
///
/// A configuration of thousands of queues is close to a megabyte. Only one daemon of each failure
/// domain reads it over the links to the log service; the others get a compressed copy from it.
#ifndef MASTICDRIFT_PROTOCOL_CONFIGMESSAGES_H
#define MASTICDRIFT_PROTOCOL_CONFIGMESSAGES_H

#include "masticdrift/work/Evacuations.h"

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace masticdrift::protocol {

inline constexpr const char *ConfigPath = "/peer/config";

/// Asks for the newest configuration, or for a sign that there is no newer one.
struct ConfigRequest {
  std::uint64_t FromOffset_ = 0; ///< the sender has read the topic up to this offset
  std::int64_t WaitMs_ = 0;      ///< limit of the wait for the receiver's next read of the topic
  MSGPACK_DEFINE_ARRAY(FromOffset_, WaitMs_)
};

/// Answer to a ConfigRequest.
struct ConfigReply {
  bool Known_ = false; ///< false: the receiver has not read the topic yet; nothing else is valid
  /// The reply contains all that was stored this long after the arrival of the request. Negative
  /// when the last read of the topic was answered before.
  std::int64_t ReadUpToMs_ = 0;
  std::uint64_t NextOffset_ = 0;              ///< the receiver has read the topic up to this offset
  std::uint64_t Offset_ = 0;                  ///< offset of the configuration
  std::uint64_t Size_ = 0;                    ///< size of the configuration before compression
  std::string Compressed_;                    ///< the configuration; empty when none is newer
  std::vector<work::Evacuation> Evacuations_; ///< all that are in force up to NextOffset_
  MSGPACK_DEFINE_ARRAY(Known_, ReadUpToMs_, NextOffset_, Offset_, Size_, Compressed_, Evacuations_)
};

} // namespace masticdrift::protocol

#endif // MASTICDRIFT_PROTOCOL_CONFIGMESSAGES_H
