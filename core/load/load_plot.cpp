// Renders the latency plot.

#include "core/load/load_plot.h"

#include <algorithm>
#include <fmt/format.h>

namespace fireflyroute::core {

namespace {

// Sizes in pixels.
constexpr double kLeft = 60;
constexpr double kTop = 20;
constexpr double kWidth = 480;
constexpr double kHeight = 240;
constexpr double kLegendStep = 16;
constexpr int kTicks = 4;

constexpr std::array<std::string_view, kRankCount> kColours{"#c0392b", "#2471a3", "#7f8c8d"};

double maxSeconds(const std::vector<LatencySeries> &series)
{
    double seconds = 0;
    for (const LatencySeries &rankSeries : series) {
        for (const QuantilePoint &point : rankSeries.points)
            seconds = std::max(seconds, point.seconds);
    }
    return seconds > 0 ? seconds : 1;
}

double xOf(std::size_t index, std::size_t count)
{
    return kLeft + kWidth * (static_cast<double>(index) + 0.5) / static_cast<double>(count);
}

double yOf(double seconds, double axisMax)
{
    return kTop + kHeight * (1 - seconds / axisMax);
}

std::string textElement(double x, double y, const std::string &content)
{
    return fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\">{}</text>\n", x, y, content);
}

std::string axes(double axisMax)
{
    std::string svg;
    for (int i = 0; i <= kTicks; ++i) {
        const double seconds = axisMax * i / kTicks;
        const double y = yOf(seconds, axisMax);
        svg += fmt::format("<line x1=\"{0}\" x2=\"{1}\" y1=\"{2:.1f}\" y2=\"{2:.1f}\" "
                           "stroke=\"#ddd\"/>\n",
                           kLeft, kLeft + kWidth, y);
        svg += textElement(4, y + 4, fmt::format("{:.3f} s", seconds));
    }
    return svg;
}

std::string seriesLine(const LatencySeries &series, double axisMax)
{
    const auto rank = static_cast<std::size_t>(series.rank);
    std::string vertices;
    for (std::size_t i = 0; i < series.points.size(); ++i) {
        vertices += fmt::format("{:.1f},{:.1f} ", xOf(i, series.points.size()),
                                yOf(series.points[i].seconds, axisMax));
    }
    return fmt::format("<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"2\" points=\"{}\"/>\n",
                       kColours[rank], vertices)
           + fmt::format("<text fill=\"{}\" x=\"{}\" y=\"{}\">{}</text>\n", kColours[rank],
                         kLeft + 8, kTop + kLegendStep * static_cast<double>(rank + 1),
                         nameOf(series.rank));
}

std::string quantileNames(const std::vector<LatencySeries> &series)
{
    std::string svg;
    if (series.empty())
        return svg;
    const std::vector<QuantilePoint> &points = series.front().points;
    for (std::size_t i = 0; i < points.size(); ++i) {
        svg += textElement(xOf(i, points.size()) - 16, kTop + kHeight + 18,
                           fmt::format("{:g} %", points[i].quantile * 100));
    }
    return svg;
}

} // namespace

std::string latencyPlot(const std::vector<LatencySeries> &series)
{
    const double axisMax = maxSeconds(series);
    std::string svg = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" "
                                  "height=\"{}\" font-family=\"sans-serif\" font-size=\"12\">\n",
                                  kLeft + kWidth + 20, kTop + kHeight + 30);
    svg += axes(axisMax) + quantileNames(series);
    for (const LatencySeries &rankSeries : series)
        svg += seriesLine(rankSeries, axisMax);
    return svg + "</svg>\n";
}

} // namespace fireflyroute::core
