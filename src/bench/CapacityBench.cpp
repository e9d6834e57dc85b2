/// \file
/// Implements the subcommand "capacity": measures each registered series,
/// fits a line and extrapolates the cost to the target size.
#include "bench/BenchCommand.h"
#include "bench/CapacitySeries.h"
#include "kernel/Registry.h"

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <memory>

namespace banyanworks::bench {

namespace {

std::string number(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.4g", Value);
  return Text;
}

class CapacityBench : public BenchCommand {
public:
  std::string description() const override {
    return "Growth of state, processor time and traffic, extrapolated to the "
           "target size";
  }

  void addFlags(CLI::App &Command) override {
    Command.add_option("--seed", Seed, "Seed of all generated loads");
    Command.add_option("--csv", CsvFile, "Write all points to this file");
    Command.add_option("--only", OnlySeries, "Measure only this series");
  }

  BenchTable run() override {
    BenchTable Table;
    Table.Title = "Cost per size and extrapolation to the target size";
    const auto &SeriesRegistry = Registry<CapacitySeries>::instance();
    for (const std::string &Name : SeriesRegistry.names()) {
      if (!OnlySeries.empty() && Name != OnlySeries)
        continue;
      std::unique_ptr<CapacitySeries> Series = SeriesRegistry.make(Name);
      Table.Rows.push_back(measure(Name, *Series));
    }
    writeCsv();
    return Table;
  }

private:
  BenchRow measure(const std::string &Name, CapacitySeries &Series) {
    std::vector<Point> Points;
    for (double Size : Series.sizes()) {
      Points.push_back({Size, Series.measure(Size, Seed)});
      Csv += Name + "," + number(Size) + "," + number(Points.back().Cost) +
             "," + Series.size() + "," + Series.cost() + "\n";
    }
    LineFit Line = fitLine(Points);
    BenchRow Row;
    Row.Measure = Series.role() + ": " + Series.cost();
    Row.Case = Name + ", " + std::to_string(Points.size()) + " sizes of " +
               Series.size() + " from " + number(Points.front().Size) + " to " +
               number(Points.back().Size);
    Row.Value = number(Line.Intercept) + " + " + number(Line.Slope) +
                " x size (largest residual " +
                number(Line.MaxRelativeError * 100) + "%); at " +
                number(Series.targetSize()) + ": " +
                number(Line.costAt(Series.targetSize()));
    return Row;
  }

  void writeCsv() const {
    if (CsvFile.empty())
      return;
    std::ofstream Out(CsvFile);
    Out << "series,size,cost,size_unit,cost_unit\n" << Csv;
    if (!Out.good())
      std::fprintf(stderr, "cannot write %s\n", CsvFile.c_str());
  }

  std::uint64_t Seed = 1;
  std::string CsvFile;
  std::string OnlySeries;
  std::string Csv;
};

const Registry<BenchCommand>::Registration Registered("capacity", [] {
  return std::make_unique<CapacityBench>();
});

} // namespace

} // namespace banyanworks::bench
