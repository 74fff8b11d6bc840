/// \file
/// Requests of callers: submitting, querying and cancelling jobs, and the number of pending jobs.
#ifndef MASTICDRIFT_DAEMON_ENTRYSERVICE_H
#define MASTICDRIFT_DAEMON_ENTRYSERVICE_H

#include "masticdrift/daemon/FleetContext.h"
#include "masticdrift/daemon/JobWriter.h"
#include "masticdrift/daemon/LeaderDriver.h"
#include "masticdrift/daemon/SubmissionAttempts.h"
#include "masticdrift/daemon/TopicTail.h"
#include "masticdrift/http/Server.h"
#include "masticdrift/protocol/PeerMessages.h"
#include "platform/Ingress.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace masticdrift::daemon {

/// Serves the requests of callers. Every daemon accepts every job and refuses at once what it
/// cannot serve.
class EntryService {
public:
  /// \param JobTail the tail that fills the context's job table.
  /// \param SpecWriter appends the steps of jobs.
  /// \param RecordWriter appends all other records of jobs.
  /// \param Leader tells which daemon leads.
  EntryService(FleetContext &Context, TopicTail &JobTail, JobWriter &SpecWriter,
               JobWriter &RecordWriter, LeaderDriver &Leader);

  void handle(const http::Request &HttpRequest, const http::Responder &Respond);

  /// Appends a record that another daemon forwards, because this one leads or because the other one
  /// cannot reach the store.
  ///
  /// \param OnDone called once with the outcome.
  void submitForPeer(protocol::SubmitRequest Call,
                     std::function<void(protocol::SubmitReply)> OnDone);

  /// Forgets attempts to submit jobs whose outcome has become clear. To be called periodically.
  void forgetSettledAttempts() { Attempts_.forgetSettled(JobTail_.readUpTo()); }

  /// \returns the number of requests that have not been answered.
  std::size_t openRequests() const { return OpenRequests_; }

private:
  struct PendingRequest;
  using StateCallback = std::function<void(work::JobState, work::FailureReason)>;
  void submit(const std::shared_ptr<PendingRequest> &Request, const std::string &Body);
  void cancel(const std::shared_ptr<PendingRequest> &Request);
  void queryState(const std::shared_ptr<PendingRequest> &Request);
  /// \returns true if the caller may query and cancel the job.
  static bool mayAccess(const PendingRequest &Request, const protocol::JobStateReply &Job);
  /// Determines the customer and the state of a job: from this daemon's job table if the job is
  /// final there, otherwise from the leader or from the complete log.
  ///
  /// \param OnState called with the state; a request for an unknown job, or for one that
  ///   mayAccess() denies, is refused instead.
  void resolveState(const std::shared_ptr<PendingRequest> &Request, StateCallback OnState);
  void queryLeader(const std::shared_ptr<PendingRequest> &Request, const std::string &LeaderAddress,
                   StateCallback OnState);
  void resolveLocally(const std::shared_ptr<PendingRequest> &Request, const StateCallback &OnState);
  void onStateReply(const std::shared_ptr<PendingRequest> &Request, std::string_view Source,
                    const protocol::JobStateReply &Reply, const StateCallback &OnState);
  /// A job record to store and the job's steps, which are empty for a cancellation.
  struct StoreRequest {
    work::LogRecord Record_;
    std::string Spec_;
    std::string Customer_;
    std::size_t MemoryBytes_ = 0; ///< that the job takes in a leader; 0 for a cancellation
  };
  void store(const std::shared_ptr<PendingRequest> &Request, StoreRequest Write,
             std::function<void(WriteOutcome)> OnDone);
  /// Refuses a write at once while the log service can't be read.
  void appendUnlessFailing(StoreRequest Write, core::TimePoint Deadline,
                           std::function<void(WriteOutcome)> OnDone);
  /// Appends the steps before the record, so that the log never contains a record without its
  /// steps.
  void append(StoreRequest Write, core::TimePoint Deadline,
              std::function<void(WriteOutcome)> OnDone);
  std::vector<work::LogRecord> entriesFor(work::LogRecord Entry) const;
  void forwardToLeader(const std::shared_ptr<PendingRequest> &Request,
                       const std::string &LeaderAddress, StoreRequest Write,
                       std::function<void(WriteOutcome)> OnDone);
  void answerWrite(const std::shared_ptr<PendingRequest> &Request, WriteOutcome Outcome);
  /// \returns the answer to a submission that this daemon, as leader, does not accept.
  std::optional<protocol::SubmitReply> refusalForPeer(const protocol::SubmitRequest &Call,
                                                      const std::string &Id);
  void refuse(const std::shared_ptr<PendingRequest> &Request, core::ErrorKind Kind,
              std::string_view Message);

  FleetContext &Context_;
  TopicTail &JobTail_;
  JobWriter &SpecWriter_;
  JobWriter &RecordWriter_;
  LeaderDriver &Leader_;
  SubmissionAttempts Attempts_;
  std::size_t OpenRequests_ = 0;
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_ENTRYSERVICE_H
