// Compares the policies of the cell scheduler on virtual time.
//
//     policy_bench [--seeds N] [--csv FILE] [--only WORKLOAD LOAD FAULTS]
//
// Prints a table of medians over the seeds, with lowest and highest values in
// the CSV file, and two lines of summary.

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
constexpr std::uint64_t first_seed = 1'001;
const std::vector<double> loads{0.7, 0.95, 1.2, 1.5};
const std::vector<std::string> policies{"reserved", "round_robin", "least_load",
                                        "prefill_first"};

struct options {
    int seeds_{5};
    std::string csv_;
    std::string workload_;
    double load_{0};
    int faults_{-1};
    bool trace_{false};
    double waste_weight_{0.5};
};

struct cell_of_table {
    bench::workload workload_;
    double load_{0};
    bool faults_{false};
    std::string policy_;
    std::vector<bench::figures> runs_;
    std::array<bench::spread, bench::figure_count> spread_{};
};

options parse(int argc, char** argv) {
    options o;
    const std::vector<std::string> words{argv + 1, argv + argc};
    for (std::size_t i = 0; i < words.size(); ++i) {
        if (words[i] == "--seeds" && i + 1 < words.size()) {
            o.seeds_ = std::max(1, std::atoi(words[++i].c_str()));
        } else if (words[i] == "--csv" && i + 1 < words.size()) {
            o.csv_ = words[++i];
        } else if (words[i] == "--waste-weight" && i + 1 < words.size()) {
            o.waste_weight_ = std::atof(words[++i].c_str());
        } else if (words[i] == "--trace") {
            o.trace_ = true;
        } else if (words[i] == "--only" && i + 3 < words.size()) {
            o.workload_ = words[++i];
            o.load_ = std::atof(words[++i].c_str());
            o.faults_ = std::atoi(words[++i].c_str());
        } else {
            std::cerr << "unknown option " << words[i] << '\n';
            std::exit(2);
        }
    }
    return o;
}

std::vector<cell_of_table> make_table(const options& o) {
    std::vector<cell_of_table> table;
    for (const bench::workload& w : {bench::gedeo(), bench::autentica()}) {
        for (const bool faults : {false, true}) {
            for (const double load : loads) {
                for (const std::string& p : policies) {
                    const bool wanted =
                        o.workload_.empty() ||
                        (o.workload_ == w.name_ && o.load_ == load &&
                         o.faults_ == static_cast<int>(faults));
                    if (wanted) {
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

void run_table(std::vector<cell_of_table>& table, const options& o) {
    const auto seeds = static_cast<std::size_t>(o.seeds_);
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (std::size_t i = next++; i < table.size() * seeds; i = next++) {
            cell_of_table& cell = table[i / seeds];
            bench::run_settings s;
            s.workload_ = cell.workload_;
            s.load_ = cell.load_;
            s.faults_ = cell.faults_;
            s.policy_ =
                placement::make_policy(cell.policy_, o.waste_weight_).value();
            // The same seeds for all policies: they meet the same requests.
            s.seed_ = first_seed + i % seeds;
            s.trace_ = o.trace_ && cell.policy_ == "reserved";
            cell.runs_[i % seeds] =
                bench::figures_of(bench::run(s), cell.workload_.callers_);
        }
    };
    std::vector<std::thread> threads;
    for (unsigned t = 0; t < worker_threads; ++t) {
        threads.emplace_back(work);
    }
    for (std::thread& t : threads) {
        t.join();
    }
    for (cell_of_table& cell : table) {
        cell.spread_ = bench::spread_of(cell.runs_);
    }
}

void print_table(const std::vector<cell_of_table>& table) {
    std::printf("%-10s %4s %6s %-13s", "workload", "load", "faults", "policy");
    for (const std::string_view name : bench::figure_names) {
        std::printf(" %*s",
                    static_cast<int>(std::max<std::size_t>(name.size(), 8)),
                    std::string{name}.c_str());
    }
    std::printf("\n");
    for (const cell_of_table& cell : table) {
        std::printf("%-10s %4.2f %6s %-13s", cell.workload_.name_.c_str(),
                    cell.load_, cell.faults_ ? "yes" : "no",
                    cell.policy_.c_str());
        for (std::size_t i = 0; i < bench::figure_count; ++i) {
            const auto width =
                std::max<std::size_t>(bench::figure_names.at(i).size(), 8);
            const bool time =
                bench::figure_names.at(i).find("_p") != std::string_view::npos;
            std::printf(" %*.*f", static_cast<int>(width), time ? 1 : 4,
                        cell.spread_.at(i).median_);
        }
        std::printf("\n");
    }
}

void write_csv(const std::vector<cell_of_table>& table,
               const std::string& file) {
    std::ofstream out{file};
    out << "workload,load,faults,policy";
    for (const std::string_view name : bench::figure_names) {
        out << ',' << name << ',' << name << "_low," << name << "_high";
    }
    out << '\n';
    for (const cell_of_table& cell : table) {
        out << cell.workload_.name_ << ',' << cell.load_ << ',' << cell.faults_
            << ',' << cell.policy_;
        for (const bench::spread& s : cell.spread_) {
            out << ',' << s.median_ << ',' << s.low_ << ',' << s.high_;
        }
        out << '\n';
    }
}

double median(const cell_of_table& cell, bench::figure which) {
    return cell.spread_.at(static_cast<std::size_t>(which)).median_;
}

// Ratio of two shares of waste; a baseline without waste counts as 0.01 %.
double waste_ratio(double own, double baseline) {
    return own / std::max(baseline, 0.0001);
}

void print_summary(const std::vector<cell_of_table>& table,
                   const std::string& workload) {
    constexpr double load = 1.2;
    const cell_of_table* own = nullptr;
    double best_goodput = 0;
    double least_waste = 1;
    for (const cell_of_table& cell : table) {
        if (cell.workload_.name_ != workload || cell.load_ != load ||
            cell.faults_) {
            continue;
        }
        if (cell.policy_ == "reserved") {
            own = &cell;
            continue;
        }
        best_goodput =
            std::max(best_goodput, median(cell, bench::figure::goodput));
        least_waste =
            std::min(least_waste, median(cell, bench::figure::wasted_prefill));
    }
    if (own == nullptr) {
        return;
    }
    const double waste = median(*own, bench::figure::wasted_prefill);
    std::printf("%s load=1.2 goodput_vs_best_baseline=%.3f "
                "goodput_vs_bound=%.3f wasted_prefill=%.4f "
                "wasted_vs_best_baseline=%.3f\n",
                workload.c_str(),
                median(*own, bench::figure::goodput) /
                    std::max(best_goodput, 1e-9),
                median(*own, bench::figure::goodput_vs_bound), waste,
                waste_ratio(waste, least_waste));
}

} // namespace

int main(int argc, char** argv) {
    const options o = parse(argc, argv);
    std::vector<cell_of_table> table = make_table(o);
    run_table(table, o);
    print_table(table);
    if (!o.csv_.empty()) {
        write_csv(table, o.csv_);
    }
    print_summary(table, "gedeo");
    print_summary(table, "autentica");
    return 0;
}
