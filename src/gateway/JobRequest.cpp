#include "masticdrift/gateway/JobRequest.h"

#include "masticdrift/settings/Reader.h"

#include <algorithm>
#include <array>

namespace masticdrift::gateway {

namespace {

constexpr std::array<std::string_view, 3> JobKindNames{"batch", "gang", "service"};
constexpr std::size_t MaxRequestIdLength = 128;
constexpr std::int64_t MaxMilliCores = 1'000'000;
constexpr std::int64_t MaxMemoryMb = 16'000'000;
constexpr std::int64_t MaxAccelerators = 1'000;
constexpr std::int64_t MaxRunMs = 31LL * 24 * 3600 * 1000;

jobs::JobKind parseJobKind(std::string_view Name) {
  if (Name == "gang")
    return jobs::JobKind::Gang;
  return Name == "service" ? jobs::JobKind::Service : jobs::JobKind::Batch;
}

std::string formatAmount(std::size_t ResourceIndex, std::int64_t Amount) {
  if (ResourceIndex != 0)
    return std::to_string(Amount) + " " + std::string(core::ResourceNames.at(ResourceIndex));
  const std::string Fraction = Amount % 1000 == 0 ? "" : "." + std::to_string(Amount % 1000 / 100);
  return std::to_string(Amount / 1000) + Fraction + " cores";
}

core::Failure impossibleSize(std::string_view Subject, std::size_t ResourceIndex,
                             std::int64_t Requested, std::int64_t Available,
                             std::string_view Source) {
  return {core::ErrorKind::ImpossibleSize,
          std::string(Subject) + " " + formatAmount(ResourceIndex, Requested) + ", " +
              std::string(Source) + " has " + formatAmount(ResourceIndex, Available)};
}

} // namespace

ParsedJob parseJob(std::string_view Body) {
  ParsedJob Parsed;
  settings::Reader Reader(Body);
  const settings::Node Root = Reader.root();
  jobs::JobSpec &Spec = Parsed.Spec_;
  Spec.Kind_ = parseJobKind(Root.choice("kind", JobKindNames, "batch"));
  Spec.TaskCount_ = static_cast<std::uint32_t>(Root.integer("tasks", 1, jobs::MaxTasks, 1));
  Spec.Need_.MilliCores_ = Root.milli("cores", 1, MaxMilliCores, 1000);
  Spec.Need_.MemoryMb_ = Root.integer("memory_mb", 0, MaxMemoryMb, 256);
  Spec.Need_.Accelerators_ = Root.integer("accelerators", 0, MaxAccelerators, 0);
  Spec.DeclaredRunMs_ = Root.integer("run_ms", 0, MaxRunMs, 0);
  Spec.Idempotent_ = Root.boolean("idempotent", false);
  Spec.Command_ = Root.string("command", "");
  Spec.Family_ = Root.string("family", "");
  Spec.RequestId_ = Root.string("request_id", "");
  Parsed.HomeDomain_ = Root.string("domain", "");
  const bool InvalidRequestId = Spec.RequestId_.size() > MaxRequestIdLength ||
                                Spec.RequestId_.find('/') != std::string::npos ||
                                Spec.RequestId_.find('#') != std::string::npos ||
                                Spec.RequestId_.starts_with("service.");
  if (InvalidRequestId)
    Root.optional("request_id")
        .fail(core::ErrorKind::OutOfRange,
              "at most 128 characters, without '/' and '#', not starting with \"service.\"");
  if (const auto Errors = Reader.finish(); !Errors.empty())
    Parsed.Error_ = Errors.front().failure();
  return Parsed;
}

core::Failure checkJobFits(const jobs::JobSpec &Spec, std::string_view HomeDomain,
                           std::span<const legacy::Instance> Instances,
                           const config::Limit &Allotment) {
  std::array<std::int64_t, core::ResourceKinds> LargestAmounts{};
  core::Resources DomainCapacity;
  bool AnyWorkerListed = false;
  bool AnyWorkerFits = false;
  for (const legacy::Instance &Instance : Instances) {
    if (Instance.Kind_ != legacy::InstanceKind::Worker || Instance.Domain_ != HomeDomain ||
        Instance.Leaving_)
      continue;
    AnyWorkerListed = true;
    AnyWorkerFits = AnyWorkerFits || core::fits(Spec.Need_, Instance.Capacity_);
    DomainCapacity += Instance.Capacity_;
    const auto Amounts = core::amounts(Instance.Capacity_);
    for (std::size_t Index = 0; Index < LargestAmounts.size(); ++Index)
      LargestAmounts[Index] = std::max(LargestAmounts[Index], Amounts[Index]);
  }
  if (!AnyWorkerListed)
    return {};
  const auto TaskAmounts = core::amounts(Spec.Need_);
  const bool IsGang = Spec.Kind_ == jobs::JobKind::Gang;
  const core::Resources TotalNeed = IsGang ? Spec.Need_ * Spec.TaskCount_ : Spec.Need_;
  const auto TotalAmounts = core::amounts(TotalNeed);
  const auto LimitAmounts = core::amounts(Allotment.Resources_);
  for (std::size_t Index = 0; Index < TaskAmounts.size(); ++Index) {
    if (TaskAmounts[Index] > LargestAmounts[Index])
      return impossibleSize("a task needs", Index, TaskAmounts[Index], LargestAmounts[Index],
                            "the largest worker");
    if (TotalAmounts[Index] > core::amounts(DomainCapacity)[Index])
      return impossibleSize("the gang needs", Index, TotalAmounts[Index],
                            core::amounts(DomainCapacity)[Index], "the domain");
    if (TotalAmounts[Index] > LimitAmounts[Index])
      return impossibleSize(IsGang ? "the gang needs" : "a task needs", Index, TotalAmounts[Index],
                            LimitAmounts[Index], "the team's limit in this domain");
  }
  if (!AnyWorkerFits)
    return {core::ErrorKind::ImpossibleSize,
            "no single worker has all the resources that a task needs"};
  return {};
}

} // namespace masticdrift::gateway
