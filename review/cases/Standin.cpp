// standin-cases: plays one case of the review and says whether the rule held.
// Usage: standin-cases CASE DAEMON FOLDER RECORD TROUBLE
#include "review/StandinPlatform.h"

#include <algorithm>
#include <iostream>

using namespace masticdrift;
using namespace masticdrift::review;

namespace {

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

constexpr Millis StartTimeout{15'000};
/// After the end of the traffic, before jobs are asked for (finish_s).
constexpr Millis FinishTime{14'000};
/// Time for which a job must have nothing running to count as lost.
constexpr Millis IdleTime{3000};

struct CaseOptions {
  SiteOptions Site_;
  bool Trouble_ = true;
};

std::string hexId(unsigned Number) {
  std::string Id = "c0ffee0000000000";
  for (std::size_t I = Id.size(); Number > 0; Number /= 16)
    Id[--I] = "0123456789abcdef"[Number % 16];
  return Id;
}

std::int64_t unixMs() {
  return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Json step(int Count, int MilliCores, int MemoryMb, int EstimatedMs) {
  return {
      {"count", Count}, {"cpu", MilliCores}, {"mem_mb", MemoryMb}, {"estimated_ms", EstimatedMs}};
}

bool begin(Site &Played, Record &Log) {
  const bool Started = Played.await(StartTimeout, [&] {
    for (std::size_t I = 0; I < Played.daemons(); ++I)
      if (!Played.ready(I))
        return false;
    return Played.leader().has_value();
  });
  Log.note(Started ? "all daemons are ready" : "the daemons did not become ready");
  return Started;
}

/// Hands a job in as a requester does: after anything but success the same id goes to another
/// daemon a second later, four times.
bool submit(Site &Played, Record &Log, const std::string &Id, const Json &Job) {
  constexpr int Tries = 5;
  for (int Try = 0; Try < Tries; ++Try) {
    const std::size_t Daemon = static_cast<std::size_t>(Try) % Played.daemons();
    if (!Played.alive(Daemon))
      continue;
    const int Status = Played.call(Daemon, "POST", QueuePath + Id, Job.dump());
    Log.note("POST " + Id + " at daemon " + std::to_string(Daemon + 1) + ": " +
             std::to_string(Status));
    if (Status >= 200 && Status < 300)
      return true;
    Played.run(Millis(1000));
  }
  return false;
}

/// \returns the number of the job's tasks that have ended done.
std::size_t doneTasks(Site &Played, const std::string &Job) {
  std::set<std::string> Done;
  for (const auto &Place : Played.executors())
    for (const SeenRun &Run : Place->runs())
      if (Run.How_ == "done" && jobOf(Run.Task_) == Job)
        Done.insert(Run.Task_);
  return Done.size();
}

std::string stateAnywhere(Site &Played, const std::string &Id) {
  for (std::size_t I = 0; I < Played.daemons(); ++I)
    if (Played.alive(I)) {
      std::string State = Played.stateOf(I, Id);
      if (State != "0" && State != "503")
        return State;
    }
  return "no answer";
}

/// Counts the jobs of \p Open that are lost: for 3 s nothing of them runs although their tasks wait
/// and less than half of the service's capacity is in use.
std::size_t countLost(Site &Played, Record &Log, const std::vector<std::string> &Open,
                      const SiteOptions &Options, int TaskMilliCores) {
  std::set<std::string> Busy;
  std::size_t MostRunning = 0;
  for (const SteadyTime End = std::chrono::steady_clock::now() + IdleTime + Millis(500);
       std::chrono::steady_clock::now() < End; Played.run(Millis(100))) {
    std::size_t Running = 0;
    for (const auto &Place : Played.executors()) {
      Running += Place->running();
      for (const SeenRun &Run : Place->runs())
        if (Run.EndedMs_ < 0)
          Busy.insert(jobOf(Run.Task_));
    }
    MostRunning = std::max(MostRunning, Running);
  }
  Log.note("for 3.5 s at most " + std::to_string(MostRunning) + " tasks ran on " +
           std::to_string(Played.executors().size()) + " executors");
  const bool HalfInUse = 2 * MostRunning * static_cast<std::size_t>(TaskMilliCores) >=
                         Played.executors().size() * static_cast<std::size_t>(Options.MilliCores_);
  std::size_t Lost = 0;
  for (const std::string &Id : Open) {
    const std::string State = stateAnywhere(Played, Id);
    if (HalfInUse || Busy.contains(Id) || State == "completed")
      continue;
    ++Lost;
    Log.note("lost: " + Id + " is shown as " + State + " and had nothing running");
  }
  return Lost;
}

// -- case: a progress record that the store does not take --

/// A scheduled batch is under way when the leading daemon is killed and one executor goes dark.
int playLargeBatch(const CaseOptions &Options, Record &Log) {
  constexpr int TasksPerRun = 20'000;
  constexpr int Runs = 2;
  constexpr int TaskMilliCores = 50;
  constexpr std::int64_t TrafficEndMs = 38'000;
  constexpr std::int64_t DownMs = 3000;
  Site Played(Options.Site_, Log);
  if (!begin(Played, Log))
    return CouldNotRun;
  const std::string Batch = hexId(1);
  const Json BatchJob{{"spec", "ms=4000"},
                      {"run_count", Runs},
                      {"first_run_ms", unixMs()},
                      {"interval_ms", 1000},
                      {"steps", Json::array({step(TasksPerRun, TaskMilliCores, 10, 4000)})}};
  const Json SmallJob{{"spec", "ms=300"}, {"steps", Json::array({step(4, 100, 50, 300)})}};
  if (!submit(Played, Log, Batch, BatchJob))
    return CouldNotRun;
  std::vector<std::string> Accepted{Batch};
  Played.run(Millis(1500));
  std::optional<std::size_t> Killed;
  if (Options.Trouble_) {
    Log.note("executor " + Played.executors().front()->id() + " is lost for good");
    Played.executors().front()->cutOff(true);
    Killed = Played.leader();
    if (!Killed)
      return CouldNotRun;
    Played.kill(*Killed);
  }
  const std::int64_t KilledMs = elapsedMs();
  for (unsigned I = 0; elapsedMs() < TrafficEndMs; ++I) {
    if (Killed && elapsedMs() > KilledMs + DownMs) {
      Played.launch(*Killed);
      Killed.reset();
    }
    const std::string Id = hexId(0x100 + I);
    if (submit(Played, Log, Id, SmallJob))
      Accepted.push_back(Id);
    Played.run(Millis(1000));
    Log.note("batch: " + std::to_string(doneTasks(Played, Batch)) + " of " +
             std::to_string(Runs * TasksPerRun) + " tasks done, " +
             std::to_string(Played.store().oversizedAppends()) +
             " appends rejected for their size (largest " +
             std::to_string(Played.store().largestRejectedBytes()) + " bytes)");
  }
  Log.note("end of the traffic");
  Played.run(FinishTime);
  std::vector<std::string> Open;
  for (const std::string &Id : Accepted) {
    const std::string State = stateAnywhere(Played, Id);
    if (State != "completed") {
      Open.push_back(Id);
      Log.note("GET " + Id + ": " + State + ", " + std::to_string(doneTasks(Played, Id)) +
               " tasks done");
    }
  }
  const std::size_t Lost = countLost(Played, Log, Open, Options.Site_, TaskMilliCores);
  Log.note(std::to_string(Accepted.size()) + " jobs accepted, " + std::to_string(Lost) + " lost");
  return Lost > 0 ? RuleBroken : RuleHeld;
}

// -- case: a leader that does not hand back the processor --

/// A large scheduled batch is under way when the leading daemon is killed and one executor is lost.
int playBlockedLeader(const CaseOptions &Options, Record &Log) {
  constexpr int TasksPerRun = 20'000;
  constexpr int Runs = 10;
  constexpr int TaskMilliCores = 50;
  constexpr Millis WatchTime{70'000};
  /// The callers' time limit.
  constexpr Millis LongestPause{3000};
  Site Played(Options.Site_, Log);
  if (!begin(Played, Log))
    return CouldNotRun;
  const std::string Batch = hexId(1);
  if (!submit(Played, Log, Batch,
              {{"spec", "ms=4000"},
               {"run_count", Runs},
               {"first_run_ms", unixMs()},
               {"interval_ms", 100},
               {"steps", Json::array({step(TasksPerRun, TaskMilliCores, 10, 4000)})}}))
    return CouldNotRun;
  Played.run(Millis(3000));
  if (Options.Trouble_) {
    Log.note("executor " + Played.executors().front()->id() + " is lost for good");
    Played.executors().front()->cutOff(true);
    Played.kill(*Played.leader());
  }
  // Each daemon is asked for its readiness once a second, as by the platform.
  std::vector<std::int64_t> AnsweredMs(Played.daemons(), elapsedMs());
  std::int64_t Longest = 0;
  for (const std::int64_t EndMs = elapsedMs() + WatchTime.count(); elapsedMs() < EndMs;
       Played.run(Millis(300)))
    for (std::size_t I = 0; I < Played.daemons(); ++I) {
      if (!Played.alive(I) || !Played.answers(I))
        continue;
      const std::int64_t Pause = elapsedMs() - AnsweredMs[I];
      if (Pause > 1000)
        Log.note("daemon " + std::to_string(I + 1) + " answered nothing for " +
                 std::to_string(Pause) + " ms");
      Longest = std::max(Longest, Pause);
      AnsweredMs[I] = elapsedMs();
    }
  for (std::size_t I = 0; I < Played.daemons(); ++I)
    if (Played.alive(I))
      Longest = std::max(Longest, elapsedMs() - AnsweredMs[I]);
  Log.note("longest time without an answer: " + std::to_string(Longest) + " ms; " +
           std::to_string(doneTasks(Played, Batch)) + " tasks done");
  return Longest > LongestPause.count() ? RuleBroken : RuleHeld;
}

// -- case: a cancelled job goes on --

/// Large jobs are under way when a job is cancelled at a daemon whose leader freezes for a moment.
int playLateCancel(const CaseOptions &Options, Record &Log) {
  constexpr unsigned LargeJobs = 14;
  constexpr int LargeTasks = 20'000;
  constexpr int TasksPerExecutor = 50;
  constexpr Millis FreezeTime{1000};
  constexpr std::int64_t CancelMs = 3000;
  constexpr std::int64_t ContactMs = 3000;
  Site Played(Options.Site_, Log);
  if (!begin(Played, Log))
    return CouldNotRun;
  const std::size_t Leader = *Played.leader();
  const std::size_t Other = (Leader + 1) % Played.daemons();
  Json Large = step(LargeTasks, 50, 10, 2000);
  Large["max_per_server"] = TasksPerExecutor;
  for (unsigned I = 0; I < LargeJobs; ++I)
    if (!submit(Played, Log, hexId(0x100 + I),
                {{"spec", "ms=1000-3000"},
                 {"run_count", 1},
                 {"first_run_ms", unixMs()},
                 {"steps", Json::array({Large})}}))
      return CouldNotRun;
  Played.run(Millis(14'000));
  const std::string Id = hexId(1);
  Json Cancelled = step(8000, 50, 10, 5000);
  Cancelled["max_per_server"] = TasksPerExecutor / 2;
  const int Accepted = Played.call(Other, "POST", QueuePath + Id,
                                   Json{{"spec", "ms=1000"},
                                        {"run_count", 1},
                                        {"first_run_ms", unixMs()},
                                        {"steps", Json::array({Cancelled})}}
                                       .dump());
  Log.note("POST " + Id + " at daemon " + std::to_string(Other + 1) + ": " +
           std::to_string(Accepted));
  if (Accepted != 200)
    return CouldNotRun;
  Played.run(Millis(3000));
  Log.note(std::to_string(doneTasks(Played, Id)) + " tasks of the job done");
  if (Options.Trouble_)
    Played.freeze(Leader, true);
  const std::int64_t FrozenMs = elapsedMs();
  const int Status = Played.call(Other, "DELETE", QueuePath + Id);
  const std::int64_t AckedMs = elapsedMs();
  Log.note("DELETE " + Id + " at daemon " + std::to_string(Other + 1) + ": " +
           std::to_string(Status));
  if (Options.Trouble_) {
    Played.run(std::max(Millis(0), FreezeTime - Millis(elapsedMs() - FrozenMs)));
    Played.freeze(Leader, false);
  }
  const std::int64_t WokenMs = elapsedMs();
  if (Status != 200)
    return CouldNotRun;
  Played.run(Millis(20'000));
  const std::int64_t FromMs = std::max(AckedMs + CancelMs, WokenMs + ContactMs);
  std::size_t Late = 0;
  std::int64_t LastMs = 0;
  for (const auto &Place : Played.executors())
    for (const SeenRun &Run : Place->runs())
      if (jobOf(Run.Task_) == Id) {
        Late += Run.StartedMs_ > FromMs ? 1 : 0;
        LastMs = std::max(LastMs, Run.StartedMs_);
      }
  Log.note(std::to_string(Late) + " tasks were started later than " + std::to_string(FromMs) +
           " ms, the last at " + std::to_string(LastMs) +
           " ms; the cancelling was acknowledged at " + std::to_string(AckedMs) + " ms");
  return Late > 0 ? RuleBroken : RuleHeld;
}

// -- case: ends behind one that is never taken note of --

std::optional<std::size_t> placeOf(Site &Played, const std::string &Job) {
  for (std::size_t I = 0; I < Played.executors().size(); ++I)
    for (const SeenRun &Run : Played.executors()[I]->runs())
      if (jobOf(Run.Task_) == Job && Run.EndedMs_ < 0)
        return I;
  return std::nullopt;
}

std::size_t unnotedEnds(const Executor &Place) {
  return static_cast<std::size_t>(std::ranges::count_if(
      Place.runs(), [](const SeenRun &Run) { return Run.EndedMs_ >= 0 && Run.NotedMs_ < 0; }));
}

/// An executor is cut off while its only task ends; after it is back it runs many small tasks.
int playHiddenEnds(const CaseOptions &Options, Record &Log) {
  constexpr int SmallTasks = 4500;
  Json Last = step(1, 500, 100, 1000);
  Last["depends_on"] = {0};
  constexpr int TaskMilliCores = 20;
  constexpr Millis CutTime{11'000};
  Site Played(Options.Site_, Log);
  if (!begin(Played, Log))
    return CouldNotRun;
  const std::string First = hexId(1);
  const std::string Batch = hexId(2);
  if (!submit(Played, Log, First,
              {{"spec", "ms=3000"}, {"steps", Json::array({step(1, 500, 100, 3000)})}}))
    return CouldNotRun;
  if (!Played.await(Millis(5000), [&] { return placeOf(Played, First).has_value(); }))
    return CouldNotRun;
  Executor &Place = *Played.executors()[*placeOf(Played, First)];
  Played.run(Millis(1000));
  Log.note("the first job runs on " + Place.id());
  if (Options.Trouble_) {
    Log.note("executor " + Place.id() + " is cut off and runs on");
    Place.cutOff(true);
  }
  Played.run(CutTime);
  Place.cutOff(false);
  Log.note("executor " + Place.id() + " is in touch");
  if (!Played.await(Millis(10'000), [&] { return stateAnywhere(Played, First) == "completed"; }))
    return CouldNotRun;
  Log.note("the first job is completed");
  Played.run(Millis(4000));
  if (!submit(Played, Log, Batch,
              {{"spec", "ms=6000"},
               {"steps", Json::array({step(SmallTasks, TaskMilliCores, 10, 6000), Last})}}))
    return CouldNotRun;
  constexpr int Seconds = 20;
  for (int I = 0; I < Seconds; ++I) {
    Played.run(Millis(1000));
    Log.note("batch: " + std::to_string(doneTasks(Played, Batch)) + " of " +
             std::to_string(SmallTasks + 1) + " tasks done; " + Place.id() + ": " +
             std::to_string(Place.running()) + " running, " + std::to_string(unnotedEnds(Place)) +
             " ends not taken note of");
  }
  Log.note("end of the traffic");
  Played.run(FinishTime);
  Log.note("GET " + Batch + ": " + stateAnywhere(Played, Batch));
  const std::size_t Lost = countLost(Played, Log, {Batch}, Options.Site_, TaskMilliCores);
  return Lost > 0 ? RuleBroken : RuleHeld;
}

// -- case: a daemon that was cut off takes an old job up again --

/// Notes the runs that began after their task had ended done, if that end was taken note of.
std::size_t noteDoubled(Site &Played, Record &Log) {
  std::map<std::string, std::int64_t> DoneMs; // by task, of the first end that was taken note of
  for (const auto &Place : Played.executors())
    for (const SeenRun &Run : Place->runs())
      if (Run.How_ == "done" && Run.NotedMs_ >= 0) {
        const auto Entry = DoneMs.try_emplace(Run.Task_, Run.EndedMs_).first;
        Entry->second = std::min(Entry->second, Run.EndedMs_);
      }
  std::size_t Doubled = 0;
  for (const auto &Place : Played.executors())
    for (const SeenRun &Run : Place->runs()) {
      const auto Done = DoneMs.find(Run.Task_);
      if (Done == DoneMs.end() || Run.StartedMs_ <= Done->second)
        continue;
      ++Doubled;
      Log.note("started again: " + Run.Task_ + " run " + std::to_string(Run.Run_) + " at " +
               std::to_string(Run.StartedMs_) + " ms, done since " + std::to_string(Done->second) +
               " ms");
    }
  return Doubled;
}

/// A daemon loses the store for a while in which a job ends and is forgotten; later it leads.
int playStaleDaemon(const CaseOptions &Options, Record &Log) {
  constexpr Millis KnownEverywhere{3000};
  constexpr Millis CutTime{57'000};
  constexpr Millis SettleTime{5000};
  constexpr Millis WatchTime{25'000};
  Site Played(Options.Site_, Log);
  if (!begin(Played, Log))
    return CouldNotRun;
  const std::size_t Leader = *Played.leader();
  const std::size_t Other = 1 - Leader;
  const std::string Id = hexId(1);
  const Json Job{{"spec", "ms=6000"}, {"steps", Json::array({step(8, 500, 100, 6000)})}};
  if (!submit(Played, Log, Id, Job))
    return CouldNotRun;
  Played.run(KnownEverywhere);
  Log.note("the other daemon shows the job as " + Played.stateOf(Other, Id));
  if (Options.Trouble_)
    Played.cutFromStore(Other, true);
  if (!Played.await(Millis(20'000), [&] { return Played.stateOf(Leader, Id) == "completed"; }))
    return CouldNotRun;
  Log.note("the leader shows the job as completed, " + std::to_string(doneTasks(Played, Id)) +
           " tasks done");
  Played.run(CutTime);
  Log.note("record of the job's acceptance in the store: " +
           std::string(Played.store().newest("keyed.jobs", "a" + Id) ? "present" : "removed"));
  if (Options.Trouble_)
    Played.cutFromStore(Other, false);
  Played.run(SettleTime);
  Played.terminate(Leader);
  if (!Played.await(Millis(15'000), [&] { return Played.leads(Other); }))
    return CouldNotRun;
  Log.note("the other daemon leads and shows the job as " + Played.stateOf(Other, Id));
  Played.run(WatchTime);
  const std::size_t Doubled = noteDoubled(Played, Log);
  Log.note(std::to_string(Doubled) + " runs of tasks that were done before");
  return Doubled > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Argc, char **Argv) {
  standins::dieWithParent();
  elapsedMs();
  if (Argc != 6)
    return CouldNotRun;
  const std::string Case = Argv[1];
  CaseOptions Options;
  Options.Site_.Daemon_ = Argv[2];
  Options.Site_.Folder_ = Argv[3];
  Options.Site_.Zones_ = {"lahore-a", "lahore-a", "faisalabad-b"};
  Options.Trouble_ = std::string(Argv[5]) != "0";
  Record Log(Argv[4]);
  Log.note("case " + Case + (Options.Trouble_ ? ", with" : ", without") + " the disruption");
  int Result = CouldNotRun;
  try {
    if (Case == "large-batch") {
      Options.Site_.Executors_ = 16;
      Result = playLargeBatch(Options, Log);
    } else if (Case == "blocked-leader") {
      Options.Site_.Executors_ = 16;
      Result = playBlockedLeader(Options, Log);
    } else if (Case == "late-cancel") {
      Options.Site_.Executors_ = 16;
      Result = playLateCancel(Options, Log);
    } else if (Case == "hidden-ends") {
      Options.Site_.Executors_ = 6;
      Result = playHiddenEnds(Options, Log);
    } else if (Case == "stale-daemon") {
      Options.Site_.Zones_ = {"lahore-a", "faisalabad-b"};
      Options.Site_.StatusSeconds_ = 10;
      Result = playStaleDaemon(Options, Log);
    }
  } catch (const std::exception &Error) {
    Log.note(std::string("could not run: ") + Error.what());
  }
  Log.note(Result == RuleBroken ? "rule broken" : Result == RuleHeld ? "rule held" : "not run");
  return Result;
}
