/// \file
/// Log records of durable jobs in the stream of a domain.
#ifndef MASTICDRIFT_JOBS_RECORDS_H
#define MASTICDRIFT_JOBS_RECORDS_H

#include "masticdrift/jobs/Job.h"
#include "masticdrift/journal/Batch.h"
#include "masticdrift/journal/Snapshot.h"

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace masticdrift::jobs {

/// Acceptance of a job. Any daemon may write it.
struct Accept {
  static constexpr journal::RecordType Type = journal::RecordType::Accept;
  JobSpec Job_;
  MSGPACK_DEFINE_ARRAY(Job_)
};

/// Request of a caller to cancel a job. Any daemon may write it.
struct Cancel {
  static constexpr journal::RecordType Type = journal::RecordType::Cancel;
  std::string Job_;
  std::string RequestedBy_;
  MSGPACK_DEFINE_ARRAY(Job_, RequestedBy_)
};

/// Start of an attempt of a task, written by the owner of the domain.
struct Start {
  static constexpr journal::RecordType Type = journal::RecordType::Start;
  std::string Job_;
  std::uint32_t Task_ = 0;
  std::uint32_t Attempt_ = 0; ///< number of the task's last attempt plus one
  std::string Worker_;
  std::uint64_t Term_ = 0;
  std::string LeaseGeneration_; ///< generation of the worker's lease under which the task may run
  MSGPACK_DEFINE_ARRAY(Job_, Task_, Attempt_, Worker_, Term_, LeaseGeneration_)
};

/// End of an attempt with a known outcome, written by the owner of the domain.
struct End {
  static constexpr journal::RecordType Type = journal::RecordType::End;
  std::string Job_;
  std::uint32_t Task_ = 0;
  std::uint32_t Attempt_ = 0;
  TaskOutcome Outcome_ = TaskOutcome::Succeeded;
  std::uint64_t Term_ = 0;
  std::int32_t ExitCode_ = 0;
  /// The owner requests another attempt. Ignored when mayRunAgain() is false.
  bool RunAgain_ = false;
  MSGPACK_DEFINE_ARRAY(Job_, Task_, Attempt_, Outcome_, Term_, ExitCode_, RunAgain_)
};

/// Hold of a task that must not run twice, because the owner of the domain cannot determine whether
/// its attempt ran.
struct Hold {
  static constexpr journal::RecordType Type = journal::RecordType::Hold;
  std::string Job_;
  std::uint32_t Task_ = 0;
  std::uint32_t Attempt_ = 0;
  std::string Reason_;
  std::uint64_t Term_ = 0;
  MSGPACK_DEFINE_ARRAY(Job_, Task_, Attempt_, Reason_, Term_)
};

/// Body of a Snapshot record.
using Snapshot = journal::SnapshotPart;

/// \returns the log entry for one of the records above.
template <typename T> journal::Entry toEntry(const T &Record) {
  return journal::makeEntry(T::Type, Record);
}

} // namespace masticdrift::jobs

#endif // MASTICDRIFT_JOBS_RECORDS_H
