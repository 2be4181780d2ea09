// Rules for the texts in settings and service files.
//
// Index
//   nameRule      names of services, models, adapters, VMs, availability zones
//   versionRule   versions of models and adapters
//   pathRule      path prefixes of routes
//   ipRule        IP numbers
//   hostPortRule  IP number and port
//   methodRule    HTTP methods
//
// Each returns what is wrong, or nothing.
#pragma once

#include <string>

namespace burdock {

inline constexpr std::size_t MaxNameLength = 63;    // characters
inline constexpr std::size_t MaxVersionLength = 32; // characters
inline constexpr std::size_t MaxPathLength = 512;   // characters

std::string nameRule(const std::string &text);
std::string versionRule(const std::string &text);
std::string pathRule(const std::string &text);
std::string ipRule(const std::string &text);
std::string hostPortRule(const std::string &text);
std::string methodRule(const std::string &text);

} // namespace burdock
