// How the control plane reads configuration documents, whose format only the platform knows.

#ifndef FIREFLYROUTE_APP_CONFIG_DECODER_H
#define FIREFLYROUTE_APP_CONFIG_DECODER_H

#include "core/config/site_config.h"

#include <functional>
#include <memory>
#include <string_view>

namespace fireflyroute::app {

// Decodes a configuration document. Returns null if it is invalid.
using ConfigDecoder = std::function<std::shared_ptr<const core::SiteConfig>(std::string_view)>;

} // namespace fireflyroute::app

#endif
