// The one file that compiles the library code of Asio and Beast.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
