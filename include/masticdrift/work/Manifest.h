/// \file
/// The configuration in force: queues, executor pools, customers and their keys.
#ifndef MASTICDRIFT_WORK_MANIFEST_H
#define MASTICDRIFT_WORK_MANIFEST_H

#include "masticdrift/core/Resources.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <msgpack.hpp>

namespace masticdrift::work {

/// Cost and validity of the advice that a queue's starts need.
struct AdvicePolicy {
  double FixedMs_ = 0;             ///< fixed time of one call
  double PerExecutorMs_ = 0;       ///< added for each executor named
  std::int64_t TicketValidMs_ = 0; ///< life of a ticket
  MSGPACK_DEFINE_ARRAY(FixedMs_, PerExecutorMs_, TicketValidMs_)
};

/// A queue that takes jobs.
struct Queue {
  std::string Name_;
  std::string Host_;
  std::string PathPrefix_;
  std::string Pool_; ///< executors that run its tasks
  int Priority_ = 0; ///< 0 comes first
  std::uint32_t MaxAttempts_ = 1;
  double Stretch_ = 1;           ///< objective in multiples of the longest chain of work
  std::int64_t TargetMs_ = 0;    ///< added to the objective
  bool AllowsAnonymous_ = false; ///< needs no key
  std::optional<AdvicePolicy> Advice_;
  MSGPACK_DEFINE_ARRAY(Name_, Pool_, Priority_, MaxAttempts_, Stretch_, TargetMs_, Advice_)
};

/// A group of executors.
struct Pool {
  std::string Name_;
  bool ChecksAdmission_ = false; ///< its executors refuse what does not fit
};

/// A customer with its share and limit.
struct Customer {
  std::string Name_;
  double Weight_ = 1;
  core::Resources UpperLimit_; ///< 0 in a kind for no limit
};

/// One version of the configuration.
struct Manifest {
  std::int64_t Version_ = 0;
  std::vector<Queue> Queues_;
  std::map<std::string, Pool, std::less<>> Pools_;
  std::map<std::string, Customer, std::less<>> Customers_;
  std::unordered_map<std::string, std::string> CustomerOfKey_;
  std::size_t MaxBodyBytes_ = 0; ///< 0 for no limit
};

/// \returns the queue whose host matches and whose prefix is the longest that \p Path begins with,
/// or null.
/// \remark Cost: linear in the number of queues.
const Queue *findQueue(const Manifest &Configuration, std::string_view Host, std::string_view Path);

/// \returns the queue called \p Name, or null.
const Queue *findQueueByName(const Manifest &Configuration, std::string_view Name);

} // namespace masticdrift::work

#endif // MASTICDRIFT_WORK_MANIFEST_H
