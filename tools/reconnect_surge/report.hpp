// What a run of the model shows: a table, a verdict on the bounds that a deploy has to keep, and a drawing.
#pragma once

#include <string>

#include "reconnect_surge/model.hpp"

namespace finchstile::reconnect_surge {

// Prints streams by worker over time and the figures that the bounds are about. Returns whether all bounds
// held.
bool printReport(const Model& model, const Options& options);

// Draws the streams of each worker over time as SVG; a file that cannot be written is left out in silence.
void drawStreams(const Model& model, const std::string& path);

}  // namespace finchstile::reconnect_surge
