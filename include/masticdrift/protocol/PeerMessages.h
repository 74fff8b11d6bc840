/// \file
/// Messages between a leader and the other daemons. They travel as msgpack in HTTP bodies: every
/// exchange is a call with a time limit of its own, which also bounds silent connections.
#ifndef MASTICDRIFT_PROTOCOL_PEERMESSAGES_H
#define MASTICDRIFT_PROTOCOL_PEERMESSAGES_H

#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace masticdrift::protocol {

inline constexpr const char *HelloPath = "/peer/hello";
inline constexpr const char *AdvisePath = "/peer/advise";
inline constexpr const char *SubmitPath = "/peer/submit";
inline constexpr const char *JobStatePath = "/peer/look";

/// A daemon offers its help to the leader, about twice a second.
struct Hello {
  std::string Instance_;
  std::string PeerAddress_;
  std::string Domain_;   ///< its failure domain
  double Cores_ = 0;     ///< processor share of its machine
  bool CanLead_ = false; ///< large enough, and the store answers it
  MSGPACK_DEFINE_ARRAY(Instance_, PeerAddress_, Domain_, Cores_, CanLead_)
};

/// The leader asks a daemon to make one call for advice.
struct AdviseRequest {
  std::string JobId_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::vector<std::string> Executors_;
  std::int64_t TimeoutMs_ = 0;
  MSGPACK_DEFINE_ARRAY(JobId_, Occurrence_, Step_, Executors_, TimeoutMs_)
};

struct AdviseReply {
  bool Answered_ = false;
  std::vector<std::string> Executors_; ///< that may run the step
  std::vector<std::string> Tickets_;   ///< in the same order
  MSGPACK_DEFINE_ARRAY(Answered_, Executors_, Tickets_)
};

/// A daemon asks the leader to append a record for it.
struct SubmitRequest {
  std::string Key_;
  std::string Value_;
  std::string Spec_; ///< the job's steps, stored before the record; empty for a cancel
  std::int64_t TimeoutMs_ = 0;
  MSGPACK_DEFINE_ARRAY(Key_, Value_, Spec_, TimeoutMs_)
};

struct SubmitReply {
  bool Stored_ = false;
  bool Refused_ = false; ///< nothing was done; neither flag means unknown
  std::uint64_t Offset_ = 0;
  MSGPACK_DEFINE_ARRAY(Stored_, Refused_, Offset_)
};

/// A daemon asks the leader for a job's state.
struct JobStateRequest {
  std::string JobId_;
  MSGPACK_DEFINE_ARRAY(JobId_)
};

struct JobStateReply {
  bool Answered_ = false;  ///< false from a daemon that does not lead
  bool Known_ = false;     ///< false may only mean that the leader has not read the job yet
  std::string Customer_;   ///< whose job it is
  std::uint8_t State_ = 0; ///< a work::JobState
  MSGPACK_DEFINE_ARRAY(Answered_, Known_, Customer_, State_)
};

} // namespace masticdrift::protocol

#endif // MASTICDRIFT_PROTOCOL_PEERMESSAGES_H
