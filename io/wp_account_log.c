/* Log lines and metrics of an account. */
#include "wp_account_log.h"

/* Appends "PURPOSE=BYTES" for each purpose that the owner holds bytes for. */
static void append_purposes(const WPOwner *o, GString *out)
{
    for (unsigned i = 0; i < WP_PURPOSE_COUNT; i++)
        if (o->bytes[i])
            g_string_append_printf(out, "%s%s=%lu", out->len ? "," : "",
                                   wp_purpose_name(i), (gulong)o->bytes[i]);
}

void wp_log_gives_way(WPLog *l, const WPAccount *a, const WPOwner *o,
                      const char *who)
{
    g_autoptr(GString) purposes = g_string_new(NULL);
    g_autofree char *bytes = g_strdup_printf("%lu", (gulong)o->sum);
    g_autofree char *sum = g_strdup_printf("%lu", (gulong)a->sum);
    g_autofree char *limit = g_strdup_printf("%lu", (gulong)a->limit_bytes);
    append_purposes(o, purposes);
    wp_log(l, WP_INFO, "gives_way", "who", who, "bytes", bytes, "purposes",
           purposes->str, "held", sum, "most", limit, NULL);
}

void wp_account_metrics(const WPAccount *a, const char *labels, GString *out)
{
    for (unsigned i = 0; i < WP_PURPOSE_COUNT; i++)
        g_string_append_printf(out, "wp_account_bytes{%s,purpose=\"%s\"} %lu\n",
                               labels, wp_purpose_name(i), (gulong)a->bytes[i]);
    g_string_append_printf(out, "wp_account_limit_bytes{%s} %lu\n", labels,
                           (gulong)a->limit_bytes);
}
