#include "masticdrift/gateway/JobRequest.h"

#include "masticdrift/settings/Reader.h"

#include <algorithm>
#include <array>

namespace masticdrift::gateway {

namespace {

constexpr std::array<std::string_view, 3> Kinds{"batch", "gang", "service"};
constexpr std::size_t MostIdLength = 128;
constexpr std::int64_t MostMilliCores = 1'000'000;
constexpr std::int64_t MostMemoryMb = 16'000'000;
constexpr std::int64_t MostAccelerators = 1'000;
constexpr std::int64_t MostRunMs = 31LL * 24 * 3600 * 1000;

jobs::JobKind kindOf(std::string_view Name) {
  if (Name == "gang")
    return jobs::JobKind::Gang;
  return Name == "service" ? jobs::JobKind::Service : jobs::JobKind::Batch;
}

std::string amountText(std::size_t Kind, std::int64_t Amount) {
  if (Kind != 0)
    return std::to_string(Amount) + " " + std::string(core::ResourceNames.at(Kind));
  const std::string Fraction = Amount % 1000 == 0 ? "" : "." + std::to_string(Amount % 1000 / 100);
  return std::to_string(Amount / 1000) + Fraction + " cores";
}

core::Failure tooLarge(std::string_view What, std::size_t Kind, std::int64_t Asked,
                       std::int64_t Largest, std::string_view Of) {
  return {core::ErrorKind::ImpossibleSize, std::string(What) + " " + amountText(Kind, Asked) +
                                               ", " + std::string(Of) + " has " +
                                               amountText(Kind, Largest)};
}

} // namespace

ParsedJob parseJob(std::string_view Body) {
  ParsedJob To;
  settings::Reader Reader(Body);
  const settings::Node Root = Reader.root();
  jobs::JobSpec &Spec = To.Spec_;
  Spec.Kind_ = kindOf(Root.choice("kind", Kinds, "batch"));
  Spec.TaskCount_ = static_cast<std::uint32_t>(Root.integer("tasks", 1, jobs::MaxTasks, 1));
  Spec.Need_.MilliCores_ = Root.milli("cores", 1, MostMilliCores, 1000);
  Spec.Need_.MemoryMb_ = Root.integer("memory_mb", 0, MostMemoryMb, 256);
  Spec.Need_.Accelerators_ = Root.integer("accelerators", 0, MostAccelerators, 0);
  Spec.DeclaredRunMs_ = Root.integer("run_ms", 0, MostRunMs, 0);
  Spec.Idempotent_ = Root.boolean("idempotent", false);
  Spec.Command_ = Root.string("command", "");
  Spec.Family_ = Root.string("family", "");
  Spec.RequestId_ = Root.string("request_id", "");
  To.Domain_ = Root.string("domain", "");
  const bool BadId =
      Spec.RequestId_.size() > MostIdLength || Spec.RequestId_.find('/') != std::string::npos ||
      Spec.RequestId_.find('#') != std::string::npos || Spec.RequestId_.starts_with("service.");
  if (BadId)
    Root.optional("request_id")
        .fail(core::ErrorKind::OutOfRange,
              "at most 128 characters, without '/' and '#', not starting with \"service.\"");
  if (const auto Mistakes = Reader.finish(); !Mistakes.empty())
    To.Error_ = Mistakes.front().failure();
  return To;
}

core::Failure checkSize(const jobs::JobSpec &Spec, std::string_view Domain,
                        std::span<const legacy::Instance> Instances,
                        const config::Limit &Allotment) {
  std::array<std::int64_t, core::ResourceKinds> Largest{};
  core::Resources Sum;
  bool Known = false;
  bool OneFits = false;
  for (const legacy::Instance &One : Instances) {
    if (One.Kind_ != legacy::InstanceKind::Worker || One.Domain_ != Domain || One.Leaving_)
      continue;
    Known = true;
    OneFits = OneFits || core::fits(Spec.Need_, One.Capacity_);
    Sum += One.Capacity_;
    const auto Amounts = core::amounts(One.Capacity_);
    for (std::size_t I = 0; I < Largest.size(); ++I)
      Largest[I] = std::max(Largest[I], Amounts[I]);
  }
  if (!Known)
    return {};
  const auto Need = core::amounts(Spec.Need_);
  const bool Gang = Spec.Kind_ == jobs::JobKind::Gang;
  const core::Resources Together = Gang ? Spec.Need_ * Spec.TaskCount_ : Spec.Need_;
  const auto Whole = core::amounts(Together);
  const auto Limit = core::amounts(Allotment.Resources_);
  for (std::size_t I = 0; I < Need.size(); ++I) {
    if (Need[I] > Largest[I])
      return tooLarge("a task needs", I, Need[I], Largest[I], "the largest worker");
    if (Whole[I] > core::amounts(Sum)[I])
      return tooLarge("the gang needs", I, Whole[I], core::amounts(Sum)[I], "the domain");
    if (Whole[I] > Limit[I])
      return tooLarge(Gang ? "the gang needs" : "a task needs", I, Whole[I], Limit[I],
                      "the team's limit in this domain");
  }
  if (!OneFits)
    return {core::ErrorKind::ImpossibleSize,
            "no single worker has all the resources that a task needs"};
  return {};
}

} // namespace masticdrift::gateway
