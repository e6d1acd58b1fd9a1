/* Listings of endpoints. */
#include "wp_listing.h"

enum {
    NAME_MOST = 256,               /* bytes; a key of the store has 200 */
    SLOTS_MOST = 100000,           /* requests at one endpoint at once */
    COLD_MOST_MS = 60 * 60 * 1000, /* starts take seconds to minutes */
    PORT_MOST = 65535
};

/* Names go into fields of requests and into lines of the log. */
static bool is_name(const char *s)
{
    size_t n = 0;
    while (g_ascii_isgraph(s[n]))
        n++;
    return n && n <= NAME_MOST && !s[n];
}

/* IP:PORT */
static bool is_addr(const char *s)
{
    const char *colon = strrchr(s, ':');
    guint64 port;
    if (!colon ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, PORT_MOST, &port, NULL))
        return false;
    g_autofree char *host = g_strndup(s, (gsize)(colon - s));
    return !strchr(host, ':') && g_hostname_is_ip_address(host);
}

const char *wp_listing_problem(const WPListing *l)
{
    if (!is_name(l->id))
        return "id";
    if (!is_name(l->service))
        return "service";
    if (!is_name(l->zone))
        return "zone";
    if (!is_name(l->version))
        return "version";
    if (!is_addr(l->addr))
        return "address";
    if (l->slots < 1 || l->slots > SLOTS_MOST)
        return "slots";
    if (l->cold_left_ms < 0 || l->cold_left_ms > COLD_MOST_MS)
        return "cold_left_ms";
    return l->born_ms < 0 ? "born_ms" : NULL;
}
