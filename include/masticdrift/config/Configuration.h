/// \file
/// Model of the operators' configuration text; parse, start order, diff and delta.
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

struct Domain {
  std::string Name_, Region_;
  std::int64_t Weight_ = 1; ///< part of every team limit, relative to the other domains
  bool operator==(const Domain &) const = default;
};

/// Upper limit of a team, or the part of it that a domain may use.
struct Limit {
  std::int64_t Slots_ = 0; ///< interactive requests at executors at the same time
  core::Resources Resources_;
  MSGPACK_DEFINE_ARRAY(Slots_, Resources_)
  bool operator==(const Limit &) const = default;
};

struct Team {
  std::string Name_;
  std::int64_t Share_ = 1; ///< weight among teams when the cell is full
  Limit Limit_;            ///< across the fleet
  bool operator==(const Team &) const = default;
};

enum class QueueClass { Interactive, Batch, Urgent };

/// \returns "interactive", "batch" or "urgent".
std::string_view queueClassName(QueueClass Class);

struct Queue {
  std::string Name_;
  std::string Pool_; ///< executor pool; empty for queues of durable work
  QueueClass Class_ = QueueClass::Batch;
  bool Open_ = false;              ///< open to all, needs no key
  std::vector<std::string> Teams_; ///< teams that may use a queue that is not open
  bool operator==(const Queue &) const = default;
};

struct Service {
  std::string Name_, Team_;
  std::string Domain_; ///< empty: any domain
  std::int64_t Replicas_ = 1;
  core::Resources ReplicaResources_; ///< resources of one replica
  std::string Run_;
  std::vector<std::string> DependsOn_;
  bool operator==(const Service &) const = default;
};

/// One checked version of the configuration. Elements keep the order of the text.
struct Configuration {
  std::uint64_t Version_ = 0; ///< set by ConfigState; 0 before the first version
  std::string Fleet_;
  std::vector<Domain> Domains_;
  std::vector<Team> Teams_;
  std::vector<Queue> Queues_;
  std::vector<Service> Services_;

  // \returns the named element or nullptr. Cost: linear.
  const Domain *domain(std::string_view Name) const;
  const Team *team(std::string_view Name) const;
  const Queue *queue(std::string_view Name) const;
  const Service *service(std::string_view Name) const;
};

/// \returns true when \p Team may use \p Queue.
bool allows(const Queue &Queue, std::string_view Team);

struct ParsedConfiguration {
  Configuration Configuration_; ///< meaningful only without mistakes
  std::vector<settings::ValidationError> Errors_;
};

/// Reads and checks a configuration text: types, ranges, names, duplicates, references and
/// dependency cycles. Every mistake has a JSON pointer.
ParsedConfiguration parse(std::string_view Text);

/// \returns indices into Services_ such that every service follows all that it depends on; among
/// the possible orders the one whose names sort first. Stop order is the reverse.
std::vector<std::size_t> startOrder(const Configuration &Config);

/// \returns one line per added ("+"), removed ("-") or changed ("~") object, for people.
std::vector<std::string> diff(const Configuration &Old, const Configuration &New);

/// \returns \p Text as JSON with sorted keys and two spaces of indentation, or nothing when it is
/// not JSON. Versions in force are kept in this form.
std::optional<std::string> canonicalText(std::string_view Text);

/// \returns the RFC 6902 patch that turns \p OldText into \p NewText, or nothing when either is not
/// JSON.
std::optional<std::string> delta(std::string_view OldText, std::string_view NewText);

/// \returns the canonical result of applying \p Delta to \p Text, or nothing when it does not
/// apply.
std::optional<std::string> applyDelta(std::string_view Text, std::string_view Delta);

} // namespace masticdrift::config

#endif // MASTICDRIFT_CONFIG_CONFIGURATION_H
