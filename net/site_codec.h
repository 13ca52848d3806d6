// Binary encoding of the messages between the processes of a site, of the commands in their log,
// and of their snapshots. Both ends run the same version of the program.
//
//   link.send(encodeMessage(core::FreshnessProbe{7}));
//   Result<core::SiteMessage> message = decodeMessage(frame);

#ifndef FIREFLYROUTE_NET_SITE_CODEC_H
#define FIREFLYROUTE_NET_SITE_CODEC_H

#include "core/site/site_messages.h"
#include "net/errors.h"

#include <string>
#include <string_view>

namespace fireflyroute::net {

[[nodiscard]] std::string encodeMessage(const core::SiteMessage &message);
[[nodiscard]] Result<core::SiteMessage> decodeMessage(std::string_view bytes);

[[nodiscard]] std::string encodeCommand(const core::SiteCommand &command);
[[nodiscard]] Result<core::SiteCommand> decodeCommand(std::string_view bytes);

[[nodiscard]] std::string encodeSiteData(const core::SiteData &data);
[[nodiscard]] Result<core::SiteData> decodeSiteData(std::string_view bytes);

} // namespace fireflyroute::net

#endif
