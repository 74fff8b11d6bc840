/// \file
/// Submission, cancellation and status of durable jobs in all domains.
#ifndef MASTICDRIFT_CELL_JOBSERVICE_H
#define MASTICDRIFT_CELL_JOBSERVICE_H

#include "masticdrift/cell/Controller.h"
#include "masticdrift/cell/DomainStream.h"
#include "masticdrift/config/Configuration.h"
#include "masticdrift/membership/PeerTable.h"
#include "masticdrift/protocol/Link.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace masticdrift::cell {

struct JobServiceOptions {
  std::string Instance_;
  std::string Domain_;
  std::uint64_t Incarnation_ = 0;
  core::Duration BatchCloseDelay_ = core::Millis(20);
  double AppendsPerSecond_ = 20;
};

/// Selects the home domain of a job by rendezvous hashing of domain, team and request id, so that
/// all daemons select the same one.
///
/// \returns the domain's name; empty if \p Domains is empty.
std::string_view homeDomain(std::span<const config::Domain> Domains, std::string_view Team,
                            std::string_view RequestId);

/// \returns the name of a domain's stream.
std::string domainStreamName(std::string_view Domain);

/// \returns the domain part of a job id; empty if it has none.
std::string_view domainOfJob(std::string_view JobId);

/// Receives the result of a read or a submission: a failure, or the answer as JSON text.
using JobCallback = std::function<void(core::Failure, std::string Json)>;

/// Handles durable jobs of all domains, through the owners of the other domains where needed.
///
/// Thread-safe. Callbacks may run on any thread and must not block.
class JobService {
public:
  JobService(JobServiceOptions Options, DomainStream &OwnStream, const Controller &DomainController,
             legacy::LogClient &Log, core::Timers &Timers, protocol::Link &PeerLink,
             const membership::PeerTable &PeerTable);
  JobService(const JobService &) = delete;
  JobService &operator=(const JobService &) = delete;
  ~JobService();

  /// Accepts a job durably. The answer is the job's state; for a repeated request id it is the
  /// state of the first submission, with "duplicate": true.
  ///
  /// Errors: StoreUnavailable if the job was certainly not accepted, AppendUnknown if it may have
  /// been accepted.
  void accept(jobs::JobSpec Spec, JobCallback Done);

  /// Requests the cancellation of jobs, with one append per domain.
  ///
  /// Errors: StoreUnavailable, BodyTooLarge or Stopping if a domain's cancellations were certainly
  /// not recorded, AppendUnknown if they may have been recorded. If several appends fail, the first
  /// failure is reported; the cancellations of the other domains may have been recorded all the
  /// same.
  void cancel(std::span<const std::string> Ids, std::string_view By,
              std::function<void(core::Failure)> Done);

  /// Reports the state of one job.
  ///
  /// \param Team the team whose jobs are visible; empty for operators, who see all.
  ///
  /// Errors: UnknownJob if the job does not exist or belongs to another team, PeerUnreachable if no
  /// daemon of the job's domain is known or the queried one does not answer.
  void status(std::string_view Id, std::string_view Team, JobCallback Done);

  /// Lists the jobs of a team in all reachable domains, and the domains that were not reachable.
  void list(std::string_view Team, std::span<const std::string> Domains, JobCallback Done);

  /// Answers a JobQuery from another daemon.
  void onQuery(const protocol::Envelope &Message);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::cell

#endif // MASTICDRIFT_CELL_JOBSERVICE_H
