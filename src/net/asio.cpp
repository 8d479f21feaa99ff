// Compiles the separately compiled parts of Asio and Beast into one object file.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
