// Random numbers from a given seed, so that every run can be repeated.
#pragma once

#include <cassert>
#include <cstdint>
#include <random>

namespace burdock {

class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// @param count number of choices, above 0
    /// @return a whole number from 0 to count - 1
    std::size_t below(std::size_t count)
    {
        assert(count > 0 && "there must be at least one choice");
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_engine);
    }

    /// @return a number from 0 up to, but not including, 1
    double unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine); }

    std::mt19937_64 &engine() { return m_engine; }

private:
    std::mt19937_64 m_engine;
};

} // namespace burdock
