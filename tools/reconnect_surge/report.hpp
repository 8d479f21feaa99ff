// Output of a simulation run: a table, the check of the limits for a deploy, and a chart.
#pragma once

#include <string>

#include "reconnect_surge/model.hpp"

namespace finchstile::reconnect_surge {

// Prints the streams of each worker over time and the figures that are subject to limits. Returns whether all
// limits were met.
bool printReport(const Model& model, const Options& options);

// Draws the streams of each worker over time as SVG; if the file cannot be written, no error is reported.
void drawStreams(const Model& model, const std::string& path);

}  // namespace finchstile::reconnect_surge
