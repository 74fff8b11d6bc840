/// \file
/// Records of durable work on a domain stream.
#ifndef MASTICDRIFT_JOBS_RECORDS_H
#define MASTICDRIFT_JOBS_RECORDS_H

#include "masticdrift/jobs/Job.h"
#include "masticdrift/journal/Batch.h"
#include "masticdrift/journal/Snapshot.h"

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace masticdrift::jobs {

/// A job was taken over by the system; written by any daemon.
struct Accept {
  static constexpr journal::RecordType Type = journal::RecordType::Accept;
  JobSpec Job_;
  MSGPACK_DEFINE_ARRAY(Job_)
};

/// A caller wants a job to end; written by any daemon.
struct Cancel {
  static constexpr journal::RecordType Type = journal::RecordType::Cancel;
  std::string Job_;
  std::string RequestedBy_;
  MSGPACK_DEFINE_ARRAY(Job_, RequestedBy_)
};

/// The owner starts an attempt of a task.
struct Start {
  static constexpr journal::RecordType Type = journal::RecordType::Start;
  std::string Job_;
  std::uint32_t Task_ = 0;
  std::uint32_t Attempt_ = 0; ///< one above the task's last attempt
  std::string Worker_;
  std::uint64_t Term_ = 0;
  std::string LeaseGeneration_; ///< generation of the worker's lease under which the task may run
  MSGPACK_DEFINE_ARRAY(Job_, Task_, Attempt_, Worker_, Term_, LeaseGeneration_)
};

/// The owner knows how an attempt ended.
struct End {
  static constexpr journal::RecordType Type = journal::RecordType::End;
  std::string Job_;
  std::uint32_t Task_ = 0;
  std::uint32_t Attempt_ = 0;
  TaskOutcome Outcome_ = TaskOutcome::Succeeded;
  std::uint64_t Term_ = 0;
  std::int32_t ExitCode_ = 0;
  /// The owner wants the task to run again; has no effect where mayRunAgain() is false.
  bool RunAgain_ = false;
  MSGPACK_DEFINE_ARRAY(Job_, Task_, Attempt_, Outcome_, Term_, ExitCode_, RunAgain_)
};

/// The owner can't determine whether an attempt ran, and the task must not run twice.
struct Hold {
  static constexpr journal::RecordType Type = journal::RecordType::Hold;
  std::string Job_;
  std::uint32_t Task_ = 0;
  std::uint32_t Attempt_ = 0;
  std::string Reason_;
  std::uint64_t Term_ = 0;
  MSGPACK_DEFINE_ARRAY(Job_, Task_, Attempt_, Reason_, Term_)
};

/// Body of Snapshot records.
using Snapshot = journal::SnapshotPart;

/// \returns the entry of one of the records above.
template <typename T> journal::Entry toEntry(const T &Record) {
  return journal::makeEntry(T::Type, Record);
}

} // namespace masticdrift::jobs

#endif // MASTICDRIFT_JOBS_RECORDS_H
