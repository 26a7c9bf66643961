// The only translation unit that compiles the implementation of Asio and Beast.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
