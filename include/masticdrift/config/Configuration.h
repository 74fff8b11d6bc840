/// \file
/// Model of the configuration that operators submit: parsing, start order, diff and delta.
#ifndef MASTICDRIFT_CONFIG_CONFIGURATION_H
#define MASTICDRIFT_CONFIG_CONFIGURATION_H

#include "masticdrift/core/Resources.h"
#include "masticdrift/settings/Reader.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticdrift::config {

/// A failure domain.
struct Domain {
  std::string Name_, Region_;
  std::int64_t Weight_ = 1; ///< relative part of every team limit that this domain receives
  bool operator==(const Domain &) const = default;
};

/// Resource limit of a team, or the part of it that one domain may use.
struct Limit {
  std::int64_t Slots_ = 0; ///< concurrent interactive requests at executors
  core::Resources Resources_;
  MSGPACK_DEFINE_ARRAY(Slots_, Resources_)
  bool operator==(const Limit &) const = default;
};

/// A team with its share and its limit.
struct Team {
  std::string Name_;
  std::int64_t Share_ = 1; ///< weight among teams when capacity is scarce
  Limit Limit_;            ///< total over the whole fleet
  bool operator==(const Team &) const = default;
};

/// Kind of work that a queue accepts.
enum class QueueClass { Interactive, Batch, Urgent };

/// \returns "interactive", "batch" or "urgent".
std::string_view queueClassName(QueueClass Class);

/// A queue that requests or jobs are submitted to.
struct Queue {
  std::string Name_;
  std::string Pool_; ///< executor pool of interactive requests; empty for queues of durable work
  QueueClass Class_ = QueueClass::Batch;
  bool Open_ = false;              ///< accepts requests of everyone, without a key
  std::vector<std::string> Teams_; ///< teams that may use the queue when it is not open
  bool operator==(const Queue &) const = default;
};

/// A long-running service with a fixed number of replicas.
struct Service {
  std::string Name_, Team_;
  std::string Domain_; ///< empty when any domain may run it
  std::int64_t Replicas_ = 1;
  core::Resources ReplicaResources_; ///< resources of one replica
  std::string Run_;
  std::vector<std::string> DependsOn_;
  bool operator==(const Service &) const = default;
};

/// One version of the configuration. Elements are in the order of the text.
struct Configuration {
  std::uint64_t Version_ = 0; ///< assigned by ConfigState; 0 before the first version
  std::string Fleet_;
  std::vector<Domain> Domains_;
  std::vector<Team> Teams_;
  std::vector<Queue> Queues_;
  std::vector<Service> Services_;

  /// \returns the named element, or nullptr when it does not exist. Cost: linear.
  const Domain *domain(std::string_view Name) const;
  const Team *team(std::string_view Name) const;
  const Queue *queue(std::string_view Name) const;
  const Service *service(std::string_view Name) const;
};

/// \returns whether \p Team may use \p Queue.
bool allows(const Queue &Queue, std::string_view Team);

/// Result of parse().
struct ParsedConfiguration {
  Configuration Configuration_; ///< valid only when Errors_ is empty
  std::vector<settings::ValidationError> Errors_;
};

/// Parses and validates a configuration text: types, ranges, names, duplicates, references and
/// dependency cycles. Every error has a JSON pointer.
ParsedConfiguration parse(std::string_view Text);

/// \returns indices into Services_ in topological order: every service follows its dependencies,
/// and of the services that are ready the one with the smallest name comes first. The stop order is
/// the reverse.
std::vector<std::size_t> startOrder(const Configuration &Config);

/// \returns one readable line per added ("+"), removed ("-") or changed ("~") object.
std::vector<std::string> diff(const Configuration &Old, const Configuration &New);

/// \returns \p Text as JSON with sorted keys and two spaces of indentation, or nothing when it is
/// not JSON. Accepted versions are stored in this form.
std::optional<std::string> canonicalText(std::string_view Text);

/// \returns the RFC 6902 patch that turns \p OldText into \p NewText, or nothing when either is not
/// JSON.
std::optional<std::string> delta(std::string_view OldText, std::string_view NewText);

/// \returns the canonical result of applying \p Delta to \p Text, or nothing when it does not
/// apply.
std::optional<std::string> applyDelta(std::string_view Text, std::string_view Delta);

} // namespace masticdrift::config

#endif // MASTICDRIFT_CONFIG_CONFIGURATION_H
