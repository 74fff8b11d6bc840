/// \file
/// Accepts, cancels and reports durable jobs of all domains.
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

/// \returns the home domain of a job, the same at every daemon: the highest hash of domain, team
/// and request id. Empty without domains.
std::string_view homeDomain(std::span<const config::Domain> Domains, std::string_view Team,
                            std::string_view RequestId);

/// \returns the stream of a domain.
std::string domainStreamName(std::string_view Domain);

/// \returns the domain part of a job id, empty when it has none.
std::string_view domainOfJob(std::string_view JobId);

/// Answer to a read or a submission: JSON text, or an error.
using JobCallback = std::function<void(core::Failure, std::string Json)>;

/// Thread-safe. Callbacks may run on any thread and must not block.
class JobService {
public:
  JobService(JobServiceOptions Options, DomainStream &OwnStream, const Controller &DomainController,
             legacy::LogClient &Log, core::Timers &Timers, protocol::Link &PeerLink,
             const membership::PeerTable &PeerTable);
  JobService(const JobService &) = delete;
  JobService &operator=(const JobService &) = delete;
  ~JobService();

  /// Accepts a job durably. The JSON is the job's state; for a repeated request id that of the
  /// first submission, with "duplicate": true. Errors: StoreUnavailable (certainly not accepted),
  /// AppendUnknown.
  void accept(jobs::JobSpec Spec, JobCallback Done);

  /// Asks for the end of jobs, all in one append per domain. Errors as accept().
  void cancel(std::span<const std::string> Ids, std::string_view By,
              std::function<void(core::Failure)> Done);

  /// Reports one job. \p Team restricts to a team's jobs, empty for operators. Errors: UnknownJob,
  /// PeerUnreachable.
  void status(std::string_view Id, std::string_view Team, JobCallback Done);

  /// Lists the jobs of a team in all reachable domains.
  void list(std::string_view Team, std::span<const std::string> Domains, JobCallback Done);

  /// Answers a JobQuery of another daemon.
  void onQuery(const protocol::Envelope &Message);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace masticdrift::cell

#endif // MASTICDRIFT_CELL_JOBSERVICE_H
