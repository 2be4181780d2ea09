// What a stand-in engine holds: resident models, adapters, and orders it has taken.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace standin {

struct ResidentModel
{
    std::string version;       // the version that is loaded
    std::int64_t memoryMb = 0; // accelerator memory that it takes
    bool ready = false;        // whether the load has finished
};

/// An order of the placement holder.
struct Order
{
    std::uint64_t number = 0;  // fencing number; names the order in reports
    std::string action;        // "load", "unload", "load-adapter" or "raise"
    std::string model;         // which model
    std::string version;       // which version
    std::string adapter;       // which adapter; "load-adapter" only
    std::int64_t memoryMb = 0; // memory of one copy
};

enum class OrderAnswer {
    Accepted,    // carried out, or being carried out
    StaleNumber, // refused: a newer number was seen
    Malformed,   // refused: no such action
};

class EngineState
{
public:
    /// @param memoryTotalMb accelerator memory
    /// @param checksFencing whether an order with an old number is refused
    EngineState(std::int64_t memoryTotalMb, bool checksFencing);

    /// Takes an order. A load begins; noteLoaded() ends it.
    OrderAnswer take(const Order &order);

    void noteLoaded(const std::string &model, const std::string &version);

    std::int64_t memoryUsedMb() const;

    /// @return whether the models ever took more memory than there is
    bool everOvercommitted() const { return m_everOvercommitted; }

    const std::map<std::string, ResidentModel> &models() const { return m_models; }
    const std::deque<std::uint64_t> &recentOrders() const { return m_recentOrders; }
    std::uint64_t highestNumber() const { return m_highestNumber; }
    std::int64_t memoryTotalMb() const { return m_memoryTotalMb; }
    bool checksFencing() const { return m_checksFencing; }
    std::set<std::string> &adapters() { return m_adapters; }

    /// Names a copy: a model and a version may be resident beside another version.
    static std::string copyName(const std::string &model, const std::string &version);

private:
    std::int64_t m_memoryTotalMb;
    bool m_checksFencing;
    bool m_everOvercommitted = false;
    std::uint64_t m_highestNumber = 0;
    std::map<std::string, ResidentModel> m_models;
    std::set<std::string> m_adapters;
    std::deque<std::uint64_t> m_recentOrders;
};

} // namespace standin
