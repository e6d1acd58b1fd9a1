/* Validation of registry entries. */
#include "wp_registry_entry.h"

enum {
    NAME_BYTES_MAX = 256,         /* bytes; a key of the store has up to 200 */
    SLOTS_MAX = 100000,           /* concurrent requests at one endpoint */
    COLD_MAX_MS = 60 * 60 * 1000, /* starts take seconds to minutes */
    PORT_MAX = 65535
};

/* Returns whether `s` can be written into header fields of requests and into
   log lines: printable ASCII without spaces. */
static bool is_name(const char *s)
{
    size_t n = 0;
    while (g_ascii_isgraph(s[n]))
        n++;
    return n && n <= NAME_BYTES_MAX && !s[n];
}

/* IP:PORT */
static bool is_addr(const char *s)
{
    const char *colon = strrchr(s, ':');
    guint64 port;
    if (!colon ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, PORT_MAX, &port, NULL))
        return false;
    g_autofree char *host = g_strndup(s, (gsize)(colon - s));
    return !strchr(host, ':') && g_hostname_is_ip_address(host);
}

const char *wp_registry_entry_invalid_field(const WPRegistryEntry *l)
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
    if (l->slots < 1 || l->slots > SLOTS_MAX)
        return "slots";
    if (l->cold_left_ms < 0 || l->cold_left_ms > COLD_MAX_MS)
        return "cold_left_ms";
    return l->born_ms < 0 ? "born_ms" : NULL;
}
