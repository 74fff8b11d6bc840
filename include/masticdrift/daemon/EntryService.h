/// \file
/// Callers' requests: submit, look, cancel, and the number of waiting jobs.
#ifndef MASTICDRIFT_DAEMON_ENTRYSERVICE_H
#define MASTICDRIFT_DAEMON_ENTRYSERVICE_H

#include "masticdrift/daemon/FleetContext.h"
#include "masticdrift/daemon/JobWriter.h"
#include "masticdrift/daemon/LeaderDriver.h"
#include "masticdrift/daemon/TopicTail.h"
#include "masticdrift/http/Server.h"
#include "masticdrift/protocol/Fleet.h"
#include "platform/Ingress.h"

#include <functional>
#include <string>
#include <vector>

namespace masticdrift::daemon {

/// Answers callers. Every daemon takes every job; what it can't do it refuses at once.
class EntryService {
public:
  /// \param SpecWriter writes the steps of jobs, \p RecordWriter everything else about them.
  EntryService(FleetContext &Context, TopicTail &JobTail, JobWriter &SpecWriter,
               JobWriter &RecordWriter, LeaderDriver &Leader);

  void handle(const http::Request &HttpRequest, const http::Responder &Respond);

  /// Appends a record for a daemon that can't reach the store.
  void submitForPeer(protocol::SubmitCall Call, std::function<void(protocol::SubmitReply)> OnDone);

  /// \returns requests that have no answer yet.
  std::size_t openRequests() const { return OpenRequests_; }

private:
  struct PendingRequest;
  using StateCallback = std::function<void(work::JobState)>;
  void submit(const std::shared_ptr<PendingRequest> &Request, const std::string &Body);
  void cancel(const std::shared_ptr<PendingRequest> &Request);
  void queryState(const std::shared_ptr<PendingRequest> &Request);
  /// Finds out whose job it is and its state: from this daemon's table when it is final there, from
  /// the leader, or from the whole log.
  ///
  /// \param OnState gets the state; an unknown job, or one of another customer, is refused instead.
  void resolveState(const std::shared_ptr<PendingRequest> &Request, StateCallback OnState);
  void queryLeader(const std::shared_ptr<PendingRequest> &Request, const std::string &LeaderAddress,
                   StateCallback OnState);
  void resolveLocally(const std::shared_ptr<PendingRequest> &Request, const StateCallback &OnState);
  void onStateReply(const std::shared_ptr<PendingRequest> &Request, std::string_view Source,
                    const protocol::LookReply &Reply, const StateCallback &OnState);
  /// A record and the job's steps, which are empty for a cancel.
  struct StoreRequest {
    work::LedgerEntry Record_;
    std::string Spec_;
  };
  void store(const std::shared_ptr<PendingRequest> &Request, StoreRequest Write,
             std::function<void(WriteOutcome)> OnDone);
  /// Appends the steps and then the record, so that no record stands without its steps.
  void append(StoreRequest Write, core::TimePoint Deadline,
              std::function<void(WriteOutcome)> OnDone);
  std::vector<work::LedgerEntry> entriesFor(work::LedgerEntry Entry) const;
  void forwardToLeader(const std::shared_ptr<PendingRequest> &Request,
                       const std::string &LeaderAddress, StoreRequest Write,
                       std::function<void(WriteOutcome)> OnDone);
  void answerWrite(const std::shared_ptr<PendingRequest> &Request, WriteOutcome Outcome);
  void refuse(const std::shared_ptr<PendingRequest> &Request, core::ErrorKind Kind,
              std::string_view Message);

  FleetContext &Context_;
  TopicTail &JobTail_;
  JobWriter &SpecWriter_;
  JobWriter &RecordWriter_;
  LeaderDriver &Leader_;
  std::size_t OpenRequests_ = 0;
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_ENTRYSERVICE_H
