// The one place where Asio's and Beast's function bodies are compiled.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
