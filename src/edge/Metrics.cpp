/// \file
/// Implements Metrics on prometheus-cpp.
#include "edge/Metrics.h"

#include <map>
#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace banyanworks {

namespace {

const prometheus::Histogram::BucketBoundaries LatencyBuckets = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
    0.2,    0.5,   1,     2,     5,    10,   30};

const char *endName(StoreCallEnd End) {
  switch (End) {
  case StoreCallEnd::Answered:
    return "answered";
  case StoreCallEnd::Interrupted:
    return "interrupted";
  case StoreCallEnd::Unavailable:
    break;
  }
  return "unavailable";
}

prometheus::Labels label(const std::string &Value) {
  if (Value.empty())
    return {};
  return {{"of", Value}};
}

} // namespace

struct Metrics::Impl {
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Refusals;
  prometheus::Family<prometheus::Counter> &Retries;
  prometheus::Family<prometheus::Counter> &Answers;
  prometheus::Family<prometheus::Histogram> &AnswerSeconds;
  prometheus::Family<prometheus::Counter> &StoreCalls;
  prometheus::Family<prometheus::Histogram> &StoreSeconds;
  prometheus::Family<prometheus::Counter> &StoreBytes;
  prometheus::Family<prometheus::Counter> &Orders;
  prometheus::Family<prometheus::Histogram> &TaskSeconds;
  std::mutex Lock;
  std::map<std::string, prometheus::Family<prometheus::Gauge> *> Gauges;

  Impl()
      : Refusals(prometheus::BuildCounter()
                     .Name("banyanworks_refusals_total")
                     .Help("Refusals by reason")
                     .Register(Registry)),
        Retries(prometheus::BuildCounter()
                    .Name("banyanworks_retries_total")
                    .Help("Repeated attempts by reason")
                    .Register(Registry)),
        Answers(prometheus::BuildCounter()
                    .Name("banyanworks_answers_total")
                    .Help("Answers by plane and status")
                    .Register(Registry)),
        AnswerSeconds(prometheus::BuildHistogram()
                          .Name("banyanworks_answer_seconds")
                          .Help("Time from a request to its answer")
                          .Register(Registry)),
        StoreCalls(prometheus::BuildCounter()
                       .Name("banyanworks_store_calls_total")
                       .Help("Calls to the store by kind and result")
                       .Register(Registry)),
        StoreSeconds(prometheus::BuildHistogram()
                         .Name("banyanworks_store_seconds")
                         .Help("Duration of store calls")
                         .Register(Registry)),
        StoreBytes(prometheus::BuildCounter()
                       .Name("banyanworks_store_bytes_total")
                       .Help("Bytes of the store's answers by kind of call")
                       .Register(Registry)),
        Orders(prometheus::BuildCounter()
                   .Name("banyanworks_worker_orders_total")
                   .Help("Orders to workers by kind")
                   .Register(Registry)),
        TaskSeconds(prometheus::BuildHistogram()
                        .Name("banyanworks_task_seconds")
                        .Help("Spans of tasks: queued, started, recorded")
                        .Register(Registry)) {
    // Registered at start, so that the first increment shows as a rate.
    for (const ReasonInfo &Info : allReasons()) {
      if (Info.Code == Reason::None)
        continue;
      Refusals.Add({{"reason", std::string(Info.Name)}});
      Retries.Add({{"reason", std::string(Info.Name)}});
    }
  }
};

Metrics::Metrics() : Self(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::recordRefusal(Reason Cause) {
  Self->Refusals.Add({{"reason", std::string(reasonInfo(Cause).Name)}})
      .Increment();
}

void Metrics::recordRetry(Reason Cause) {
  Self->Retries.Add({{"reason", std::string(reasonInfo(Cause).Name)}})
      .Increment();
}

void Metrics::recordAnswer(const std::string &Plane, int Status,
                           Duration Elapsed) {
  Self->Answers.Add({{"plane", Plane}, {"status", std::to_string(Status)}})
      .Increment();
  Self->AnswerSeconds.Add({{"plane", Plane}}, LatencyBuckets)
      .Observe(toSeconds(Elapsed));
}

void Metrics::recordTaskSpan(const std::string &Span, Duration Elapsed) {
  Self->TaskSeconds.Add({{"span", Span}}, LatencyBuckets)
      .Observe(toSeconds(Elapsed));
}

void Metrics::recordStoreCall(const std::string &Kind, StoreCallEnd End,
                              Duration Elapsed) {
  Self->StoreCalls.Add({{"kind", Kind}, {"result", endName(End)}}).Increment();
  Self->StoreSeconds.Add({{"kind", Kind}}, LatencyBuckets)
      .Observe(toSeconds(Elapsed));
}

void Metrics::recordStoreBytes(const std::string &Kind, std::uint64_t Bytes) {
  Self->StoreBytes.Add({{"kind", Kind}}).Increment(static_cast<double>(Bytes));
}

void Metrics::recordWorkerOrder(const std::string &Kind) {
  Self->Orders.Add({{"kind", Kind}}).Increment();
}

void Metrics::setGauge(const std::string &Name, const std::string &Label,
                       double Value) {
  std::lock_guard Guard(Self->Lock);
  auto *&Family = Self->Gauges[Name];
  if (!Family) {
    Family = &prometheus::BuildGauge()
                  .Name("banyanworks_" + Name)
                  .Help(Name)
                  .Register(Self->Registry);
  }
  Family->Add(label(Label)).Set(Value);
}

std::string Metrics::serialize() const {
  return prometheus::TextSerializer().Serialize(Self->Registry.Collect());
}

} // namespace banyanworks
