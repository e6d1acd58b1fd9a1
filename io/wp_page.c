/* Requests and short answers, and the ports for operators. */
#include "wp_page.h"
#include "wp_process.h"

#include <stdlib.h>

enum {
    CONNECTIONS_MAX = 64,
    CONNECTIONS_PART = 16 /* nor more than 1 in so many descriptors */
};

WPDownstream *wp_page_listen(struct event_base *base, const char *addr,
                             const WPDownstreamOps *ops, void *arg,
                             WPAccount *account, GError **error)
{
    static const WPRouteLimits limits = { 8 << 10, 64 << 10, 5000, 30000 };
    WPDownstream *f = wp_downstream_new(base, addr, ops, arg, error);
    unsigned part = wp_process_descriptors() / CONNECTIONS_PART;
    if (!f)
        return NULL;
    wp_downstream_set_account(f, account);
    wp_downstream_set_limits(f, &limits);
    wp_downstream_set_max_connections(f, part ? MIN(part, CONNECTIONS_MAX)
                                              : CONNECTIONS_MAX);
    return f;
}

char *wp_page_path(const WPHead *h)
{
    WPStr rest = h->target;
    WPStr path = wp_str_cut(&rest, '?');
    return g_strndup(path.p, path.n);
}

char *wp_page_param(const WPHead *h, const char *name)
{
    WPStr query = h->target;
    wp_str_cut(&query, '?');
    g_autoptr(GHashTable) list = g_uri_parse_params(
        query.p, (gssize)query.n, "&", G_URI_PARAMS_WWW_FORM, NULL);
    return list ? g_strdup(g_hash_table_lookup(list, name)) : NULL;
}

char *wp_page_field(const WPHead *h, const char *name)
{
    unsigned n;
    WPStr v = wp_head_get(h, name, &n);
    return n ? g_strndup(v.p, v.n) : NULL;
}

json_t *wp_page_json(const WPDownstreamConn *p)
{
    return p->body->len
               ? json_loadb((const char *)p->body->data, p->body->len, 0, NULL)
               : NULL;
}

void wp_page_send_text(WPDownstreamConn *p, int status, const char *type,
                       WPStr body)
{
    g_autofree char *fields = g_strdup_printf("Content-Type: %s\r\n", type);
    wp_downstream_send_answer(p, status, wp_str(fields), body);
}

void wp_page_send_json(WPDownstreamConn *p, int status, WPStr fields, json_t *o)
{
    g_autoptr(GString) lines =
        g_string_new("Content-Type: application/json\r\n");
    char *text = json_dumps(o, JSON_COMPACT);
    g_string_append_len(lines, fields.p, (gssize)fields.n);
    wp_downstream_send_answer(p, status, wp_strn(lines->str, lines->len),
                              wp_str(text));
    free(text);
    json_decref(o);
}

void wp_page_caller_gone(void *arg, WPDownstreamConn *p)
{
    (void)arg;
    (void)p;
}

void wp_page_writable(void *arg, WPDownstreamConn *p)
{
    (void)arg;
    (void)p;
}
