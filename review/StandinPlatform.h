/// \file
/// A small site of the users' platform for the scripts of this review: a store with limits and
/// expiry, executors, advice, daemons as separate processes, and a client. Everything listens on
/// 127.0.0.1.
#ifndef MASTICDRIFT_REVIEW_STANDINPLATFORM_H
#define MASTICDRIFT_REVIEW_STANDINPLATFORM_H

#include "masticdrift/http/LoopClient.h"
#include "standins/common/Program.h"

#include <deque>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

namespace masticdrift::review {

using standins::Json;
using standins::Reply;
using standins::ReplyCallback;
using Millis = std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

/// Milliseconds since the program began, for the record.
std::int64_t elapsedMs();

/// The file record.txt: what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &Path) : File_(Path) {}
  void note(const std::string &Line);

private:
  std::ofstream File_;
};

/// The platform's store: topics with one partition and the newest record of each key.
class Store {
public:
  /// \param Keep time for which the history of a topic is kept.
  Store(asio::io_context &Io, Millis Keep) : Io_(Io), Keep_(Keep) {}

  /// Serves a call that has reached the store.
  void handle(const http::Request &Incoming, const ReplyCallback &Answer);
  void put(const std::string &Topic, const std::string &Key, const std::string &Value);
  /// \returns the newest value of a key, or nothing.
  std::optional<std::string> newest(const std::string &Topic, const std::string &Key) const;
  /// \returns the number of appends that were rejected because of their size.
  std::size_t oversizedAppends() const { return OversizedAppends_; }
  /// \returns the bytes that were appended to a topic.
  std::size_t bytesAppended(const std::string &Topic) const;
  std::size_t largestRejectedBytes() const { return LargestRejectedBytes_; }

private:
  struct Entry {
    std::string Key_;
    std::string Value_;
    SteadyTime StoredAt_;
  };
  struct Producer {
    std::uint64_t Epoch_ = 0;
    std::uint64_t NextSequence_ = 0;
    std::deque<std::pair<std::uint64_t, Reply>> Replies_; ///< of the last five appends
  };
  struct Topic {
    std::size_t Bytes_ = 0;   ///< appended so far
    std::uint64_t First_ = 0; ///< offset of the first entry of the history
    std::deque<Entry> History_;
    std::map<std::string, std::pair<std::uint64_t, std::string>> Newest_;
    std::map<std::string, Producer> Producers_;
    std::vector<std::function<void()>> Readers_;
    std::uint64_t end() const { return First_ + History_.size(); }
  };

  Reply append(Topic &Target, const http::Request &Incoming);
  Reply storeRecords(Topic &Target, const std::string &Body);
  void read(Topic &Source, const http::Request &Incoming, const ReplyCallback &Answer);
  Reply readReply(Topic &Source, std::uint64_t From, std::size_t MaxBytes);
  static Reply newestReply(const Topic &Source, const std::string &AfterKey);
  void expire(Topic &Target) const;

  asio::io_context &Io_;
  const Millis Keep_;
  std::map<std::string, Topic> Topics_;
  std::size_t OversizedAppends_ = 0;
  std::size_t LargestRejectedBytes_ = 0;
};

/// One run at an executor, as the executor has seen it.
struct SeenRun {
  std::string Task_;
  std::uint64_t Run_ = 0;
  std::string Executor_;
  std::int64_t StartedMs_ = 0;
  std::int64_t EndedMs_ = -1;
  std::string How_;
  std::int64_t NotedMs_ = -1; ///< when the end was taken note of
};

/// An executor that does not guard its capacity.
class Executor {
public:
  Executor(asio::io_context &Io, Store &Registry, std::string Id, std::string Zone, int MilliCores,
           int MemoryMb);

  /// Cuts it off, or heals the cut: cut off, it answers nothing and sends no heartbeats, and what
  /// runs there goes on.
  void cutOff(bool Cut) { Silent_ = Cut; }

  const std::vector<SeenRun> &runs() const { return Seen_; }
  std::size_t running() const { return Running_.size(); }
  const std::string &id() const { return Id_; }

private:
  struct Task {
    std::size_t SeenIndex_ = 0;
    SteadyTime StartedAt_;
    Millis RunTime_{0};
  };

  std::int64_t clockMs() const;
  void handle(const http::Request &Incoming, const ReplyCallback &Answer);
  Reply start(const Json &Order);
  Reply stop(const Json &Order);
  void hold(const Json &Order, const ReplyCallback &Answer);
  Reply report() const;
  void renew(const Json &Order);
  void checkLease();
  void end(const std::string &Name, const char *How);
  void announce();

  asio::io_context &Io_;
  Store &Registry_;
  const std::string Id_;
  const std::string Zone_;
  const int MilliCores_;
  const int MemoryMb_;
  const SteadyTime BornAt_;
  const std::int64_t BornMs_;
  bool Silent_ = false;
  std::uint64_t Sequence_ = 0;
  int MissedHeartbeats_ = 0;
  std::uint64_t Fence_ = 0;
  std::int64_t LeaseEndMs_ = 0;
  std::map<std::string, Task> Running_;
  std::map<std::string, std::uint64_t> LastEnded_; ///< highest stopped or ended run by task
  std::deque<std::pair<std::uint64_t, std::size_t>> Ended_; ///< number, index in Seen_
  std::uint64_t NextEnd_ = 1;
  std::vector<std::function<void()>> Waiting_;
  std::vector<SeenRun> Seen_;
  standins::HttpStub Server_;
};

/// What a site has.
struct SiteOptions {
  std::string Folder_;             ///< for settings and logs
  std::string Daemon_;             ///< path of masticdriftd
  std::vector<std::string> Zones_; ///< of the daemons, one each
  int Executors_ = 8;
  int MilliCores_ = 16'000;
  int MemoryMb_ = 32'768;
  int StatusSeconds_ = 120;
  Millis Keep_{20'000};
  Json UpperLimit_; ///< of the tenant
};

/// The whole site. Use from one thread.
class Site {
public:
  Site(const SiteOptions &Options, Record &Log);
  Site(const Site &) = delete;
  Site &operator=(const Site &) = delete;
  ~Site();

  /// Lets everything run for a while.
  void run(Millis Time);
  /// Waits until \p Condition holds. \returns false when \p Timeout passes before.
  bool await(Millis Timeout, const std::function<bool()> &Condition);

  /// Sends a call of the tenant. \returns the status, 0 without a complete answer.
  int call(std::size_t Daemon, const std::string &Method, const std::string &Path,
           const std::string &Body = {}, std::string *AnswerBody = nullptr);
  /// \returns the state that a daemon shows of a job, or the status as text.
  std::string stateOf(std::size_t Daemon, const std::string &JobId);

  bool ready(std::size_t Daemon);
  /// \returns true when the daemon answers at all within 0.5 s.
  bool answers(std::size_t Daemon);
  bool leads(std::size_t Daemon);
  /// \returns the daemon that leads, if one does.
  std::optional<std::size_t> leader();
  /// Ends the process of a daemon with SIGKILL.
  void kill(std::size_t Daemon);
  /// Sends SIGTERM to a daemon, as before a planned stop.
  void terminate(std::size_t Daemon);
  /// Stops the process of a daemon with SIGSTOP, or continues it.
  void freeze(std::size_t Daemon, bool Frozen);
  /// Starts the process of a daemon, again with the same settings.
  void launch(std::size_t Daemon);
  bool alive(std::size_t Daemon);
  /// Cuts a daemon off from the store, silently, or heals the cut.
  void cutFromStore(std::size_t Daemon, bool Cut);

  Store &store() { return Store_; }
  std::vector<std::unique_ptr<Executor>> &executors() { return Executors_; }
  std::size_t daemons() const { return Daemons_.size(); }

private:
  struct Daemon {
    std::string Name_;
    std::string SettingsFile_;
    std::string OutputFile_;
    std::string Frontend_;
    std::string Ready_;
    std::string Peer_;
    bool Cut_ = false;
    pid_t Process_ = 0;
    std::unique_ptr<standins::HttpStub> StoreLink_;
  };

  http::ClientResult send(const std::string &Method, const std::string &Url,
                          const std::string &Body, http::Headers Headers,
                          Millis Timeout = Millis(3000));
  void addDaemon(const SiteOptions &Options, std::size_t Index);
  static void advise(const http::Request &Incoming, const ReplyCallback &Answer);

  asio::io_context Io_;
  Record &Log_;
  const std::string Program_;
  Store Store_;
  http::LoopClient Client_;
  standins::HttpStub Advice_;
  std::vector<std::unique_ptr<Executor>> Executors_;
  std::vector<std::unique_ptr<Daemon>> Daemons_;
};

/// Path of the only queue; a job id is appended.
inline constexpr const char *QueuePath = "/batches/";

/// \returns the id of the job to which a task belongs.
std::string jobOf(const std::string &Task);

} // namespace masticdrift::review

#endif // MASTICDRIFT_REVIEW_STANDINPLATFORM_H
