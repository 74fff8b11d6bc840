/// \file
/// Configuration of the cluster: queues, executor pools, customers and their API keys.
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

/// Cost and validity of the advice that a queue requires before a task may start.
struct AdvicePolicy {
  double FixedMs_ = 0;             ///< fixed time of one call to the advice service
  double PerExecutorMs_ = 0;       ///< additional time for each executor in the call
  std::int64_t TicketValidMs_ = 0; ///< validity of a ticket
  MSGPACK_DEFINE_ARRAY(FixedMs_, PerExecutorMs_, TicketValidMs_)
};

/// A queue to which jobs are submitted.
struct Queue {
  std::string Name_;
  std::string Host_;
  std::string PathPrefix_;
  std::string Pool_; ///< pool of executors that run its tasks
  int Priority_ = 0; ///< 0 is the highest priority
  std::uint32_t MaxAttempts_ = 1;
  double Stretch_ = 1;           ///< target completion time as a multiple of the critical path
  std::int64_t TargetMs_ = 0;    ///< added to the target completion time
  bool AllowsAnonymous_ = false; ///< accepts jobs without an API key
  std::optional<AdvicePolicy> Advice_;
  std::vector<std::string> AllowedRegions_; ///< where its tasks may start; empty for everywhere
  MSGPACK_DEFINE_ARRAY(Name_, Pool_, Priority_, MaxAttempts_, Stretch_, TargetMs_, Advice_,
                       AllowedRegions_)
};

/// A pool of executors.
struct Pool {
  std::string Name_;
  bool ChecksAdmission_ = false; ///< its executors reject tasks that do not fit
  double ColdStartsPerS_ = 0;    ///< starts a second that a cold executor bears; 0 for no limit
};

/// A customer with its share of the cluster and its resource limit.
struct Customer {
  std::string Name_;
  double Weight_ = 1;
  core::Resources UpperLimit_;              ///< 0 of a resource for no limit
  std::vector<std::string> AllowedRegions_; ///< where its tasks may start; empty for everywhere
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

/// Selects the queue for a request by host and longest matching path prefix.
///
/// \returns the queue, or null when none matches.
/// \remark Cost: linear in the number of queues.
const Queue *findQueue(const Manifest &Configuration, std::string_view Host, std::string_view Path);

/// \returns the queue named \p Name, or null.
const Queue *findQueueByName(const Manifest &Configuration, std::string_view Name);

} // namespace masticdrift::work

#endif // MASTICDRIFT_WORK_MANIFEST_H
