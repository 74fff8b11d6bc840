/// \file
/// Messages between the leader and the other daemons, encoded as MessagePack in HTTP bodies.
///
/// Each request has its own timeout, which also bounds the wait on connections that went silent.
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

/// What a daemon has learned from one call to the advice service. The verdicts hold for good, the
/// tickets only for a limited time.
struct KnownVerdicts {
  std::string JobId_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::vector<std::string> Allowed_;  ///< executors that may run the step
  std::vector<std::string> Tickets_;  ///< of Allowed_, in the same order
  std::vector<std::string> Excluded_; ///< executors that may not
  std::int64_t AgeMs_ = 0;            ///< time since the answer
  MSGPACK_DEFINE_ARRAY(JobId_, Occurrence_, Step_, Allowed_, Tickets_, Excluded_, AgeMs_)
};

/// Announces a daemon to the leader, about twice a second. The daemon can call the advice service
/// and relay orders for it.
struct Hello {
  std::string Instance_;
  std::string PeerAddress_;
  std::string Domain_;   ///< failure domain of the daemon
  double Cores_ = 0;     ///< processor share of its machine, in cores
  bool CanLead_ = false; ///< its machine is large enough and it can read the store
  double LinkMbps_ = 0;  ///< bandwidth of its machine's link
  /// With the first hello of a term: what the daemon has learned from calls for earlier leaders.
  std::vector<KnownVerdicts> Verdicts_;
  std::uint64_t WorkBytes_ = 0; ///< memory that its machine has for accepted jobs
  MSGPACK_DEFINE_ARRAY(Instance_, PeerAddress_, Domain_, Cores_, CanLead_, LinkMbps_, Verdicts_,
                       WorkBytes_)
};

/// The leader's answer to a Hello.
struct HelloReply {
  std::string Incarnation_;
  bool Standby_ = false; ///< the daemon is to prepare to take over
  /// The leader knows the daemons of the failure domain; false soon after it was elected.
  bool SourceKnown_ = false;
  /// Peer address of the daemon to get the configuration from; empty for the log service. Valid
  /// with SourceKnown_.
  std::string ConfigSource_;
  /// To a standby, from time to time: a packed lead::RunTimeSummary. Empty otherwise.
  std::string RunTimes_;
  std::uint64_t WorkLimitBytes_ = 0; ///< memory that accepted jobs may take in each daemon
  MSGPACK_DEFINE_ARRAY(Incarnation_, Standby_, SourceKnown_, ConfigSource_, RunTimes_,
                       WorkLimitBytes_)
};

/// Asks a daemon to make one call to the advice service for the leader.
struct AdviseRequest {
  std::string JobId_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::vector<std::string> Executors_;
  std::int64_t TimeoutMs_ = 0; ///< of the call
  MSGPACK_DEFINE_ARRAY(JobId_, Occurrence_, Step_, Executors_, TimeoutMs_)
};

/// The advice service's answer to an AdviseRequest.
struct AdviseReply {
  bool Answered_ = false;              ///< the advice service gave a usable answer
  std::vector<std::string> Executors_; ///< those that may run the step
  std::vector<std::string> Tickets_;   ///< of Executors_, in the same order
  MSGPACK_DEFINE_ARRAY(Answered_, Executors_, Tickets_)
};

/// Asks the leader to append a job record for a daemon.
struct SubmitRequest {
  std::string Key_;
  std::string Value_;
  std::string Spec_; ///< the job's steps, stored before the record; empty for a cancellation
  std::int64_t TimeoutMs_ = 0; ///< of the append
  MSGPACK_DEFINE_ARRAY(Key_, Value_, Spec_, TimeoutMs_)
};

/// Outcome of a SubmitRequest; unknown when neither flag is set.
struct SubmitReply {
  bool Stored_ = false;
  bool Refused_ = false;     ///< nothing was stored and nothing will be
  std::uint64_t Offset_ = 0; ///< of the job's acceptance record
  /// With Refused_, a lead::AdmissionOutcome: why the leader does not accept the job. 0 when the
  /// record could not be stored.
  std::uint8_t Admission_ = 0;
  std::int64_t RetryAfterMs_ = 0; ///< when coming back makes sense; 0 when it never does
  MSGPACK_DEFINE_ARRAY(Stored_, Refused_, Offset_, Admission_, RetryAfterMs_)
};

/// Asks the leader for the state of a job.
struct JobStateRequest {
  std::string JobId_;
  MSGPACK_DEFINE_ARRAY(JobId_)
};

/// The state of a job.
struct JobStateReply {
  bool Answered_ = false;          ///< false if the daemon does not lead
  bool Known_ = false;             ///< the job was found; a leader may not have read a new job yet
  std::string Customer_;           ///< owner of the job
  std::uint8_t State_ = 0;         ///< a work::JobState
  std::uint8_t FailureReason_ = 0; ///< a work::FailureReason
  std::string Queue_;              ///< queue of the job; empty from a daemon that does not send it
  MSGPACK_DEFINE_ARRAY(Answered_, Known_, Customer_, State_, FailureReason_, Queue_)
};

} // namespace masticdrift::protocol

#endif // MASTICDRIFT_PROTOCOL_PEERMESSAGES_H
