/* Session tokens, and the versions of sessions. */
#include "wp_session.h"
#include "wp_pb.h"

#define MAC_BYTES 32

/* URL-safe base64 without padding, made from GLib's base64. */
static char *encode(const guint8 *data, size_t n)
{
    char *s = g_base64_encode(data, n);
    g_strdelimit(s, "+", '-');
    g_strdelimit(s, "/", '_');
    char *pad = strchr(s, '=');
    if (pad)
        *pad = 0;
    return s;
}

static guint8 *decode(WPStr s, gsize *n)
{
    GString *t = g_string_new_len(s.p, (gssize)s.n);
    g_strdelimit(t->str, "-", '+');
    g_strdelimit(t->str, "_", '/');
    while (t->len % 4)
        g_string_append_c(t, '=');
    guint8 *data = g_base64_decode(t->str, n);
    g_string_free(t, TRUE);
    return data;
}

static void make_mac(const char *secret, WPStr body, guint8 *out)
{
    gsize n = MAC_BYTES;
    GHmac *h =
        g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)secret, strlen(secret));
    g_hmac_update(h, (const guchar *)body.p, (gssize)body.n);
    g_hmac_get_digest(h, out, &n);
    g_hmac_unref(h);
}

/* Compares in constant time, so that timing does not reveal the first
   difference. */
static bool same_mac(const guint8 *a, const guint8 *b)
{
    guint8 diff = 0;
    for (int i = 0; i < MAC_BYTES; i++)
        diff |= a[i] ^ b[i];
    return diff == 0;
}

static const Wp__SessionKey *signing_key(const WPPolicy *p)
{
    const Wp__SessionKey *best = NULL;
    for (unsigned i = 0; i < wp_policy_session_keys(p); i++) {
        const Wp__SessionKey *k = wp_policy_session_key_at(p, i);
        if (k->active && !k->revoked)
            best = k;
    }
    return best;
}

static const Wp__SessionKey *named_key(const WPPolicy *p, const char *name)
{
    for (unsigned i = 0; i < wp_policy_session_keys(p); i++) {
        const Wp__SessionKey *k = wp_policy_session_key_at(p, i);
        if (!k->revoked && !strcmp(k->name, name))
            return k;
    }
    return NULL;
}

char *wp_token_sign(const WPPolicy *p, const Wp__SessionClaim *claim)
{
    const Wp__SessionKey *key = signing_key(p);
    Wp__SessionClaim c = *claim;
    guint8 mac[MAC_BYTES];
    if (!key)
        return NULL;
    c.key = key->name;
    g_autoptr(GByteArray) packed = wp_pb_pack(&c.base);
    g_autofree char *body = encode(packed->data, packed->len);
    make_mac(key->secret, wp_str(body), mac);
    g_autofree char *sign = encode(mac, MAC_BYTES);
    return g_strconcat(body, ".", sign, NULL);
}

WPCode wp_token_check(const WPPolicy *p, const WPWorkspace *ws, WPStr token,
                      Wp__SessionClaim **out)
{
    WPStr rest = token;
    WPStr body = wp_str_cut(&rest, '.');
    guint8 mac[MAC_BYTES];
    gsize n, sign_n;
    g_autofree guint8 *data = decode(body, &n);
    g_autofree guint8 *sign = decode(rest, &sign_n);
    Wp__SessionClaim *c = wp__session_claim__unpack(NULL, n, data);
    const Wp__SessionKey *key = c ? named_key(p, c->key) : NULL;
    if (!key || sign_n != MAC_BYTES)
        goto fail;
    make_mac(key->secret, body, mac);
    if (!same_mac(mac, sign) || strcmp(c->workspace, ws->spec->name))
        goto fail;
    *out = c;
    return WP_OK;
fail:
    wp_pb_free(c);
    return WP_BAD_TOKEN;
}

/* The roll-out's share that was in force at `at_ms`. */
static double share_at(const Wp__Rollout *r, uint64_t at_ms)
{
    double share = 0;
    for (size_t i = 0; i < r->n_history; i++)
        if (r->history[i]->at_ms <= at_ms)
            share = r->history[i]->share;
    return share;
}

void wp_rollout_narrow(const WPPolicy *p, WPStr key, uint64_t start_ms,
                       WPVersionSet *set)
{
    for (unsigned i = 0; i < wp_policy_rollouts(p); i++) {
        const WPRollout *r = wp_policy_rollout_at(p, i);
        if (!wp_version_set_has(set, r->from) ||
            !wp_version_set_has(set, r->to))
            continue;
        uint64_t seed = wp_hash(wp_str(r->spec->name), 0);
        bool to = wp_hash_unit(key, seed) < share_at(r->spec, start_ms);
        wp_version_set_remove(set, to ? r->from : r->to);
    }
}

/* The version in `set` with the highest rendezvous score for `key`, the same at
   every box; -1: the set is empty. Versions whose quality_prior, which
   operators configure, meets the kind's target come before the others. */
static int pick_by_hash(const WPPolicy *p, const WPKind *kind,
                        const WPVersionSet *set, uint64_t key)
{
    int best = -1;
    double best_score = -1;
    for (unsigned i = 0; i < wp_policy_versions(p); i++) {
        const Wp__Version *v = wp_policy_version_at(p, i)->spec;
        if (!wp_version_set_has(set, i))
            continue;
        double score = wp_rendezvous(wp_str(v->name), key, 1);
        if (kind && v->quality_prior < kind->spec->quality_target)
            score *= 1e-6;
        if (score > best_score) {
            best_score = score;
            best = (int)i;
        }
    }
    return best;
}

/* The versions of `set` that were added before the session began. If there are
   none, or the start is not known (0), the oldest ones, so that a version which
   is added later cannot move the session. */
static WPVersionSet added_before(const WPPolicy *p, const WPVersionSet *set,
                                 uint64_t start_ms)
{
    WPVersionSet out = { 0 };
    uint64_t bound = start_ms;
    for (int pass = 0; pass < 2; pass++) {
        uint64_t oldest = UINT64_MAX;
        for (unsigned i = 0; i < wp_policy_versions(p); i++) {
            uint64_t added = wp_policy_version_at(p, i)->spec->added_ms;
            if (!wp_version_set_has(set, i))
                continue;
            oldest = MIN(oldest, added);
            if (added <= bound)
                wp_version_set_add(&out, i);
        }
        if (!wp_version_set_empty(&out))
            break;
        bound = oldest;
    }
    return out;
}

/* The versions that are allowed now and were allowed when the session began; if
   there are none, all that are allowed now. */
static WPVersionSet allowed_then(const WPPolicy *p, const WPKind *kind,
                                 const WPVersionSet *allowed,
                                 const WPSessionQuery *query, uint64_t start_ms)
{
    WPVersionSet then;
    wp_policy_allowed_as_of(p, query->workspace, kind, query->labels, start_ms,
                            &then);
    for (unsigned w = 0; w < WP_VERSION_SET_WORDS; w++)
        then.w[w] &= allowed->w[w];
    return wp_version_set_empty(&then) ? *allowed : then;
}

/* The cheapest version whose quality_prior meets the target. Between equally
   cheap ones, or if none meets it, the hash of the id decides. */
static int version_by_id(const WPPolicy *p, const WPKind *kind,
                         const WPVersionSet *allowed,
                         const WPSessionQuery *query, uint64_t start_ms)
{
    WPStr id = query->id;
    WPVersionSet then = allowed_then(p, kind, allowed, query, start_ms);
    WPVersionSet set = added_before(p, &then, start_ms);
    WPVersionSet cheap = { 0 };
    double best = G_MAXDOUBLE;
    wp_rollout_narrow(p, id, start_ms, &set);
    for (unsigned i = 0; i < wp_policy_versions(p); i++) {
        const Wp__Version *v = wp_policy_version_at(p, i)->spec;
        if (!wp_version_set_has(&set, i) ||
            (kind && v->quality_prior < kind->spec->quality_target))
            continue;
        if (v->cost_out < best)
            memset(&cheap, 0, sizeof(cheap));
        if (v->cost_out <= best) {
            best = v->cost_out;
            wp_version_set_add(&cheap, i);
        }
    }
    return pick_by_hash(p, kind, wp_version_set_empty(&cheap) ? &set : &cheap,
                        wp_hash(id, 0));
}

/* The version of the session by the policy `p`: the one named `kept`, if it is
   in `allowed`, otherwise a new choice; -1: the set is empty. */
static int keep_or_choose(const WPPolicy *p, const WPKind *kind,
                          const WPVersionSet *allowed,
                          const WPSessionQuery *query, uint64_t start_ms,
                          const char *kept)
{
    const WPVersion *v = kept ? wp_policy_version(p, kept) : NULL;
    if (v && wp_version_set_has(allowed, v->index))
        return (int)v->index;
    return version_by_id(p, kind, allowed, query, start_ms);
}

/* Does this by a past policy: returns the name of the version, owned by `p`;
   NULL if it allows the session none. */
static const char *keep_or_choose_then(const WPPolicy *p, const WPKind *kind,
                                       const WPSessionQuery *query,
                                       uint64_t start_ms, const char *kept)
{
    WPSessionQuery then = *query;
    WPVersionSet allowed;
    then.workspace = wp_policy_workspace(p, query->workspace->spec->name);
    const WPKind *k = kind ? wp_policy_kind(p, kind->spec->name) : NULL;
    if (!then.workspace || !k)
        return NULL;
    wp_policy_allowed(p, then.workspace, k, query->labels, &allowed);
    if (!wp_policy_filter_request(p, query->model, query->service, &allowed))
        return NULL;
    int i = keep_or_choose(p, k, &allowed, &then, start_ms, kept);
    return i < 0 ? NULL : wp_policy_version_at(p, (unsigned)i)->spec->name;
}

/* The index of the past policy that was in force at `at_ms`; the number of past
   policies: the present one was. */
static unsigned past_at(const WPPolicy *p, uint64_t at_ms)
{
    unsigned i = wp_policy_pasts(p);
    while (i > 0 && wp_policy_past_at(p, i - 1)->effective_ms > at_ms)
        i--;
    return i;
}

/* Chooses by the configuration in force when the session began, and again by
   each later one that does not allow the version any more. */
static int place_by_id(const WPPolicy *p, const WPKind *kind,
                       const WPVersionSet *allowed, const WPSessionQuery *query,
                       uint64_t start_ms)
{
    const char *kept = NULL;
    for (unsigned i = past_at(p, start_ms); i < wp_policy_pasts(p); i++)
        kept = keep_or_choose_then(wp_policy_past_at(p, i)->policy, kind, query,
                                   start_ms, kept);
    return keep_or_choose(p, kind, allowed, query, start_ms, kept);
}

/* Places a session on the version of its claim, or, if that may not serve it or
   was withdrawn since the session began, on one of the others, chosen by hash.
 */
static WPSessionPlacement place_by_claim(const WPPolicy *p, const WPKind *kind,
                                         const WPVersionSet *allowed,
                                         const Wp__SessionClaim *c)
{
    WPSessionPlacement out = { -1, false, c->start_ms };
    WPStr nonce = wp_strn((const char *)c->nonce.data, c->nonce.len);
    const WPVersion *v = wp_policy_version(p, c->version);
    /* If the version was withdrawn after the session began, the session does
       not return to it when it serves again. */
    if (v && wp_version_set_has(allowed, v->index) &&
        v->spec->withdrawn_ms <= c->start_ms) {
        out.version = (int)v->index;
        return out;
    }
    WPVersionSet rest = *allowed;
    if (v)
        wp_version_set_remove(&rest, v->index);
    wp_rollout_narrow(p, nonce, c->start_ms, &rest);
    out.moved = true;
    out.version = pick_by_hash(p, kind, &rest, wp_hash(nonce, 0));
    return out;
}

WPSessionPlacement wp_session_place(const WPPolicy *p, const WPKind *kind,
                                    const WPVersionSet *allowed,
                                    const WPSessionQuery *query)
{
    WPSessionPlacement out = { -1, false, query->now_ms };
    if (query->claim) {
        out = place_by_claim(p, kind, allowed, query->claim);
        /* Its next token's start is now, after the withdrawal that moved it. */
        if (out.moved)
            out.start_ms = query->now_ms;
        return out;
    }
    if (!query->id.n)
        return out;
    uint64_t start = wp_uuid7_ms(query->id);
    if (start > query->now_ms + WP_SESSION_SKEW_MS)
        start = 0;
    out.version = place_by_id(p, kind, allowed, query, start);
    out.start_ms = start ? start : query->now_ms;
    return out;
}
