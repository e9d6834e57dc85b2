/// \file
/// Implements the reader and the validation of job files.
#include "model/JobFile.h"

#include "model/Configuration.h"
#include "model/JsonFields.h"
#include "model/TomlReader.h"

#include <algorithm>
#include <cctype>

#include <xxhash.h>

namespace banyanworks {

namespace {

using nlohmann::json;

constexpr std::uint64_t BytesPerMiB = 1 << 20;
constexpr double MilliPerCore = 1000;
constexpr double MaxCores = 1024;
constexpr std::int64_t MaxMembers = 128;
constexpr std::int64_t MaxAccelerators = 32;
constexpr std::size_t MaxKeyLength = 255;

/// Sets \p Field if the file has the key. The caller has read the value in any
/// case, which registers the key as known.
template <typename T, typename Value>
void assignIfPresent(const TomlReader &Reader, const char *Key,
                     std::optional<T> &Field, Value Parsed) {
  if (Reader.has(Key))
    Field = static_cast<T>(Parsed);
}

void readSizes(TomlReader &Reader, JobRequest &Request) {
  assignIfPresent(Reader, "members", Request.Members,
                  Reader.integer("members", 1, MaxMembers, 1));
  assignIfPresent(Reader, "cores", Request.MilliCores,
                  Reader.number("cores", 0, MaxCores, 1) * MilliPerCore);
  assignIfPresent(Reader, "memory", Request.MemoryMiB,
                  Reader.bytes("memory", 0) / BytesPerMiB);
  assignIfPresent(Reader, "accelerators", Request.Accelerators,
                  Reader.integer("accelerators", 0, MaxAccelerators, 0));
  assignIfPresent(Reader, "expected_run_time", Request.ExpectedRunTime,
                  Reader.duration("expected_run_time", Duration::zero()));
}

bool isValidKey(std::string_view Text) {
  return Text.size() <= MaxKeyLength &&
         std::none_of(Text.begin(), Text.end(), [](unsigned char Char) {
           return std::iscntrl(Char) != 0;
         });
}

template <typename T>
void encodeOptional(json &Out, const char *Key, const std::optional<T> &Value) {
  if (Value)
    Out[Key] = *Value;
}

template <typename T>
void decodeOptional(const json &In, const char *Key, std::optional<T> &Value) {
  if (In.contains(Key))
    Value = In.at(Key).get<T>();
}

/// Returns true if the job stays within the limits of its kind.
bool isWithinDeclaration(const JobSpec &Spec, const JobKind &Kind) {
  return Spec.Members >= 1 && Spec.Members <= Kind.MaxMembers &&
         Spec.PerMember.MilliCores >= 0 && Spec.PerMember.MemoryMiB >= 0 &&
         Spec.PerMember.Accelerators >= 0 &&
         Spec.PerMember.fitsIn(Kind.PerMember);
}

} // namespace

std::optional<JobRequest> readJobFile(const std::string &Text,
                                      const std::string &File,
                                      std::vector<Diagnostic> &Diagnostics) {
  const std::size_t InitialCount = Diagnostics.size();
  auto Table = parseToml(Text, File, Diagnostics);
  if (!Table)
    return std::nullopt;
  TomlReader Reader(*Table, File, Diagnostics);
  JobRequest Request;
  Request.Service = ServiceId(Reader.requiredName("service"));
  Request.Kind = JobKindId(Reader.requiredName("kind"));
  Request.Key = IdempotencyKey(Reader.string("key", ""));
  if (!isValidKey(Request.Key.str()))
    Reader.report("key", "'key' is too long or holds control characters",
                  "use at most 255 printable characters");
  Request.Domain = DomainId(Reader.name("domain").value_or(""));
  readSizes(Reader, Request);
  Reader.reportUnknownKeys();
  if (Diagnostics.size() > InitialCount)
    return std::nullopt;
  return Request;
}

std::string jobRequestToJson(const JobRequest &Request) {
  json Out = {{"service", Request.Service},
              {"kind", Request.Kind},
              {"key", Request.Key},
              {"domain", Request.Domain}};
  encodeOptional(Out, "members", Request.Members);
  encodeOptional(Out, "milli_cores", Request.MilliCores);
  encodeOptional(Out, "memory_mib", Request.MemoryMiB);
  encodeOptional(Out, "accelerators", Request.Accelerators);
  encodeOptional(Out, "expected_run_us", Request.ExpectedRunTime);
  return Out.dump();
}

Outcome<JobRequest> jobRequestFromJson(std::string_view Text) {
  return decodeJson(Text, [](const json &In) {
    JobRequest Request;
    In.at("service").get_to(Request.Service);
    In.at("kind").get_to(Request.Kind);
    Request.Key = IdempotencyKey(In.value("key", ""));
    Request.Domain = DomainId(In.value("domain", ""));
    if (!isValidKey(Request.Key.str()))
      throw std::invalid_argument("the key is no printable text");
    decodeOptional(In, "members", Request.Members);
    decodeOptional(In, "milli_cores", Request.MilliCores);
    decodeOptional(In, "memory_mib", Request.MemoryMiB);
    decodeOptional(In, "accelerators", Request.Accelerators);
    decodeOptional(In, "expected_run_us", Request.ExpectedRunTime);
    return Request;
  });
}

JobId jobIdFor(const WorkspaceId &Workspace, const IdempotencyKey &Key,
               JobId Fallback) {
  if (Key.empty())
    return Fallback;
  std::string HashInput = Workspace.str() + '\0' + Key.str();
  return JobId(XXH3_64bits(HashInput.data(), HashInput.size()));
}

Outcome<JobSpec> resolveJob(const JobRequest &Request,
                            const Configuration &Config, JobId Fallback) {
  auto OwningService = Config.Services.find(Request.Service);
  if (OwningService == Config.Services.end())
    return fail(Reason::UnknownService,
                "no service '" + Request.Service.str() + "' is configured");
  auto Found = OwningService->second.JobKinds.find(Request.Kind);
  if (Found == OwningService->second.JobKinds.end()) {
    return fail(Reason::UnknownJobKind, "service '" + Request.Service.str() +
                                            "' declares no kind of job '" +
                                            Request.Kind.str() + "'");
  }
  if (!Request.Domain.empty() && Config.Domains.count(Request.Domain) == 0) {
    return fail(Reason::UnknownDomain, "no failure domain '" +
                                           Request.Domain.str() +
                                           "' is configured");
  }
  const JobKind &Kind = Found->second;
  JobSpec Spec;
  Spec.Workspace = OwningService->second.Workspace;
  Spec.Id = jobIdFor(Spec.Workspace, Request.Key, Fallback);
  Spec.Service = Request.Service;
  Spec.Kind = Request.Kind;
  Spec.Key = Request.Key;
  Spec.Members = Request.Members.value_or(Kind.MaxMembers);
  Spec.PerMember.MilliCores =
      Request.MilliCores.value_or(Kind.PerMember.MilliCores);
  Spec.PerMember.MemoryMiB =
      Request.MemoryMiB.value_or(Kind.PerMember.MemoryMiB);
  Spec.PerMember.Accelerators =
      Request.Accelerators.value_or(Kind.PerMember.Accelerators);
  Spec.MemberAdjacency = Kind.MemberAdjacency;
  Spec.AdjacencyRequired = Kind.AdjacencyRequired;
  Spec.Urgency = Kind.Urgency;
  Spec.ExpectedRunTime = Request.ExpectedRunTime.value_or(Kind.ExpectedRunTime);
  Spec.Checkpointable = Kind.Checkpointable;
  Spec.MaxRestarts = Kind.MaxRestarts;
  Spec.Domain = Request.Domain;
  if (!isWithinDeclaration(Spec, Kind)) {
    return fail(Reason::ExceedsDeclaration,
                "the job asks for more than the kind '" + Kind.Id.str() +
                    "' declares: at most " + std::to_string(Kind.MaxMembers) +
                    " members of " + std::to_string(Kind.PerMember.MilliCores) +
                    " milli-cores, " +
                    std::to_string(Kind.PerMember.MemoryMiB) + " MiB and " +
                    std::to_string(Kind.PerMember.Accelerators) +
                    " accelerators");
  }
  return Spec;
}

} // namespace banyanworks
