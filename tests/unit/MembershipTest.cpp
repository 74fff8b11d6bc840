#include "masticdrift/membership/Freshness.h"
#include "masticdrift/membership/Heartbeat.h"
#include "masticdrift/membership/PeerTable.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

#include <criterion/criterion.h>

using namespace masticdrift;
using namespace masticdrift::membership;
using namespace std::chrono_literals;

namespace {

core::TimePoint at(std::int64_t Millis) { return core::TimePoint(core::Millis(Millis)); }

ConfigEvidence evidenceFrom(const std::string &Name, std::uint64_t Offset, bool Confirms,
                            std::int64_t AsOf) {
  return {Name, 1, Offset, Confirms, at(AsOf)};
}

const OwnConfig OwnState{"a", 7, true};

} // namespace

// Guards against accepting requests with a key under a configuration that may have been replaced
// (P3, P10).
Test(Freshness, aDirectReadLastsFiveSeconds) {
  Freshness State;
  cr_assert(!State.isFresh(at(0)));
  State.recordRead(at(1000));
  cr_assert(State.isFresh(at(6000)));
  cr_assert(!State.isFresh(at(6001)));
  State.recordRead(at(500)); // an older read that completed later
  cr_assert(State.currentAsOf() == at(1000));
}

Test(Freshness, aRelayedAgeIsAddedAndNeedsTheSameOffset) {
  Freshness State;
  State.recordPeerReport(at(3000), 2000ms, 8, 7);
  cr_assert(!State.currentAsOf(), "the replier knows a newer configuration");
  State.recordPeerReport(at(3000), core::Millis(-1), 7, 7);
  cr_assert(!State.currentAsOf(), "the replier never reached the store");
  State.recordPeerReport(at(3000), 2000ms, 7, 7);
  cr_assert(State.currentAsOf() == at(1000));
}

Test(Freshness, unanimityNeedsEveryDaemon) {
  const std::set<std::string> Members{"a", "b", "c"};
  const std::vector<ConfigEvidence> Both{evidenceFrom("b", 7, true, 900),
                                         evidenceFrom("c", 7, true, 400)};
  cr_assert(confirmedAsOf(OwnState, Both, Members, 3, at(1000)) == at(400),
            "the oldest probe counts");
  cr_assert(!confirmedAsOf(OwnState, std::vector{Both[0]}, Members, 2, at(1000)), "c is missing");
  cr_assert(!confirmedAsOf(OwnState, Both, Members, 4, at(1000)), "the fleet has a fourth daemon");
  cr_assert(!confirmedAsOf(OwnState, std::vector{Both[0], evidenceFrom("c", 6, true, 400)}, Members,
                           3, at(1000)));
  cr_assert(!confirmedAsOf(OwnState, std::vector{Both[0], evidenceFrom("c", 7, false, 400)},
                           Members, 3, at(1000)));
  cr_assert(!confirmedAsOf({"a", 7, false}, Both, Members, 3, at(1000)));
  // A daemon with a newer configuration that is not in the log yet.
  cr_assert(!confirmedAsOf(OwnState, std::vector{Both[0], Both[1], evidenceFrom("d", 9, true, 900)},
                           Members, 3, at(1000)));
}

Test(PeerTable, summariesAddTheirAge) {
  PeerTable Table("a", "x");
  Table.setMembers({{"a", "x", "r", "h:1"}, {"b", "x", "r", "h:2"}, {"c", "y", "r", "h:3"}}, at(0));
  cr_assert_eq(Table.peers().size(), 2U);
  protocol::ProbeReply Reply;
  Reply.ConfigOffset_ = 7;
  Reply.ConfirmsConfig_ = true;
  Reply.Owner_ = "c";
  Reply.Term_ = 4;
  Reply.StoreAgeMs_ = 300;
  Reply.Members_ = {{"d", 1, 7, true, 250}};
  Table.onReply("c", 2, at(1000), Reply);
  const auto Evidence = Table.evidence();
  cr_assert_eq(Evidence.size(), 2U);
  for (const auto &Each : Evidence)
    cr_assert(Each.AsOf_ == (Each.Name_ == "d" ? at(750) : at(1000)));
  cr_assert(Table.storeAge("c", at(1500)) == core::Duration(800ms));
  cr_assert(Table.timeSinceReply("b", at(1500)) == core::Duration(1500ms));
  cr_assert(!Table.timeSinceReply("z", at(1500)));
  cr_assert_str_eq(Table.owner("y")->Owner_.c_str(), "c");
  // An overtaken reply and a reply of an earlier incarnation are ignored.
  Reply.Term_ = 3;
  Table.onReply("c", 2, at(900), Reply);
  Table.onReply("c", 1, at(2000), Reply);
  cr_assert_eq(Table.owner("y")->Term_, 4U);
  Table.setMembers({{"b", "x", "r", "h:2"}}, at(2000));
  cr_assert(Table.domains().empty());
}

namespace {

struct Daemon {
  explicit Daemon(const std::string &Name, const std::string &Domain, HeartbeatHooks Hooks = {})
      : Table_(Name, Domain), Link_(options(Name),
                                    [this](const protocol::Envelope &In) {
                                      if (ActiveHeartbeat_ != nullptr)
                                        ActiveHeartbeat_.load()->onProbe(In);
                                    }),
        Member_{Name, Domain, "r", "127.0.0.1:" + std::to_string(Link_.port())} {
    Heartbeat_ = std::make_unique<Heartbeat>(HeartbeatOptions{Name, Domain, 50ms, 100ms, 3},
                                             std::move(Hooks), Timers_, Link_, Table_);
    ActiveHeartbeat_ = Heartbeat_.get();
    Heartbeat_->start();
  }
  ~Daemon() {
    Timers_.stop();
    Link_.stop();
  }
  static protocol::LinkOptions options(const std::string &Name) {
    protocol::LinkOptions Options;
    Options.Name_ = Name;
    Options.Incarnation_ = 3;
    return Options;
  }

  core::Timers Timers_;
  PeerTable Table_;
  std::atomic<Heartbeat *> ActiveHeartbeat_{nullptr};
  protocol::Link Link_;
  Member Member_;
  std::unique_ptr<Heartbeat> Heartbeat_;
};

template <typename Condition> bool eventually(Condition Check) {
  for (int I = 0; I < 1000; ++I) {
    if (Check())
      return true;
    std::this_thread::sleep_for(5ms);
  }
  return false;
}

} // namespace

// Guards against missing evidence from members of the domain or from other domains.
Test(Heartbeat, membersAndOneDaemonOfEachOtherDomainAnswer) {
  HeartbeatHooks ReplyHooks;
  ReplyHooks.FillReply_ = [](const protocol::Envelope &, const protocol::Probe &,
                             protocol::ProbeReply &Reply) { Reply.ConfigOffset_ = 7; };
  Daemon A("a", "x");
  Daemon B("b", "x", ReplyHooks);
  Daemon C("c", "y", ReplyHooks);
  Daemon D("d", "y", ReplyHooks);
  const std::vector<Member> All{A.Member_, B.Member_, C.Member_, D.Member_};
  for (Daemon *Each : {&A, &B, &C, &D})
    Each->Heartbeat_->setMembers(All);
  cr_assert(eventually([&] {
    const auto Evidence = A.Table_.evidence();
    return Evidence.size() == 3 && std::ranges::all_of(Evidence, [](const auto &Each) {
             return Each.ConfigOffset_ == 7 && Each.Incarnation_ == 3;
           });
  }));
}

// Guards against a domain that appears unreachable because its representative has failed.
Test(Heartbeat, anotherRepresentativeIsAskedWhenOneFails) {
  Daemon A("a", "x");
  Daemon D("d", "y");
  const std::vector<Member> All{
      A.Member_, {"c", "y", "r", "127.0.0.1:1"}, D.Member_}; // nothing listens on port 1
  A.Heartbeat_->setMembers(All);
  D.Heartbeat_->setMembers(All);
  cr_assert(eventually([&] { return A.Table_.find("d")->LastAnsweredProbeSent_.has_value(); }));
}
