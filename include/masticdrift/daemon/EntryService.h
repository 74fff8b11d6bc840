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
  /// \param Specs writes the steps of jobs, \p Writer everything else about them.
  EntryService(FleetContext &Context, TopicTail &Jobs, JobWriter &Specs, JobWriter &Writer,
               LeaderDriver &Leader);

  void handle(const http::Request &From, const http::Responder &To);

  /// Appends a record for a daemon that can't reach the store.
  void submitFor(protocol::SubmitCall Call, std::function<void(protocol::SubmitReply)> Done);

  /// \returns requests that have no answer yet.
  std::size_t open() const { return Open_; }

private:
  struct Call;
  using Found = std::function<void(work::JobState)>;
  void submit(const std::shared_ptr<Call> &Of, const std::string &Body);
  void cancel(const std::shared_ptr<Call> &Of);
  void look(const std::shared_ptr<Call> &Of);
  /// Finds out whose job it is and its state: from this daemon's table when it is final there, from
  /// the leader, or from the whole log.
  ///
  /// \param Then gets the state; an unknown job, or one of another customer, is refused instead.
  void resolve(const std::shared_ptr<Call> &Of, Found Then);
  void askLeader(const std::shared_ptr<Call> &Of, const std::string &Leader, Found Then);
  void resolveHere(const std::shared_ptr<Call> &Of, const Found &Then);
  void resolved(const std::shared_ptr<Call> &Of, std::string_view Source,
                const protocol::LookReply &Reply, const Found &Then);
  /// A record and the job's steps, which are empty for a cancel.
  struct Submission {
    work::LogRecord Record_;
    std::string Spec_;
  };
  void store(const std::shared_ptr<Call> &Of, Submission What,
             std::function<void(WriteOutcome)> Done);
  /// Appends the steps and then the record, so that no record stands without its steps.
  void append(Submission What, core::TimePoint Deadline, std::function<void(WriteOutcome)> Done);
  std::vector<work::LogRecord> entriesFor(work::LogRecord Entry) const;
  void relay(const std::shared_ptr<Call> &Of, const std::string &Leader, Submission What,
             std::function<void(WriteOutcome)> Done);
  void answerWrite(const std::shared_ptr<Call> &Of, WriteOutcome Outcome);
  void refuse(const std::shared_ptr<Call> &Of, core::ErrorKind Kind, std::string_view Message);

  FleetContext &Context_;
  TopicTail &Jobs_;
  JobWriter &Specs_;
  JobWriter &Writer_;
  LeaderDriver &Leader_;
  std::size_t Open_ = 0;
};

} // namespace masticdrift::daemon

#endif // MASTICDRIFT_DAEMON_ENTRYSERVICE_H
