// Compares the policies of the cell scheduler in simulation on virtual time.
//
//     policy_bench [--seeds N] [--first-seed N] [--csv FILE]
//                  [--only WORKLOAD LOAD FAULTS] [--waste-weight W] [--trace]
//
// Prints a table of medians over the seeds and a line of summary for each
// workload. The CSV file also has the lowest and highest values.

#include "bench/metrics.hpp"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace pimentoferry;

constexpr unsigned worker_threads = 4;
const std::vector<double> loads{0.7, 0.95, 1.2, 1.5};
const std::vector<std::string> policies{"reserved", "round_robin", "least_load",
                                        "prefill_first"};

struct options {
    int seeds_{5};
    std::uint64_t first_seed_{1'001};
    std::string csv_;
    std::string workload_;
    double load_{0};
    int faults_{-1};
    bool trace_{false};
    double waste_weight_{0.5};
};

struct table_row {
    bench::workload workload_;
    double load_{0};
    bool faults_{false};
    std::string policy_;
    std::vector<bench::figures> runs_;
    std::array<bench::spread, bench::figure_count> spread_{};
};

options parse(int argc, char** argv) {
    options o;
    const std::vector<std::string> arguments{argv + 1, argv + argc};
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        if (arguments[i] == "--seeds" && i + 1 < arguments.size()) {
            o.seeds_ = std::max(1, std::atoi(arguments[++i].c_str()));
        } else if (arguments[i] == "--first-seed" && i + 1 < arguments.size()) {
            o.first_seed_ = std::strtoull(arguments[++i].c_str(), nullptr, 10);
        } else if (arguments[i] == "--csv" && i + 1 < arguments.size()) {
            o.csv_ = arguments[++i];
        } else if (arguments[i] == "--waste-weight" &&
                   i + 1 < arguments.size()) {
            o.waste_weight_ = std::atof(arguments[++i].c_str());
        } else if (arguments[i] == "--trace") {
            o.trace_ = true;
        } else if (arguments[i] == "--only" && i + 3 < arguments.size()) {
            o.workload_ = arguments[++i];
            o.load_ = std::atof(arguments[++i].c_str());
            o.faults_ = std::atoi(arguments[++i].c_str());
        } else {
            std::cerr << "unknown option " << arguments[i] << '\n';
            std::exit(2);
        }
    }
    return o;
}

std::vector<table_row> make_table(const options& o) {
    std::vector<table_row> table;
    for (const bench::workload& w : {bench::gedeo(), bench::autentica()}) {
        for (const bool faults : {false, true}) {
            for (const double load : loads) {
                for (const std::string& p : policies) {
                    const bool selected =
                        o.workload_.empty() ||
                        (o.workload_ == w.name_ && o.load_ == load &&
                         o.faults_ == static_cast<int>(faults));
                    if (selected) {
                        table.push_back({w, load, faults, p, {}, {}});
                        table.back().runs_.resize(
                            static_cast<std::size_t>(o.seeds_));
                    }
                }
            }
        }
    }
    return table;
}

void run_table(std::vector<table_row>& table, const options& o) {
    const auto seeds = static_cast<std::size_t>(o.seeds_);
    std::atomic<std::size_t> next{0};
    const auto run_next = [&] {
        for (std::size_t i = next++; i < table.size() * seeds; i = next++) {
            table_row& row = table[i / seeds];
            bench::run_settings s;
            s.workload_ = row.workload_;
            s.load_ = row.load_;
            s.faults_ = row.faults_;
            s.policy_ =
                placement::make_policy(row.policy_, o.waste_weight_).value();
            // All policies use the same seeds and so receive the same requests.
            s.seed_ = o.first_seed_ + i % seeds;
            s.trace_ = o.trace_ && row.policy_ == "reserved";
            row.runs_[i % seeds] =
                bench::figures_of(bench::run(s), row.workload_.callers_);
        }
    };
    std::vector<std::thread> threads;
    for (unsigned t = 0; t < worker_threads; ++t) {
        threads.emplace_back(run_next);
    }
    for (std::thread& t : threads) {
        t.join();
    }
    for (table_row& row : table) {
        row.spread_ = bench::spread_of(row.runs_);
    }
}

void print_table(const std::vector<table_row>& table) {
    std::printf("%-10s %4s %6s %-13s", "workload", "load", "faults", "policy");
    for (const std::string_view name : bench::figure_names) {
        std::printf(" %*s",
                    static_cast<int>(std::max<std::size_t>(name.size(), 8)),
                    std::string{name}.c_str());
    }
    std::printf("\n");
    for (const table_row& row : table) {
        std::printf("%-10s %4.2f %6s %-13s", row.workload_.name_.c_str(),
                    row.load_, row.faults_ ? "yes" : "no", row.policy_.c_str());
        for (std::size_t i = 0; i < bench::figure_count; ++i) {
            const auto width =
                std::max<std::size_t>(bench::figure_names.at(i).size(), 8);
            const bool time =
                bench::figure_names.at(i).find("_p") != std::string_view::npos;
            std::printf(" %*.*f", static_cast<int>(width), time ? 1 : 4,
                        row.spread_.at(i).median_);
        }
        std::printf("\n");
    }
}

void write_csv(const std::vector<table_row>& table, const std::string& file) {
    std::ofstream out{file};
    out << "workload,load,faults,policy";
    for (const std::string_view name : bench::figure_names) {
        out << ',' << name << ',' << name << "_low," << name << "_high";
    }
    out << '\n';
    for (const table_row& row : table) {
        out << row.workload_.name_ << ',' << row.load_ << ',' << row.faults_
            << ',' << row.policy_;
        for (const bench::spread& s : row.spread_) {
            out << ',' << s.median_ << ',' << s.low_ << ',' << s.high_;
        }
        out << '\n';
    }
}

double median(const table_row& row, bench::figure which) {
    return row.spread_.at(static_cast<std::size_t>(which)).median_;
}

// Ratio of two shares of wasted prefill. A baseline without waste counts as
// 0.01 % to avoid a division by zero.
double waste_ratio(double waste, double baseline) {
    return waste / std::max(baseline, 0.0001);
}

void print_summary(const std::vector<table_row>& table,
                   const std::string& workload) {
    constexpr double load = 1.2;
    const table_row* reserved_row = nullptr;
    double best_goodput = 0;
    double least_waste = 1;
    for (const table_row& row : table) {
        if (row.workload_.name_ != workload || row.load_ != load ||
            row.faults_) {
            continue;
        }
        if (row.policy_ == "reserved") {
            reserved_row = &row;
            continue;
        }
        best_goodput =
            std::max(best_goodput, median(row, bench::figure::goodput));
        least_waste =
            std::min(least_waste, median(row, bench::figure::wasted_prefill));
    }
    if (reserved_row == nullptr) {
        return;
    }
    const double waste = median(*reserved_row, bench::figure::wasted_prefill);
    std::printf("%s load=1.2 goodput_vs_best_baseline=%.3f "
                "goodput_vs_bound=%.3f wasted_prefill=%.4f "
                "wasted_vs_best_baseline=%.3f\n",
                workload.c_str(),
                median(*reserved_row, bench::figure::goodput) /
                    std::max(best_goodput, 1e-9),
                median(*reserved_row, bench::figure::goodput_vs_bound), waste,
                waste_ratio(waste, least_waste));
}

} // namespace

int main(int argc, char** argv) {
    const options o = parse(argc, argv);
    std::vector<table_row> table = make_table(o);
    run_table(table, o);
    print_table(table);
    if (!o.csv_.empty()) {
        write_csv(table, o.csv_);
    }
    print_summary(table, "gedeo");
    print_summary(table, "autentica");
    return 0;
}
